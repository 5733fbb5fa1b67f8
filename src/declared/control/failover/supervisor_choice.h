// Orders the control nodes for a group by rendezvous hashing (Thaler and Ravishankar, IEEE/ACM Transactions
// on Networking 1998), so that losing a node moves only the groups that it supervised.
#pragma once

#include <vector>

#include "base/types.h"

namespace cairnhollow::declared::control {

/// Returns `nodes` in order of preference for the group; the first one supervises it.
std::vector<NodeName> supervisor_order(const GroupName& group, std::vector<NodeName> nodes);

}  // namespace cairnhollow::declared::control

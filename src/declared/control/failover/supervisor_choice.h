// Which control node supervises a group: rendezvous hashing (Thaler and Ravishankar, IEEE/ACM Transactions
// on Networking 1998) over the nodes that are able to, so that a node lost moves only its own groups.
#pragma once

#include <vector>

#include "base/types.h"

namespace cairnhollow::declared::control {

/// The nodes in the order in which they take a group; the first one supervises it.
std::vector<NodeName> supervisor_order(const GroupName& group, std::vector<NodeName> nodes);

}  // namespace cairnhollow::declared::control

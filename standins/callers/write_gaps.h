// How long a database group accepted no write while writes were offered: the failover gap as callers see it.
#pragma once

#include <string>
#include <vector>

#include "base/types.h"
#include "standins/callers/history.h"

namespace cairnhollow::standins::callers {

/// The longest gap of one group. It includes the ordinary latency of the write that ends it.
struct WriteGap {
  std::vector<std::string> backends;  ///< that acknowledged the group's writes; they name the group
  std::uint64_t accepted_writes = 0;
  Duration longest{0};
  TimePoint begin;  ///< on the recorder's clock
  TimePoint end;
};

/// One gap per group. Callers do not see groups: partition keys whose writes one backend acknowledged
/// belong to one group. A group none of whose writes was acknowledged does not appear.
std::vector<WriteGap> find_write_gaps(const History& history);

}  // namespace cairnhollow::standins::callers

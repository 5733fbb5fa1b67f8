// The databases' own logs, read from their disks after a run: what did run, whatever anybody was told.
#pragma once

#include <string>
#include <vector>

#include "base/reason.h"
#include "base/types.h"
#include "standins/database/log_entry.h"

namespace cairnhollow::simulation {

/// The log of one member up to what the group has committed.
struct MemberLog {
  BackendName backend;
  std::vector<standins::database::LogEntry> entries;
};

/// One write command of a committed log, and whether it changed data when it was applied.
struct LoggedWrite {
  RequestId request;  ///< number 0: the command has none
  Position position;
  bool took_effect = false;
  std::vector<std::string> values;  ///< of its operations, in order
};

struct GroupLog {
  GroupName group;
  std::vector<MemberLog> members;
  std::vector<LoggedWrite> writes;  ///< of the member that holds the most
};

/// Applies the longest member log to an empty database and notes what each write did.
std::vector<LoggedWrite> replay(const std::vector<MemberLog>& members);

class Fleet;

/// Reads the log of every member from a copy of its disk. `reason` is filled when one can't be read.
std::vector<GroupLog> read_group_logs(Fleet& fleet, Reason& reason);

}  // namespace cairnhollow::simulation

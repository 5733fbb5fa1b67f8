// Settings of one stand-in database server.
#pragma once

#include <vector>

#include "base/types.h"

namespace cairnhollow::standins::database {

struct GroupMember {
  BackendName backend;
  Endpoint endpoint;
};

struct DatabaseSettings {
  BackendName backend;
  GroupName group;
  ZoneName zone;
  Endpoint endpoint;
  std::vector<GroupMember> initial_members;  ///< of the group, this one included
  std::uint32_t connections =
      35;  ///< statement connections; control and replication use a reserve of their own
  std::uint32_t slots = 5;
  Duration connection_opening_delay = std::chrono::milliseconds(10);
  Duration statement_duration = std::chrono::milliseconds(2);       ///< time a statement holds its slot
  Duration replication_lag{0};                                      ///< added before a replica applies
  Duration primary_silence_limit = std::chrono::milliseconds(300);  ///< then a replica says it hears none
  std::uint64_t ledger_entries_per_session = 64;
  std::uint64_t snapshot_after_entries = 20000;
};

}  // namespace cairnhollow::standins::database

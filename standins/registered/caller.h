// Stand-in of a caller of a registered fleet: one session after the other, its operations recorded.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "runtime/runtime.h"
#include "standins/registered/session_history.h"
#include "standins/registered/tenant_history.h"

namespace cairnhollow::standins::registered {

struct CallerSettings {
  std::string name;
  std::vector<Endpoint> proxies;  ///< tried in turn
  std::string database;
  cairnhollow::registered::registry::ReadPolicy policy =
      cairnhollow::registered::registry::ReadPolicy::kPrimary;  ///< of the database's route
  Duration staleness{0};
  Duration pause = std::chrono::milliseconds(20);  ///< between operations
  std::uint32_t records = 4;
  bool keeps_sessions = false;       ///< until they are lost; else it ends each after some operations
  ApiKey key;                        ///< empty: the caller has none
  TenantHistory* tenants = nullptr;  ///< what is sent is noted there; null: nowhere
};

/// Counts beside the history.
struct CallerCounts {
  std::uint64_t acknowledged = 0;
  std::uint64_t reads = 0;
  std::uint64_t promised = 0;
  std::uint64_t unknown = 0;
};

/// Runs until `stopped` is set; `history` and `counts` outlive it.
Awaitable<void> run_caller(runtime::Runtime& runtime, CallerSettings settings, std::vector<Attempt>& history,
                           CallerCounts& counts, const bool& stopped);

}  // namespace cairnhollow::standins::registered

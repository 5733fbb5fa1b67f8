// Stand-in of a backend that does not check terms: it speaks the platform's wire, registers itself by
// heartbeat, and keeps its log in a GroupModel.
#pragma once

#include <memory>
#include <vector>

#include "runtime/role.h"
#include "runtime/runtime.h"
#include "standins/registered/group_model.h"
#include "standins/registered/region_history.h"
#include "standins/registered/tenant_history.h"
#include "standins/registered/zone_history.h"

namespace cairnhollow::standins::registered {

struct DatabaseSettings {
  BackendName backend;
  Endpoint endpoint;
  ZoneName zone;
  std::vector<Endpoint> control_endpoints;  ///< where heartbeats go
  std::uint32_t slots = 4;
  Duration work = std::chrono::milliseconds(3);
  TenantHistory* tenants = nullptr;  ///< what is run is noted there; null: nowhere
  ZoneHistory* zones = nullptr;      ///< what callers' statements come is noted there; null: nowhere
  RegionHistory* regions = nullptr;  ///< the same
  Duration cold_for{0};              ///< from its start on
  double lost_answers = 0;           ///< share of statements that are run and not answered
  bool tells_birth = false;          ///< heartbeats say when it started
};

/// What a test tells a running database.
class Database : public runtime::Role {
 public:
  /// From the next heartbeat on it says that it leaves.
  virtual void leave() = 0;
  /// Ends as a killed process does, its log kept by the model; another role may take its place.
  virtual void crash() = 0;
  /// Takes itself out of the registry at once.
  virtual void deregister() = 0;
  /// From now on, or no more, it resets the connection of each statement of a caller; its status is as ever.
  virtual void break_off(bool breaks_off) = 0;
  /// It says that it is cold for so long, or warm, from the next heartbeat on.
  virtual void turn_cold(Duration rest) = 0;
  /// When each read, write or commit of a caller arrived.
  [[nodiscard]] virtual const std::vector<TimePoint>& arrivals() const = 0;
  /// Resets all connections once.
  virtual void reset_connections() = 0;
  [[nodiscard]] virtual std::uint64_t statements_run() const = 0;
  /// Heartbeats that were taken at the address that it was told of.
  [[nodiscard]] virtual std::uint64_t heartbeats_elsewhere() const = 0;
};

/// What a backend says of itself with a heartbeat.
struct Heartbeat {
  bool leaving = false;
  bool is_primary = false;
  std::uint64_t sequence = 0;
  std::uint64_t born_ms = 0;  ///< 0: not said
  std::uint64_t cold_ms = 0;
};
runtime::HttpRequest print_heartbeat(const DatabaseSettings& settings, const GroupName& group,
                                     const Heartbeat& heartbeat);

/// `model` and `runtime` outlive it.
std::unique_ptr<Database> make_database(runtime::Runtime& runtime, GroupModel& model,
                                        DatabaseSettings settings);

}  // namespace cairnhollow::standins::registered

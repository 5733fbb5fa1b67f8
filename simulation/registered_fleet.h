// A registered fleet in the simulator: control nodes, proxies, backends that do not check terms, the
// promotion call, and callers whose history is judged at the end.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulation/world.h"
#include "standins/registered/caller.h"
#include "standins/registered/database.h"
#include "standins/registered/group_model.h"
#include "standins/registered/promotion_call.h"
#include "standins/registered/region_history.h"

namespace cairnhollow::simulation {

struct RegisteredFleetSettings {
  std::uint64_t seed = 1;
  std::size_t control_nodes = 3;
  std::size_t control_nodes_at_start = 0;  ///< the others join by add_control(); 0: all start at first
  std::size_t proxies = 3;
  std::size_t groups = 1;
  Duration replica_lag = std::chrono::milliseconds(8);
  double lost_answers = 0;
  Duration work = std::chrono::milliseconds(3);  ///< of a statement at a backend
  Duration serving_lease = std::chrono::milliseconds(1500);
  /// Callers take turns in having the first key of one of them; empty: callers need no keys.
  std::vector<registered::registry::TenantRule> tenants;
  Duration key_bound = std::chrono::seconds(5);
  Duration evacuation_bound = std::chrono::seconds(5);
  Duration caller_pause = std::chrono::milliseconds(20);  ///< between a caller's operations
  bool backends_tell_birth = false;
  std::map<ZoneName, RegionName> zone_regions;  ///< empty: no process knows a region
  /// What documents say of the databases' regions; a database that is not named may run anywhere.
  std::map<std::string, std::vector<RegionName>> database_regions;
  /// What the document says of cold backends, and how far the proxies may go beyond; 0: no limit.
  double cold_rate_per_s = 0;
  double cold_overshoot = 1.5;
  double cold_slack = 5;
  bool print_log = false;
};

class RegisteredFleet {
 public:
  explicit RegisteredFleet(RegisteredFleetSettings settings);

  /// Starts everything and waits until a document is acknowledged and callers are served.
  bool start();
  void run_for(Duration duration) { world_.run_for(duration); }
  /// Ends the callers, heals everything, waits, and gives every violation that was seen.
  std::vector<std::string> finish();

  /// Sends a document of the next version to one control node after the other until it is acknowledged.
  bool send_document(Duration limit = std::chrono::seconds(5));
  /// Sends an order to evacuate a zone, or to take that back, to one control node after the other until it is
  /// acknowledged. How long that took; empty: it was not within `limit`.
  std::optional<Duration> order_evacuation(const std::string& zone, bool begins,
                                           Duration limit = std::chrono::seconds(5));
  /// The status of one control node's answer to such an order; 0: none came.
  unsigned ask_evacuation(const std::string& control, const std::string& zone, bool begins);
  /// Whether the leader holds the zone for evacuated.
  bool is_evacuated(const std::string& zone);
  /// Where a backend is.
  static ZoneName zone_of(const std::string& backend);
  /// Whether the group's backend that leads by its own account is in the zone.
  bool is_led_from(std::size_t group, const std::string& zone);
  [[nodiscard]] Endpoint sessions_at(const std::string& proxy) const;
  /// What the next documents say of tenants.
  void set_tenants(std::vector<registered::registry::TenantRule> tenants) {
    settings_.tenants = std::move(tenants);
  }
  /// What the next documents say of the databases' regions.
  void set_database_regions(std::map<std::string, std::vector<RegionName>> regions) {
    settings_.database_regions = std::move(regions);
  }
  [[nodiscard]] const standins::registered::RegionHistory& region_history() const { return region_history_; }
  /// One more caller, with a key that may be anything; its name tells it from others.
  void start_caller(const std::string& name, const ApiKey& key);
  [[nodiscard]] const standins::registered::TenantHistory& tenant_history() const { return tenant_history_; }
  /// The newest document's version as some control node reads it back; 0: none answers.
  std::uint64_t read_back_version();

  // Names: "control-1", "proxy-1", "g1-b1" (backend 1 of group 1), "promotion" (the promotion call).
  void kill(const std::string& name);
  void vanish(const std::string& name);
  void restart(const std::string& name);
  /// A further database of the first group starts as a replica, e.g. "g1-b4". It receives the log, but none
  /// of its heartbeats arrives until heal().
  void join_unregistered(const std::string& name);
  /// A database ends, and starts again under its name with nothing of its log.
  void restart_empty(const std::string& name);
  /// SIGTERM: the node drains, then ends.
  void terminate(const std::string& name);
  /// Starts a further control node on an empty disk.
  void add_control(const std::string& name);
  /// Kills a control node and starts it again on an empty disk.
  void wipe(const std::string& name);
  void cut(const std::string& one, const std::string& other);
  void cut_from_all_control(const std::string& name);
  /// Cuts a control node off from the promotion call. What is under way is held up until heal().
  void cut_from_platform(const std::string& control);
  void heal();

  /// The first group's primary by its own account, e.g. "g1-b1".
  std::string primary();
  /// The control node that leads; empty while none does.
  std::string leader();
  /// Whether a proxy says that it takes new sessions.
  bool is_ready(const std::string& proxy);
  /// What the leader holds for certain of a backend, and of a group.
  bool is_leaving(const BackendName& backend);
  bool is_open(const GroupName& group);
  /// Whether the leader holds a backend under this name.
  bool is_registered(const BackendName& backend);
  /// A heartbeat that a former incarnation of `place` sent comes now; true when it is acknowledged.
  bool deliver_late_heartbeat(const std::string& place, const BackendName& former);
  /// The start of the life of a backend that the leader holds; 0: none.
  std::uint64_t registered_birth(const BackendName& backend);
  /// A heartbeat that an incarnation of `place` sent comes now, at `node` (a control node or proxy); the
  /// status.
  unsigned deliver_heartbeat(const std::string& node, const std::string& place,
                             const standins::registered::Heartbeat& heartbeat);
  /// Proxies among which the leader has the groups divided.
  std::size_t working_proxies();
  standins::registered::GroupModel& group(std::size_t number = 1) { return *models_[number - 1]; }
  standins::registered::Database& database(const std::string& name);
  /// The promotion call, which may be told to be slow.
  standins::registered::PromotionCall& promotion_call() { return *promotion_call_; }
  [[nodiscard]] const standins::registered::PromotionHistory& promotion_history() const {
    return promotion_history_;
  }
  World& world() { return world_; }

  [[nodiscard]] std::uint64_t acknowledged() const;
  [[nodiscard]] std::uint64_t reads() const;
  /// Operations that were refused with the promise that nothing of them is kept.
  [[nodiscard]] std::uint64_t refused() const;
  /// Writes of the first group that were run, and whose answers did not come whole.
  std::uint64_t cut_after_running();
  [[nodiscard]] const std::vector<standins::registered::Attempt>& history() const { return history_; }
  /// The longest time between two acknowledged writes that lies within `from` and `to`.
  [[nodiscard]] Duration longest_write_gap(TimePoint from, TimePoint to) const;

 private:
  void start_control(std::size_t number);
  void start_proxy(std::size_t number);
  void start_databases();
  void start_database(standins::registered::GroupModel& model, const BackendName& backend);
  void start_promotion_call();
  void start_callers();
  std::string document(std::uint64_t version) const;
  /// The status of the answer; 0: there was none.
  unsigned ask(const Endpoint& endpoint, runtime::HttpRequest request);
  unsigned deliver(const std::string& node, const std::string& place, const BackendName& backend,
                   const standins::registered::Heartbeat& heartbeat);
  /// Notes each statement that one proxy sends to another.
  void record_forwarded(const std::string& receiver, const std::string& frame);
  void record_regions();
  void add_region_era();
  [[nodiscard]] std::string address_of(const std::string& name) const;
  [[nodiscard]] std::vector<Endpoint> control_endpoints(std::uint16_t port) const;

  RegisteredFleetSettings settings_;
  World world_;
  std::vector<std::unique_ptr<standins::registered::GroupModel>> models_;
  std::map<std::string, standins::registered::Database*> databases_;
  standins::registered::PromotionCall* promotion_call_ = nullptr;
  standins::registered::PromotionHistory promotion_history_;
  std::map<std::string, std::pair<standins::registered::GroupModel*, BackendName>> members_;
  std::map<std::string, bool> wiped_;
  std::vector<standins::registered::Attempt> history_;
  standins::registered::TenantHistory tenant_history_;
  standins::registered::ZoneHistory zone_history_;
  standins::registered::RegionHistory region_history_;
  std::size_t next_caller_ = 1;
  std::deque<standins::registered::CallerCounts> counts_;
  std::uint64_t version_ = 0;
  bool stopped_ = false;
};

}  // namespace cairnhollow::simulation

// A proxy's sessions on a bare runtime: its view is fed by hand, its backends note what they are sent, and
// something can be made to happen while one step of a statement is under way.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/statement_runner.h"
#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

/// What a backend is asked, and what is waited for before that.
enum class Step : std::uint8_t { kGate, kDial, kSetValue, kPrepare, kBegin, kStatement, kRollback, kStatus };
const char* step_name(Step step);

/// How long a step takes during which something happens; that happens in its middle.
inline constexpr Duration kEventfulStep = std::chrono::milliseconds(200);

class SessionStand {
 public:
  static constexpr const char* kPrimary = "primary";
  static constexpr const char* kReplica = "replica";
  static constexpr const char* kKey = "key";
  static constexpr const char* kTenant = "tenant";

  /// With a primary and a replica of one group, a route that needs a key, and one tenant who has kKey. No
  /// lease and nothing confirmed yet.
  SessionStand();
  ~SessionStand();
  SessionStand(const SessionStand&) = delete;
  SessionStand& operator=(const SessionStand&) = delete;

  [[nodiscard]] TimePoint now() const { return runtime().now(); }
  [[nodiscard]] runtime::Runtime& runtime() const { return *runtime_; }
  void run_for(Duration duration) { world_->run_for(duration); }
  /// Runs the task to its end; false when `limit` has passed first.
  bool finish(Awaitable<void> task, Duration limit = std::chrono::seconds(20));

  /// Control confirms the view now: the lease and the keys hold for so long.
  void confirm(Duration lease, Duration keys);
  /// A delta that changes nothing, to be filled.
  [[nodiscard]] registry::FleetDelta delta();
  void close_group();
  /// Closes the group and opens it under the other backend.
  void change_primary();
  /// The key proves no tenant any more, or another one.
  void remove_key();
  void move_key();
  void put_member(const std::string& name, bool leaving);
  /// The tenant of kKey may begin so many operations a second.
  void limit_tenant(std::uint64_t rate_per_s);
  /// Another process of this fleet, with an address of its own.
  runtime::Runtime& start_process(const std::string& name, const std::string& address);

  /// `event` happens once, in the middle of the next such step, which takes kEventfulStep.
  void during(Step step, std::function<void()> event);
  /// What the backend was sent that is of callers: texts, executions and begins.
  [[nodiscard]] const std::vector<std::string>& sent_to(const std::string& backend) { return sent_[backend]; }
  /// Values and prepared statements that were put on links.
  [[nodiscard]] int set_ups() const { return set_ups_; }
  [[nodiscard]] const std::vector<std::string>& dialled_for() const { return dialled_for_; }
  /// What backends say that they are.
  std::map<std::string, BackendStatus> statuses;
  std::set<std::string> silent;       ///< backends that answer no question of what they are
  std::set<std::string> unreachable;  ///< backends that take no connection

  [[nodiscard]] std::shared_ptr<GroupAccess> group() { return view().find_group(GroupName("group")); }
  [[nodiscard]] FleetView& view() { return *view_; }
  [[nodiscard]] SessionMetrics& metrics() { return metrics_; }
  [[nodiscard]] SessionServices services();
  /// Of the tenant, with a value and something prepared to be put on its link.
  [[nodiscard]] StatementRequest write(const std::string& id);
  /// One statement at its backend's gate goes before the next one until the event of kGate is over.
  void occupy_gate(const std::string& backend);

 private:
  friend class StandLink;
  class Dialer;

  Awaitable<void> hold_gate(std::shared_ptr<BackendState> backend);
  /// What happens during the step, if anything.
  std::function<void()> take_event(Step step);

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  SessionMetrics metrics_;
  std::unique_ptr<Dialer> dialer_;
  std::unique_ptr<FleetView> view_;
  std::unique_ptr<FleetLink> link_;
  std::unique_ptr<Forwarder> forwarder_;
  std::unique_ptr<LimitClient> limits_;
  std::map<Step, std::function<void()>> events_;
  std::map<std::string, std::vector<std::string>> sent_;
  std::vector<std::string> dialled_for_;  ///< tenants
  int set_ups_ = 0;
  std::uint64_t position_ = 10;
};

}  // namespace cairnhollow::registered::proxy

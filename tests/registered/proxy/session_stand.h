// Test fixture with the session services of a proxy in a simulated world. Tests set the fleet view by hand,
// read what the fake backends were sent, and can run an event in the middle of a step of a statement.
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

/// The steps of a statement during which a test can run an event.
enum class Step : std::uint8_t { kGate, kDial, kSetValue, kPrepare, kBegin, kStatement, kRollback, kStatus };
const char* step_name(Step step);

/// Duration of a step with an event; the event runs in its middle.
inline constexpr Duration kEventStepDuration = std::chrono::milliseconds(200);

class SessionStand {
 public:
  static constexpr const char* kPrimary = "primary";
  static constexpr const char* kReplica = "replica";
  static constexpr const char* kKey = "key";
  static constexpr const char* kTenant = "tenant";

  /// Starts with a primary and a replica of one group, a route that requires a key, the tenant kTenant with
  /// kKey and another tenant. There is no lease and no confirmation yet.
  SessionStand();
  ~SessionStand();
  SessionStand(const SessionStand&) = delete;
  SessionStand& operator=(const SessionStand&) = delete;

  [[nodiscard]] TimePoint now() const { return runtime().now(); }
  [[nodiscard]] runtime::Runtime& runtime() const { return *runtime_; }
  void run_for(Duration duration) { world_->run_for(duration); }
  /// Runs the task to completion. Returns false if it has not finished within `limit`.
  bool finish(Awaitable<void> task, Duration limit = std::chrono::seconds(20));

  /// Confirms the view as control does: from now on the lease is valid for `lease` and keys for `keys`.
  void confirm(Duration lease, Duration keys);
  /// Returns a delta of the next revision without changes.
  [[nodiscard]] registry::FleetDelta delta();
  void close_group();
  /// Closes the group and reopens it with the other backend as primary.
  void change_primary();
  /// Remove kKey from its tenant, or give it to the other tenant.
  void remove_key();
  void reassign_key();
  void update_backend(const std::string& name, bool leaving);
  /// Limits the tenant of kKey to `rate_per_s` operations per second.
  void limit_tenant(std::uint64_t rate_per_s);
  /// Starts another process in the same world.
  runtime::Runtime& start_process(const std::string& name, const std::string& address);

  /// Runs `event` once, in the middle of the next such step, which takes kEventStepDuration.
  void during(Step step, std::function<void()> event);
  /// The statement texts, executions and begins that were sent to the backend on behalf of callers.
  [[nodiscard]] const std::vector<std::string>& sent_to(const std::string& backend) { return sent_[backend]; }
  /// Number of session values and prepared statements that were set up on links.
  [[nodiscard]] int setup_count() const { return setup_count_; }
  [[nodiscard]] const std::vector<std::string>& dialled_tenants() const { return dialled_tenants_; }
  /// The status that each backend reports.
  std::map<std::string, BackendStatus> statuses;
  std::set<std::string> silent;       ///< backends that answer status requests a second late
  std::set<std::string> unreachable;  ///< backends that accept no connection

  [[nodiscard]] const std::vector<std::string>& log_lines() const { return log_lines_; }
  [[nodiscard]] std::shared_ptr<GroupAccess> group() { return view().find_group(GroupName("group")); }
  [[nodiscard]] FleetView& view() { return *view_; }
  [[nodiscard]] SessionMetrics& metrics() { return metrics_; }
  [[nodiscard]] SessionServices services();
  /// Returns a prepared write of kTenant that needs a session value and a prepared statement set up on its
  /// link.
  [[nodiscard]] StatementRequest write(const std::string& id);
  /// Occupies all free slots of the backend's statement gate for kEventStepDuration, so that the next
  /// statement waits there.
  void occupy_gate(const std::string& backend);

 private:
  friend class FakeBackendLink;
  class Dialer;

  Awaitable<void> hold_gate(std::shared_ptr<BackendState> backend);
  /// Returns and removes the event of the step; empty if there is none.
  std::function<void()> take_event(Step step);

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  SessionMetrics metrics_;
  placement::WaitingRoom waiting_;
  std::unique_ptr<Dialer> dialer_;
  std::unique_ptr<FleetView> view_;
  std::unique_ptr<FleetLink> link_;
  std::unique_ptr<Forwarder> forwarder_;
  std::unique_ptr<LimitClient> limits_;
  std::unique_ptr<Forwarder> owners_;
  std::unique_ptr<DemandExchange> demands_;
  std::unique_ptr<OverloadControl> overload_;
  std::map<Step, std::function<void()>> events_;
  std::map<std::string, std::vector<std::string>> sent_;
  std::vector<std::string> dialled_tenants_;
  std::vector<std::string> log_lines_;
  int setup_count_ = 0;
  std::uint64_t position_ = 10;
};

}  // namespace cairnhollow::registered::proxy

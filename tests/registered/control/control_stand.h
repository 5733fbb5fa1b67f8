// Test fixture with the components of a registered-fleet control node on a bare simulated runtime: a scripted
// consensus log, backends with scripted status, proxy connections driven by the test, and recorded
// promotions.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/consensus.h"
#include "registered/control/control_node_directory.h"
#include "registered/control/failover/group_prober.h"
#include "registered/control/leader_calls.h"
#include "registered/control/leases/lease_keeper.h"
#include "registered/protocol/backend_link.h"
#include "registered/registry/control_service.h"
#include "registered/registry/state_machine.h"
#include "simulation/world.h"

namespace cairnhollow::registered::control {

/// Single-node consensus log whose leadership and quorum are set by the test.
class ScriptedConsensus : public consensus::Consensus {
 public:
  ScriptedConsensus(runtime::Runtime& runtime, registry::FleetStateMachine& fleet)
      : runtime_(runtime), fleet_(fleet) {}

  Awaitable<std::optional<std::uint64_t>> propose(std::string command, TimePoint deadline,
                                                  Reason& reason) override;
  Awaitable<std::optional<std::uint64_t>> read_barrier(TimePoint deadline, Reason& reason) override;
  Awaitable<bool> add_member(consensus::Member, TimePoint, Reason&) override { co_return false; }
  Awaitable<bool> remove_member(NodeName, TimePoint, Reason&) override { co_return false; }
  Awaitable<bool> replace_member(NodeName, consensus::Member, TimePoint, Reason&) override {
    co_return false;
  }
  [[nodiscard]] consensus::ConsensusStatus status() const override;

  /// Applies a command immediately, without a quorum round.
  void commit(registry::Command command);

  bool is_leader = true;
  bool has_quorum = true;  ///< if false, nothing is committed or confirmed although `is_leader` remains set
  std::uint64_t led_term = 1;
  Duration barrier_takes = std::chrono::milliseconds(1);
  std::function<void()> during_barrier;  ///< called once, halfway through the next barrier
  int barriers = 0;                      ///< number of barriers requested
  int proposals = 0;                     ///< number of commands proposed

 private:
  runtime::Runtime& runtime_;
  registry::FleetStateMachine& fleet_;
  std::uint64_t index_ = 0;
};

/// Connection of a proxy: the test writes reports and reads updates.
class ProxyFrames : public runtime::FrameConnection {
 public:
  explicit ProxyFrames(runtime::Runtime& runtime) : changed_(runtime) {}
  Awaitable<bool> send(std::string frame, Reason& reason) override;
  Awaitable<std::optional<std::string>> receive(Reason& reason) override;
  void close() override;
  [[nodiscard]] std::string peer() const override { return "proxy"; }

  void report(const registry::ProxyReport& report);
  void stall_sends(bool stalls);
  std::vector<registry::ProxyUpdate> updates;
  /// The longest lease in any update; zero if none was granted.
  [[nodiscard]] Duration lease() const;
  /// Returns true if any update carried a refusal.
  [[nodiscard]] bool was_refused() const;

 private:
  runtime::Signal changed_;
  std::deque<std::string> reports_;
  bool open_ = true;
  bool stalls_ = false;
};

class ControlStand : public BackendDialer, public registry::PromotionCaller {
 public:
  static constexpr Duration kLease = std::chrono::milliseconds(1500);

  /// Installs a document with one group of three backends, of which "primary" leads term 1.
  ControlStand();
  ~ControlStand() override;

  [[nodiscard]] runtime::Runtime& runtime() const { return *runtime_; }
  [[nodiscard]] TimePoint now() const { return runtime().now(); }
  void run_for(Duration duration) { world_->run_for(duration); }
  /// Runs the simulation until the task completes, for at most 20 s. Returns false on timeout.
  bool finish(Awaitable<void> task);
  static registry::BackendEntry entry(const std::string& name, std::uint16_t port);
  /// Opens the group with "primary" as its primary.
  void open_group();
  /// Admits the first incarnation of a proxy.
  void admit(const std::string& proxy);
  /// Connects a proxy to the lease keeper.
  std::shared_ptr<ProxyFrames> connect(const std::string& proxy);
  [[nodiscard]] registry::GroupTerm term() const;

  // Simulated backend behavior.
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress address, TimePoint deadline,
                                               std::optional<Refusal>& refusal, Reason& reason) override;
  Awaitable<std::shared_ptr<registry::PromotionChannel>> connect(TimePoint deadline, Reason& reason) override;
  registry::PromotionOutcome answer_promotion(const registry::PromotionOrder& order, Reason& reason);

  struct Member {
    BackendStatus status;
    bool answers = true;
    bool forgets_pauses = false;
    bool is_full = false;    ///< rejects connections at its limit
    bool has_ended = false;  ///< its machine refuses connections
    int questions = 0;       ///< number of status queries received
  };
  std::map<std::string, Member> members;
  bool refuses_promotions = false;  ///< rejects promotion orders with kOverloaded
  /// Name of the backend that answers at an address, where it differs from the registered one.
  std::map<Endpoint, std::string> answering_at;
  struct Event {
    std::string what;  ///< e.g. "pause replica-1", "promote replica-1"
    TimePoint at{};
  };
  std::vector<Event> events;
  /// The first event whose description starts with `what`; null if there is none.
  [[nodiscard]] const Event* first(const std::string& what) const;

  registry::FleetStateMachine& fleet() { return *fleet_; }
  ScriptedConsensus& consensus() { return *consensus_; }
  LeaderCalls& calls() { return *calls_; }
  LeaseKeeper& leases() { return *leases_; }
  GroupProber& prober() { return *prober_; }
  ControlNodeDirectory& directory() { return *directory_; }

 private:
  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<registry::FleetStateMachine> fleet_;
  std::unique_ptr<ScriptedConsensus> consensus_;
  std::unique_ptr<ControlNodeDirectory> directory_;
  std::unique_ptr<LeaderCalls> calls_;
  std::unique_ptr<LeaseKeeper> leases_;
  std::unique_ptr<GroupProber> prober_;
};

}  // namespace cairnhollow::registered::control

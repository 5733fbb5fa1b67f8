// A simulated cluster of Raft servers, each with its own process and machine.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "simulation/world.h"
#include "tests/consensus/observed_runtime.h"
#include "tests/consensus/recording_state_machine.h"
#include "tests/consensus/run_checks.h"

namespace cairnhollow::consensus {

/// Minimal control node role: a listener and a Raft server.
class ClusterRole : public runtime::Role {
 public:
  ClusterRole(runtime::Runtime& runtime, RaftSettings settings, AppliedRecord& record, RunChecks& checks);

  Awaitable<bool> start(Reason& reason) override;
  Awaitable<void> drain() override;

  RaftNode& node() { return *node_; }
  RecordingStateMachine& machine() { return machine_; }
  [[nodiscard]] bool started() const { return started_; }

 private:
  Awaitable<void> accept_connections();
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> connection);

  void record_event(std::string_view event);

  ObservedRuntime runtime_;
  const std::string name_;
  Endpoint endpoint_;
  RunChecks& checks_;
  RecordingStateMachine machine_;
  std::unique_ptr<RaftNode> node_;
  std::unique_ptr<runtime::FrameListener> listener_;
  bool started_ = false;
};

/// Outcome of one call. `done` stays false if the server was killed or frozen. The index of a successful
/// membership change is zero.
struct CallResult {
  bool done = false;
  std::optional<std::uint64_t> index;
  Reason reason;
  [[nodiscard]] bool succeeded() const { return done && index.has_value(); }
};

struct ClusterSettings {
  std::uint64_t seed = 1;
  std::size_t voters = 3;
  std::uint64_t snapshot_after_entries = 1000;
  bool print_log = false;
  Duration first_election_timeout{0};  ///< 0: use the election timeout
  Duration heartbeat_interval = RaftSettings{}.heartbeat_interval;
};

/// Servers are named node-1, node-2 and so on.
class Cluster {
 public:
  explicit Cluster(ClusterSettings settings);

  /// Starts a server that is not an initial member and waits to be added.
  void start_nonmember(std::size_t number);
  /// Empties the disk of a stopped server.
  void wipe(const std::string& name) { world_.disk(name).wipe(); }

  simulation::World& world() { return world_; }
  ClusterRole& role(const std::string& name) { return dynamic_cast<ClusterRole&>(world_.role(name)); }
  RaftNode& node(const std::string& name) { return role(name).node(); }
  RecordingStateMachine& machine(const std::string& name) { return role(name).machine(); }
  ConsensusStatus status(const std::string& name) { return node(name).status(); }
  AppliedRecord& record() { return record_; }
  RunChecks& checks() { return checks_; }
  /// Records the on-disk log of every server, running or not.
  void record_logs();
  /// Returns one line per server, for failure messages.
  std::string describe();
  /// Names of all servers ever started.
  [[nodiscard]] const std::vector<std::string>& names() const { return names_; }
  [[nodiscard]] std::vector<std::string> running_names() const;
  /// Returns the server as a member, with the identity of its current disk.
  Member member(const std::string& name, MemberRole role);

  /// Returns the running leader with the highest term, or an empty name if there is none.
  std::string leader();
  /// Runs until a running server is leader and has applied an entry of its term. Returns an empty name on
  /// timeout.
  std::string wait_for_leader(Duration limit = std::chrono::seconds(10));
  /// Runs until all running servers have applied `index`.
  bool wait_applied(std::uint64_t index, Duration limit = std::chrono::seconds(10));

  /// Starts a call without waiting for it.
  std::shared_ptr<CallResult> begin_propose(const std::string& name, std::string command, Duration timeout);
  std::shared_ptr<CallResult> begin_barrier(const std::string& name, Duration timeout);
  /// Starts a call and runs the world until it completes or twice `timeout` has passed.
  CallResult propose(const std::string& name, std::string command,
                     Duration timeout = std::chrono::seconds(2));
  CallResult barrier(const std::string& name, Duration timeout = std::chrono::seconds(2));
  /// Starts `count` proposals, up to a hundred concurrently, and waits for all. Returns the last index, or
  /// std::nullopt if any fails.
  std::optional<std::uint64_t> propose_many(const std::string& name, const std::string& prefix,
                                            std::size_t count, std::size_t command_bytes = 0);
  /// Membership changes on the current leader, retried until one succeeds or `limit` has passed.
  bool add_member(const Member& member, Duration limit = std::chrono::seconds(10));
  bool remove_member(const std::string& name, Duration limit = std::chrono::seconds(10));
  bool replace_member(const std::string& lost, const Member& replacement,
                      Duration limit = std::chrono::seconds(10));
  /// Starts one membership change on a server without waiting for it.
  std::shared_ptr<CallResult> begin_add(const std::string& name, Member member, Duration timeout);
  std::shared_ptr<CallResult> begin_remove(const std::string& name, const std::string& node,
                                           Duration timeout);
  std::shared_ptr<CallResult> begin_replace(const std::string& name, const std::string& lost,
                                            Member replacement, Duration timeout);
  /// Proposes to the current leader until a proposal succeeds. Returns false on timeout.
  bool propose_to_leader(const std::string& command, Duration limit = std::chrono::seconds(10));

 private:
  void start(std::size_t number, std::vector<Member> initial_members);
  using BeginChange = std::function<std::shared_ptr<CallResult>(const std::string& leader)>;
  bool change_on_leader(const BeginChange& begin, Duration limit);
  CallResult finish(const std::shared_ptr<CallResult>& result, Duration timeout);

  ClusterSettings settings_;
  AppliedRecord record_;
  RunChecks checks_;
  std::vector<std::string> names_;
  simulation::World world_;
};

/// Asserts that no safety check was violated and no coroutine threw.
void assert_no_violations(Cluster& cluster);

}  // namespace cairnhollow::consensus

// Control nodes in a simulated world, with one log in memory in the place of consensus, and an operator who
// runs commands against them.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cli/exit_code.h"
#include "declared/control/operator/operator_service_impl.h"
#include "simulation/world.h"

namespace cairnhollow::cli {

/// The log that all nodes share: what the leader appends, every node applies at once.
class SharedLog {
 public:
  void join(const NodeName& node, declared::control::ConfigReplica* replica);
  std::uint64_t append(const std::string& command);

  NodeName leader;
  bool has_quorum = true;
  int answers_to_lose = 0;   ///< so many proposals are committed and answered with kOutcomeUnknown
  Duration answer_delay{0};  ///< before the next proposal is answered, once; it is committed first
  std::vector<std::string> commands;

 private:
  std::map<NodeName, declared::control::ConfigReplica*> replicas_;
};

class LogConsensus : public consensus::Consensus {
 public:
  LogConsensus(runtime::Runtime& runtime, NodeName node, SharedLog& log)
      : runtime_(runtime), node_(std::move(node)), log_(log) {}

  Awaitable<std::optional<std::uint64_t>> propose(std::string command, TimePoint deadline,
                                                  Reason& reason) override;
  Awaitable<std::optional<std::uint64_t>> read_barrier(TimePoint deadline, Reason& reason) override;
  Awaitable<bool> add_member(consensus::Member member, TimePoint deadline, Reason& reason) override;
  Awaitable<bool> remove_member(NodeName node, TimePoint deadline, Reason& reason) override;
  Awaitable<bool> replace_member(NodeName lost, consensus::Member replacement, TimePoint deadline,
                                 Reason& reason) override;
  [[nodiscard]] consensus::ConsensusStatus status() const override;

  std::vector<consensus::Member> members;

 private:
  runtime::Runtime& runtime_;
  NodeName node_;
  SharedLog& log_;
};

/// Every source of a control node as plain values.
class FakeSources : public declared::control::GroupStatusSource,
                    public declared::control::FollowerStatusSource,
                    public declared::control::EventSource,
                    public declared::control::SwitchoverExecutor,
                    public declared::control::NodeHealthSource {
 public:
  [[nodiscard]] std::vector<declared::control::GroupStatus> group_status() const override { return groups; }
  [[nodiscard]] std::vector<std::string> leaving_machines() const override { return leaving; }
  [[nodiscard]] std::vector<declared::control::ProxyStatus> followers() const override { return proxies; }
  [[nodiscard]] std::vector<declared::control::ControlPeerStatus> control_peers() const override {
    return peers;
  }
  [[nodiscard]] Duration longest_lease() const override { return lease; }
  [[nodiscard]] std::vector<declared::control::FleetEvent> events_since(std::uint64_t since,
                                                                        std::uint32_t limit) const override;
  void record(declared::control::FleetEvent event) override;
  Awaitable<std::optional<declared::control::SwitchoverOutcome>> switch_over(
      declared::control::SwitchoverRequest request, TimePoint deadline, Reason& reason) override;
  [[nodiscard]] bool ready(Reason& reason) const override;
  [[nodiscard]] std::string metrics_text() const override { return "up 1\n"; }
  [[nodiscard]] declared::control::OperatorSources all() { return {*this, *this, *this, *this, *this}; }

  NodeName node;
  std::vector<declared::control::GroupStatus> groups;
  std::vector<std::string> leaving;
  std::vector<declared::control::ProxyStatus> proxies;
  std::vector<declared::control::ControlPeerStatus> peers;
  Duration lease = std::chrono::seconds(2);
  std::vector<declared::control::FleetEvent> events;
  std::vector<declared::control::SwitchoverRequest> switchovers;
  bool is_ready = true;
};

/// A control node of which only the operator API is real.
class TestControlNode : public runtime::Role {
 public:
  TestControlNode(runtime::Runtime& runtime, const NodeName& node, Endpoint endpoint, SharedLog& log);

  Awaitable<bool> start(Reason& reason) override;
  Awaitable<void> drain() override;

  FakeSources sources;
  LogConsensus consensus;

 private:
  runtime::Runtime& runtime_;
  Endpoint endpoint_;
  declared::control::ConfigReplica replica_;
  declared::control::OperatorServiceImpl service_;
  std::unique_ptr<runtime::HttpHandler> api_;
  std::unique_ptr<runtime::HttpServer> server_;
};

/// What a command came to.
struct CommandResult {
  bool done = false;
  ExitCode code = ExitCode::kUsage;
  std::string output;
  std::string errors;
};

/// A command as it was typed.
struct TypedCommand {
  std::vector<std::string> words;
  std::string operator_name = "alice";
};

/// Three control nodes, control-1 (the leader) to control-3.
class OperatorFleet {
 public:
  OperatorFleet();

  /// Runs a command to its end. The control nodes are named by the environment unless the words do.
  CommandResult run(const std::vector<std::string>& words, const std::string& operator_name = "alice");
  /// Runs commands side by side to the end of all.
  std::vector<CommandResult> run_together(const std::vector<TypedCommand>& commands);
  /// As run(), over a manifest's text behind -f.
  CommandResult run_with_manifest(const std::string& command, const std::string& manifest,
                                  std::vector<std::string> further_words = {},
                                  const std::string& operator_name = "alice");
  TestControlNode& node(int number);
  static std::string address_of(int number);
  /// Where a proxy with this number would listen.
  static Endpoint proxy_endpoint(int number);

  SharedLog log;
  simulation::World world;

 private:
  void start_node(int number);
};

}  // namespace cairnhollow::cli

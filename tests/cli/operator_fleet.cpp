#include "tests/cli/operator_fleet.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "cli/run_command.h"
#include "declared/control/operator/operator_api.h"

namespace cairnhollow::cli {

namespace {

constexpr int kNodes = 3;
constexpr std::uint16_t kOperatorPort = 80;
constexpr Duration kCommandLimit = std::chrono::minutes(3);

Awaitable<void> run_into(CommandContext& context, CommandResult& result) {
  result.code = co_await run_command(context);
  result.done = true;
}

std::string server_list() {
  std::string servers;
  for (int number = 1; number <= kNodes; ++number) {
    servers +=
        fmt::format("{}{}:{}", number == 1 ? "" : ",", OperatorFleet::address_of(number), kOperatorPort);
  }
  return servers;
}

/// One command from its words to its result.
class RunningCommand {
 public:
  RunningCommand(runtime::Runtime& runtime, const TypedCommand& command, const std::string& servers) {
    Reason reason;
    const auto parsed =
        parse_command_line(command.words, Environment{servers, command.operator_name}, reason);
    if (!parsed || !parsed->command_line) {
      errors_ << reason.detail;
      output_ << (parsed ? parsed->text : "");
      result_.done = true;
      return;
    }
    line_ = *parsed->command_line;
    OperatorClientSettings settings;
    settings.servers = line_.servers;
    client_ = std::make_unique<OperatorClient>(runtime, settings);
    context_ = std::make_unique<CommandContext>(CommandContext{runtime, *client_, line_, output_, errors_});
    runtime.spawn("command", run_into(*context_, result_));
  }

  [[nodiscard]] CommandResult result() const {
    CommandResult result = result_;
    result.output = output_.str();
    result.errors = errors_.str();
    return result;
  }

 private:
  CommandLine line_;
  std::unique_ptr<OperatorClient> client_;
  std::unique_ptr<CommandContext> context_;
  std::ostringstream output_;
  std::ostringstream errors_;
  CommandResult result_;
};

/// A file that is gone when the test is.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    std::string path = (std::filesystem::temp_directory_path() / "cairnhollow-manifest-XXXXXX").string();
    const int descriptor = mkstemp(path.data());
    if (descriptor >= 0) close(descriptor);
    path_ = path;
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace

void SharedLog::join(const NodeName& node, declared::control::ConfigReplica* replica) {
  replicas_[node] = replica;
  for (std::size_t i = 0; i < commands.size(); ++i) replica->apply(i + 1, commands[i]);
}

std::uint64_t SharedLog::append(const std::string& command) {
  commands.push_back(command);
  for (const auto& [node, replica] : replicas_) replica->apply(commands.size(), command);
  return commands.size();
}

Awaitable<std::optional<std::uint64_t>> LogConsensus::propose(std::string command, TimePoint deadline,
                                                              Reason& reason) {
  if (log_.leader != node_) {
    reason = Reason{ReasonCode::kNotLeader, "propose", node_.value, "another node leads"};
    co_return std::nullopt;
  }
  if (!log_.has_quorum) {
    co_await runtime_.sleep_for(deadline - runtime_.now());
    reason = Reason{ReasonCode::kNoQuorum, "propose", node_.value, "no majority answered"};
    co_return std::nullopt;
  }
  const std::uint64_t index = log_.append(command);
  if (log_.answers_to_lose > 0) {
    --log_.answers_to_lose;
    reason = Reason{ReasonCode::kOutcomeUnknown, "propose", node_.value, "leadership was lost"};
    co_return std::nullopt;
  }
  const Duration delay = std::exchange(log_.answer_delay, Duration{0});
  if (delay > Duration::zero()) co_await runtime_.sleep_for(delay);
  co_return index;
}

Awaitable<std::optional<std::uint64_t>> LogConsensus::read_barrier(TimePoint deadline, Reason& reason) {
  if (!log_.has_quorum) {
    co_await runtime_.sleep_for(deadline - runtime_.now());
    reason = Reason{ReasonCode::kNoQuorum, "read_barrier", node_.value, "no majority answered"};
    co_return std::nullopt;
  }
  co_return log_.commands.size();
}

Awaitable<bool> LogConsensus::add_member(consensus::Member member, TimePoint /*deadline*/,
                                         Reason& /*reason*/) {
  members.push_back(std::move(member));
  co_return true;
}

Awaitable<bool> LogConsensus::remove_member(NodeName node, TimePoint /*deadline*/, Reason& reason) {
  const auto removed = std::erase_if(members, [&](const auto& member) { return member.node == node; });
  if (removed == 0) reason = Reason{ReasonCode::kNotFound, "remove_member", "", "no such member"};
  co_return removed > 0;
}

Awaitable<bool> LogConsensus::replace_member(NodeName lost, consensus::Member replacement, TimePoint deadline,
                                             Reason& reason) {
  const bool removed = co_await remove_member(std::move(lost), deadline, reason);
  if (removed) members.push_back(std::move(replacement));
  co_return removed;
}

consensus::ConsensusStatus LogConsensus::status() const {
  consensus::ConsensusStatus status;
  status.leader = log_.leader;
  status.state = log_.leader == node_ ? consensus::ServerState::kLeader : consensus::ServerState::kFollower;
  status.term = 3;
  status.commit_index = log_.commands.size();
  status.members = members;
  return status;
}

std::vector<declared::control::FleetEvent> FakeSources::events_since(std::uint64_t since,
                                                                     std::uint32_t limit) const {
  std::vector<declared::control::FleetEvent> found;
  for (const auto& event : events) {
    if (event.number > since && found.size() < limit) found.push_back(event);
  }
  return found;
}

void FakeSources::record(declared::control::FleetEvent event) {
  event.number = events.size() + 1;
  event.node = node;
  events.push_back(std::move(event));
}

Awaitable<std::optional<declared::control::SwitchoverOutcome>> FakeSources::switch_over(
    declared::control::SwitchoverRequest request, TimePoint /*deadline*/, Reason& /*reason*/) {
  switchovers.push_back(std::move(request));
  co_return declared::control::SwitchoverOutcome{BackendName("orders-b"), 8};
}

bool FakeSources::ready(Reason& reason) const {
  if (!is_ready) reason = Reason{ReasonCode::kNoQuorum, "recover", "", "still recovering"};
  return is_ready;
}

TestControlNode::TestControlNode(runtime::Runtime& runtime, const NodeName& node, Endpoint endpoint,
                                 SharedLog& log)
    : consensus(runtime, node, log),
      runtime_(runtime),
      endpoint_(std::move(endpoint)),
      replica_(runtime),
      service_(runtime, node, endpoint_, consensus, replica_, sources.all()),
      api_(declared::control::make_operator_api(runtime, service_)) {
  sources.node = node;
  log.join(node, &replica_);
}

Awaitable<bool> TestControlNode::start(Reason& reason) {
  server_ = runtime_.http().serve(endpoint_, *api_, reason);
  co_return server_ != nullptr;
}

Awaitable<void> TestControlNode::drain() {
  server_->stop_accepting();
  co_return;
}

OperatorFleet::OperatorFleet() : world(simulation::WorldSettings{}) {
  log.leader = NodeName("control-1");
  for (int number = 1; number <= kNodes; ++number) start_node(number);
  for (int number = 1; number <= kNodes; ++number) {
    for (int other = 1; other <= kNodes; ++other) {
      consensus::Member member;
      member.node = NodeName(fmt::format("control-{}", other));
      member.identity = fmt::format("disk-{}", other);
      member.endpoint = Endpoint{address_of(other), 90};
      member.zone = ZoneName("kelburn");
      node(number).consensus.members.push_back(std::move(member));
      if (other == number) continue;
      declared::control::ControlPeerStatus peer;
      peer.node = NodeName(fmt::format("control-{}", other));
      peer.operator_endpoint = Endpoint{address_of(other), kOperatorPort};
      peer.reachable = true;
      node(number).sources.peers.push_back(std::move(peer));
    }
  }
  simulation::ProcessSettings settings;
  settings.name = "operator";
  settings.address = "10.0.1.1";
  settings.zone = ZoneName("kelburn");
  world.start_bare(std::move(settings));
  world.run_for(std::chrono::milliseconds(10));
}

void OperatorFleet::start_node(int number) {
  simulation::ProcessSettings settings;
  settings.name = fmt::format("control-{}", number);
  settings.address = address_of(number);
  settings.zone = ZoneName("kelburn");
  const NodeName name(settings.name);
  const Endpoint endpoint{settings.address, kOperatorPort};
  world.start(std::move(settings), [this, name, endpoint](runtime::Runtime& runtime) {
    return std::make_unique<TestControlNode>(runtime, name, endpoint, log);
  });
}

CommandResult OperatorFleet::run(const std::vector<std::string>& words, const std::string& operator_name) {
  return run_together({{words, operator_name}}).front();
}

std::vector<CommandResult> OperatorFleet::run_together(const std::vector<TypedCommand>& commands) {
  auto& runtime = world.runtime("operator");
  std::vector<std::unique_ptr<RunningCommand>> running;
  running.reserve(commands.size());
  for (const auto& command : commands) {
    running.push_back(std::make_unique<RunningCommand>(runtime, command, server_list()));
  }
  const auto all_done = [&] {
    return std::all_of(running.begin(), running.end(), [](const auto& each) { return each->result().done; });
  };
  world.run_until(all_done, kCommandLimit);
  std::vector<CommandResult> results;
  results.reserve(running.size());
  for (const auto& each : running) results.push_back(each->result());
  return results;
}

CommandResult OperatorFleet::run_with_manifest(const std::string& command, const std::string& manifest,
                                               std::vector<std::string> further_words,
                                               const std::string& operator_name) {
  const TemporaryFile file(manifest);
  std::vector<std::string> words{command, "-f", file.path()};
  words.insert(words.end(), further_words.begin(), further_words.end());
  return run(words, operator_name);
}

TestControlNode& OperatorFleet::node(int number) {
  return dynamic_cast<TestControlNode&>(world.role(fmt::format("control-{}", number)));
}

Endpoint OperatorFleet::proxy_endpoint(int number) { return {fmt::format("10.0.3.{}", number), 4000}; }

std::string OperatorFleet::address_of(int number) { return fmt::format("10.0.0.{}", number); }

}  // namespace cairnhollow::cli

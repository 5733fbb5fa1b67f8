// Raft over loopback TCP and real files: proposals and read barriers a second, size of its messages.
#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <filesystem>

#include "consensus/messages.h"
#include "consensus/raft.h"
#include "host/asio_runtime.h"
#include "wire/hello.h"

namespace cairnhollow::consensus {
namespace {

constexpr std::size_t kVoters = 3;
constexpr std::size_t kCommandBytes = 200;
constexpr Duration kTimeout = std::chrono::seconds(10);

class CountingStateMachine : public ReplicatedStateMachine {
 public:
  void apply(std::uint64_t /*index*/, const std::string& /*command*/) override { ++applied_; }
  [[nodiscard]] std::string take_snapshot() const override { return std::to_string(applied_); }
  bool restore_snapshot(const std::string& bytes, Reason& /*reason*/) override {
    applied_ = std::stoull(bytes);
    return true;
  }

 private:
  std::uint64_t applied_ = 0;
};

struct Server {
  std::unique_ptr<runtime::Runtime> runtime;
  CountingStateMachine machine;
  std::unique_ptr<runtime::FrameListener> listener;
  std::unique_ptr<RaftNode> node;
};

Awaitable<void> serve(Server* server, std::shared_ptr<runtime::FrameConnection> connection) {
  Reason reason;
  const auto frame = co_await connection->receive(reason);
  const auto hello = frame ? wire::decode<wire::Hello>(*frame, reason) : std::nullopt;
  if (!hello) co_return;
  NodeName peer = hello->node;
  co_await server->node->serve(connection, std::move(peer));
}

Awaitable<void> accept(Server* server) {
  while (true) {
    Reason reason;
    auto connection = co_await server->listener->accept(reason);
    if (connection == nullptr) co_return;
    server->runtime->spawn("serve", serve(server, connection));
  }
}

Awaitable<void> start(Server* server) {
  Reason reason;
  const bool started = co_await server->node->start(reason);
  if (!started) fmt::print(stderr, "{}\n", reason.to_string());
}

Awaitable<void> propose(Server* server, std::size_t* open) {
  Reason reason;
  std::string command(kCommandBytes, 'x');
  const TimePoint deadline = server->runtime->now() + kTimeout;
  const auto index = co_await server->node->propose(std::move(command), deadline, reason);
  if (!index) fmt::print(stderr, "{}\n", reason.to_string());
  --*open;
}

Awaitable<void> barrier(Server* server, std::size_t* open) {
  Reason reason;
  const TimePoint deadline = server->runtime->now() + kTimeout;
  const auto index = co_await server->node->read_barrier(deadline, reason);
  if (!index) fmt::print(stderr, "{}\n", reason.to_string());
  --*open;
}

/// Three voters on one thread, each with its own files. Never destroyed, as its coroutines never end.
class Group {
 public:
  Group()
      : folder_(std::filesystem::temp_directory_path() /
                fmt::format("raft-bench-{}-{}", ::getpid(), ++group_count)) {
    std::filesystem::remove_all(folder_);
    std::vector<Member> members;
    for (std::size_t number = 0; number < kVoters; ++number) {
      auto server = std::make_unique<Server>();
      host::AsioRuntimeSettings settings;
      settings.node = fmt::format("node-{}", number);
      settings.data_folder = folder_ / settings.node;
      settings.random_seed = number + 1;
      settings.log_level = runtime::LogLevel::kError;
      server->runtime = host::make_asio_runtime(context_, settings);
      Reason reason;
      server->listener = server->runtime->network().listen(Endpoint{"127.0.0.1", 0}, reason);
      Member member;
      member.node = NodeName(settings.node);
      member.endpoint = server->listener->endpoint();
      members.push_back(member);
      servers_.push_back(std::move(server));
    }
    for (std::size_t number = 0; number < kVoters; ++number) {
      Server* server = servers_[number].get();
      RaftSettings settings;
      settings.node = members[number].node;
      settings.endpoint = members[number].endpoint;
      settings.initial_members = members;
      server->node = make_raft_node(*server->runtime, server->machine, settings);
      server->runtime->spawn("start", start(server));
      server->runtime->spawn("accept", accept(server));
    }
    run_until([this] { return leader() != nullptr && leader()->node->status().applied_index > 0; });
  }
  void remove_files() { std::filesystem::remove_all(folder_); }

  Server* leader() {
    for (const auto& server : servers_) {
      if (server->node->status().state == ServerState::kLeader) return server.get();
    }
    return nullptr;
  }
  template <class Condition>
  void run_until(Condition done) {
    while (!done()) context_.run_one();
  }

 private:
  static inline int group_count = 0;
  std::filesystem::path folder_;
  boost::asio::io_context context_{1};
  std::vector<std::unique_ptr<Server>> servers_;
};

/// Keeps `range(0)` calls open.
template <class Call>
void run_calls(benchmark::State& state, Call call) {
  Group& group = *new Group();
  Server* leader = group.leader();
  const auto side_by_side = static_cast<std::size_t>(state.range(0));
  std::size_t open = 0;
  for (auto iteration : state) {
    (void)iteration;
    ++open;
    leader->runtime->spawn("call", call(leader, &open));
    group.run_until([&] { return open < side_by_side; });
  }
  group.run_until([&] { return open == 0; });
  state.SetItemsProcessed(state.iterations());
  group.remove_files();
}

void propose_over_loopback(benchmark::State& state) { run_calls(state, propose); }
void barrier_over_loopback(benchmark::State& state) { run_calls(state, barrier); }

PeerRequest make_request(RequestBody body) {
  PeerRequest request;
  request.correlation = 1'000'000;
  request.from = NodeName("control-1");
  request.from_identity = std::string(32, 'a');
  request.to_identity = std::string(32, 'b');
  request.term = 7;
  request.body = std::move(body);
  return request;
}

void encode_heartbeat(benchmark::State& state) {
  const PeerRequest request = make_request(HeartbeatRequest{});
  std::size_t bytes = 0;
  for (auto iteration : state) {
    (void)iteration;
    bytes = wire::encode(request).size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

void decode_heartbeat(benchmark::State& state) {
  const std::string bytes = wire::encode(make_request(HeartbeatRequest{}));
  for (auto iteration : state) {
    (void)iteration;
    Reason reason;
    benchmark::DoNotOptimize(wire::decode<PeerRequest>(bytes, reason));
  }
}

void encode_append(benchmark::State& state) {
  AppendRequest append;
  for (std::int64_t number = 0; number < state.range(0); ++number) {
    append.entries.push_back(LogEntry{1, 1, EntryKind::kCommand, std::string(kCommandBytes, 'x')});
  }
  const PeerRequest request = make_request(std::move(append));
  std::size_t bytes = 0;
  for (auto iteration : state) {
    (void)iteration;
    bytes = wire::encode(request).size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
  state.SetItemsProcessed(state.iterations() * state.range(0));
}

BENCHMARK(propose_over_loopback)->Arg(1)->Arg(64)->Arg(512)->UseRealTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(barrier_over_loopback)->Arg(1)->Arg(1000)->UseRealTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(encode_heartbeat);
BENCHMARK(decode_heartbeat);
BENCHMARK(encode_append)->Arg(1)->Arg(256);

}  // namespace
}  // namespace cairnhollow::consensus

// Simulated processes for tests of the follow protocol: a control node reduced to its follow server, and a
// follower.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "declared/control/follow/config_replica.h"
#include "declared/control/follow/follow_server.h"
#include "declared/control/news/cluster_state_directory.h"
#include "declared/follow/follow_client.h"
#include "wire/codec.h"
#include "wire/connection_dispatcher.h"

namespace cairnhollow::declared::control::testing {

inline constexpr Duration kLease = std::chrono::seconds(2);
inline const Endpoint kServer{"10.0.1.1", 4000};
inline const Endpoint kRelay{"10.0.1.2", 4000};
inline const Endpoint kSecond{"10.0.1.3", 4000};

/// Consensus whose read barriers succeed or fail, as `quorum` says.
class FakeConsensus : public consensus::Consensus {
 public:
  explicit FakeConsensus(runtime::Runtime& runtime) : runtime_(runtime) {}

  Awaitable<std::optional<std::uint64_t>> propose(std::string, TimePoint, Reason& reason) override {
    reason.code = ReasonCode::kNotLeader;
    co_return std::nullopt;
  }
  Awaitable<std::optional<std::uint64_t>> read_barrier(TimePoint, Reason& reason) override {
    ++rounds;
    co_await runtime_.sleep_for(std::chrono::milliseconds(3));
    if (quorum) co_return std::uint64_t{1};
    reason = Reason{ReasonCode::kNoQuorum, "read_barrier", "", "no majority answered"};
    co_return std::nullopt;
  }
  Awaitable<bool> add_member(consensus::Member, TimePoint, Reason&) override { co_return false; }
  Awaitable<bool> remove_member(NodeName, TimePoint, Reason&) override { co_return false; }
  Awaitable<bool> replace_member(NodeName, consensus::Member, TimePoint, Reason&) override {
    co_return false;
  }
  [[nodiscard]] consensus::ConsensusStatus status() const override { return {}; }

  bool quorum = true;
  int rounds = 0;

 private:
  runtime::Runtime& runtime_;
};

/// A control node that runs only its follow server.
class ServerRole : public runtime::Role {
 public:
  explicit ServerRole(runtime::Runtime& runtime, Endpoint endpoint = kServer)
      : consensus(runtime),
        barrier(consensus),
        replica(runtime),
        directory(runtime),
        server(runtime, kLease, barrier, replica, directory),
        endpoint_(std::move(endpoint)),
        dispatcher_(runtime) {}

  Awaitable<bool> start(Reason& reason) override {
    dispatcher_.route(wire::Conversation::kFollow,
                      [this](std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello) {
                        return server.serve(std::move(connection), std::move(hello));
                      });
    server.start();
    co_return dispatcher_.start(endpoint_, reason);
  }
  Awaitable<void> drain() override {
    dispatcher_.stop();
    server.stop();
    co_return;
  }

  FakeConsensus consensus;
  ConsensusBarrier barrier;
  ConfigReplica replica;
  ClusterStateDirectory directory;
  FollowServer server;

 private:
  Endpoint endpoint_;
  wire::ConnectionDispatcher dispatcher_;
};

/// A follower that runs only its follow client.
class ClientRole : public runtime::Role {
 public:
  ClientRole(runtime::Runtime& runtime, follow::FollowClientSettings settings)
      : client(runtime, std::move(settings)) {}
  Awaitable<bool> start(Reason&) override {
    client.start();
    co_return true;
  }
  Awaitable<void> drain() override {
    client.stop();
    co_return;
  }
  follow::FollowClient client;
};

/// Returns an encoded log entry that writes one backend.
inline std::string write_command(int number, const std::string& name) {
  config::ChangeRequest request;
  request.change_id = "change-" + std::to_string(number);
  request.operator_name = "test";
  config::ObjectChange change;
  change.object.name = name;
  change.object.labels.entries["number"] = std::to_string(number);
  config::BackendSpec spec;
  spec.zone = ZoneName("zone-1");
  spec.endpoint = Endpoint{"10.0.9." + std::to_string(1 + number % 20), 5000};
  change.object.spec = spec;
  request.changes.push_back(change);
  return wire::encode(request);
}

}  // namespace cairnhollow::declared::control::testing

// Reconnect backoff to a peer that accepts connections without answering.
#include "consensus/peer_channel.h"

#include <cppunit/extensions/HelperMacros.h>

#include "consensus/knobs.h"
#include "simulation/world.h"
#include "wire/codec.h"

namespace cairnhollow::consensus {
namespace {

using std::chrono::seconds;

const Endpoint kPeerEndpoint{"10.0.1.2", 7000};

/// Accepts and closes connections, like a forwarder in front of a process that is not listening.
Awaitable<void> accept_and_close(runtime::FrameListener* listener, int* accepted) {
  Reason reason;
  while (true) {
    const auto connection = co_await listener->accept(reason);
    if (connection == nullptr) co_return;
    ++*accepted;
    connection->close();
  }
}

/// Answers the first request of each connection, then closes.
Awaitable<void> answer_once_and_close(runtime::FrameListener* listener, int* accepted) {
  Reason reason;
  while (true) {
    const auto connection = co_await listener->accept(reason);
    if (connection == nullptr) co_return;
    ++*accepted;
    const auto hello = co_await connection->receive(reason);
    const auto frame = co_await connection->receive(reason);
    const auto request = frame ? wire::decode<PeerRequest>(*frame, reason) : std::nullopt;
    if (hello && request) {
      PeerAnswer answer;
      answer.correlation = request->correlation;
      co_await connection->send(wire::encode(answer), reason);
    }
    connection->close();
  }
}

Awaitable<void> call_without_end(runtime::Runtime* runtime, std::shared_ptr<PeerChannel> channel) {
  while (true) {
    Reason reason;
    const PeerRequest request;
    co_await channel->call(request, runtime->now() + kMaxReconnectDelay, reason);
    co_await runtime->sleep_for(kInitialReconnectDelay);
  }
}

class PeerChannelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerChannelTest);
  CPPUNIT_TEST(backs_off_when_the_peer_accepts_and_closes);
  CPPUNIT_TEST(answer_resets_the_backoff);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings());
    auto& node = start("node-1", "10.0.1.1");
    auto& peer = start("node-2", kPeerEndpoint.address);
    Reason reason;
    listener_ = peer.network().listen(kPeerEndpoint, reason);
    CPPUNIT_ASSERT(listener_ != nullptr);
    accepted_ = 0;
    PeerChannelSettings settings;
    settings.endpoint = kPeerEndpoint;
    settings.stall_limit = seconds(1);
    const auto channel = std::make_shared<PeerChannel>(node, settings);
    node.spawn("channel", channel->run(channel));
    node.spawn("caller", call_without_end(&node, channel));
  }

  void backs_off_when_the_peer_accepts_and_closes() {
    world_->runtime("node-2").spawn("peer", accept_and_close(listener_.get(), &accepted_));
    world_->run_for(seconds(10));
    // Each wait is at least half of the maximum; a few shorter ones precede it.
    constexpr int kShorterWaits = 6;
    const auto most = seconds(10) / (kMaxReconnectDelay / 2) + kShorterWaits;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(accepted_), accepted_ <= most);
    CPPUNIT_ASSERT(accepted_ >= seconds(10) / kMaxReconnectDelay / 2);
  }

  void answer_resets_the_backoff() {
    world_->runtime("node-2").spawn("peer", answer_once_and_close(listener_.get(), &accepted_));
    world_->run_for(seconds(10));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(accepted_), accepted_ > seconds(10) / (kMaxReconnectDelay / 2) * 2);
  }

 private:
  simulation::VirtualRuntime& start(const std::string& name, const std::string& address) {
    simulation::ProcessSettings process;
    process.name = name;
    process.address = address;
    return world_->start_bare(process);
  }

  std::unique_ptr<simulation::World> world_;
  std::unique_ptr<runtime::FrameListener> listener_;
  int accepted_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerChannelTest);

}  // namespace
}  // namespace cairnhollow::consensus

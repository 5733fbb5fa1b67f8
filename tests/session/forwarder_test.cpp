// A forwarder waits for a proxy that lives, however slow its statements, and gives up one that is silent.
#include "session/forwarder.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/world.h"
#include "wire/codec.h"

namespace cairnhollow::session {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Endpoint kPeer{"10.0.0.2", 7440};

/// The other proxy: answers ends at once and runs after a while, or nothing at all.
class Peer {
 public:
  explicit Peer(runtime::Runtime& runtime) : runtime_(runtime) {
    Reason reason;
    listener_ = runtime_.network().listen(kPeer, reason);
    runtime_.spawn("peer", accept());
  }
  bool answers = true;
  Duration run_takes{0};
  int ends = 0;

 private:
  Awaitable<void> accept() {
    Reason reason;
    const auto frames = co_await listener_->accept(reason);
    co_await frames->receive(reason);  // hello
    while (const auto frame = co_await frames->receive(reason)) {
      const auto request = wire::decode<ForwardRequest>(*frame, reason);
      const bool is_end = std::holds_alternative<ForwardEnd>(request->body);
      if (is_end) ++ends;
      if (answers)
        runtime_.spawn("answer", answer(frames, request->correlation, is_end ? Duration(0) : run_takes));
    }
  }
  Awaitable<void> answer(std::shared_ptr<runtime::FrameConnection> frames, std::uint64_t correlation,
                         Duration after) {
    co_await runtime_.sleep_for(after);
    ForwardAnswer answer;
    answer.correlation = correlation;
    Reason reason;
    co_await frames->send(wire::encode(answer), reason);
  }

  runtime::Runtime& runtime_;
  std::unique_ptr<runtime::FrameListener> listener_;
};

struct Call {
  bool finished = false;
  bool answered = false;
  TimePoint ended{};
  Reason reason;
};

Awaitable<void> call(runtime::Runtime& runtime, Forwarder& forwarder, routing::ProxyPointer proxy,
                     Call& result) {
  const TimePoint deadline = runtime.now() + seconds(5);
  const auto connection = co_await forwarder.connect(proxy, deadline, result.reason);
  ForwardRequest request;
  request.body = ForwardRun{};
  const auto answer = co_await connection->call(std::move(request), deadline, result.reason);
  result.answered = answer.has_value();
  result.ended = runtime.now();
  result.finished = true;
}

}  // namespace

class ForwarderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwarderTest);
  CPPUNIT_TEST(a_slow_statement_is_waited_for);
  CPPUNIT_TEST(a_silent_proxy_is_given_up);
  CPPUNIT_TEST(nothing_is_asked_while_nothing_is_waited_for);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    peer_ = std::make_unique<Peer>(world_->start_bare({"peer", kPeer.address, ZoneName("a")}));
    forwarder_ = std::make_unique<Forwarder>(*runtime_, NodeName("proxy"), ZoneName("a"));
    proxy_ = std::make_shared<routing::ProxyView>(routing::ProxyView{NodeName("peer"), ZoneName("a"), kPeer});
  }
  void tearDown() override {
    // Connections end in their world.
    forwarder_.reset();
    peer_.reset();
    world_.reset();
  }

  void a_slow_statement_is_waited_for() {
    peer_->run_takes = seconds(2);
    const Call result = run_call();
    CPPUNIT_ASSERT(result.answered);
    CPPUNIT_ASSERT_MESSAGE("it was asked for signs of life", peer_->ends > 2);
  }

  void a_silent_proxy_is_given_up() {
    peer_->answers = false;
    const TimePoint begun = runtime_->now();
    const Call result = run_call();
    CPPUNIT_ASSERT(!result.answered);
    CPPUNIT_ASSERT(result.reason.code == ReasonCode::kConnectionLost);
    CPPUNIT_ASSERT(result.ended - begun < milliseconds(700));
  }

  void nothing_is_asked_while_nothing_is_waited_for() {
    const Call result = run_call();
    CPPUNIT_ASSERT(result.answered);
    world_->run_for(seconds(5));
    CPPUNIT_ASSERT_EQUAL(0, peer_->ends);
  }

 private:
  Call run_call() {
    Call result;
    runtime_->spawn("call", call(*runtime_, *forwarder_, proxy_, result));
    world_->run_until([&] { return result.finished; }, seconds(6));
    CPPUNIT_ASSERT(result.finished);
    return result;
  }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<Peer> peer_;
  std::unique_ptr<Forwarder> forwarder_;
  routing::ProxyPointer proxy_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderTest);

}  // namespace cairnhollow::session

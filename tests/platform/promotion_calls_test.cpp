// Promotion requests: what their outcome tells, and that a reset leaves nothing behind that could arrive
// later.
#include <cppunit/extensions/HelperMacros.h>

#include "platform/control_calls.h"
#include "simulation/world.h"
#include "tests/support/byte_peer.h"
#include "tests/support/loopback.h"

namespace cairnhollow::platform {

using registered::registry::PromotionCaller;
using registered::registry::PromotionChannel;
using registered::registry::PromotionOrder;
using registered::registry::PromotionOutcome;
using tests::ByteListener;
using tests::BytePeer;
using tests::Loopback;

namespace {

const PromotionOrder kOrder{GroupName("huvo11a"), BackendName("i-7f3a91c2"), NodeName("control-1"), 12};
constexpr unsigned kNoAnswer = 0;

/// Answers every request with one status, or never.
class FakePlatform : public runtime::HttpHandler {
 public:
  explicit FakePlatform(runtime::Runtime& runtime) : runtime_(runtime) {}
  Awaitable<runtime::HttpResponse> handle(runtime::HttpRequest request, runtime::HttpConnectionId) override {
    requests.push_back(std::move(request));
    if (status == kNoAnswer) co_await runtime_.sleep_for(std::chrono::hours(1));
    runtime::HttpResponse response;
    response.status = status;
    co_return response;
  }

  std::vector<runtime::HttpRequest> requests;
  unsigned status = 200;

 private:
  runtime::Runtime& runtime_;
};

/// One promotion request and what came of it.
struct Call {
  std::shared_ptr<PromotionChannel> channel;
  std::optional<PromotionOutcome> outcome;
  Reason reason;
};

Awaitable<void> connect(PromotionCaller& caller, Call& call) {
  call.channel = co_await caller.connect(TimePoint::max(), call.reason);
}

/// The channel may be destroyed during the request.
Awaitable<void> request(PromotionChannel& channel, Call& call, TimePoint deadline) {
  call.outcome = co_await channel.request(kOrder, deadline, call.reason);
}

}  // namespace

/// On sockets.
class PromotionCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromotionCallsTest);
  CPPUNIT_TEST(sends_the_order);
  CPPUNIT_TEST(success_is_accepted);
  CPPUNIT_TEST(conflict_and_rate_limit_are_rejected);
  CPPUNIT_TEST(any_other_status_is_unknown);
  CPPUNIT_TEST(nobody_listening_gives_no_channel);
  CPPUNIT_TEST(end_without_an_answer_is_unknown);
  CPPUNIT_TEST(passed_deadline_is_unknown);
  CPPUNIT_TEST(reset_while_waiting_is_unknown);
  CPPUNIT_TEST(reset_before_the_request_sends_nothing);
  CPPUNIT_TEST(sends_at_most_once);
  CPPUNIT_TEST(every_end_is_a_reset);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loopback_ = std::make_unique<Loopback>();
    platform_ = std::make_unique<FakePlatform>(loopback_->runtime());
    Reason reason;
    server_ = loopback_->runtime().http().serve({"127.0.0.1", 0}, *platform_, reason);
    CPPUNIT_ASSERT(server_ != nullptr);
    caller_ = make_promotion_caller(loopback_->runtime(), server_->endpoint());
    call_ = Call{};
  }
  void tearDown() override {
    call_ = Call{};
    caller_.reset();
    server_.reset();
    loopback_.reset();
    platform_.reset();
  }

  void sends_the_order() {
    promote();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, platform_->requests.size());
    const runtime::HttpRequest& sent = platform_->requests.front();
    CPPUNIT_ASSERT(sent.method == runtime::HttpMethod::kPost);
    CPPUNIT_ASSERT_EQUAL(std::string("/promotion"), sent.target);
    CPPUNIT_ASSERT_EQUAL(std::string("control-1"), sent.headers.find("x-lease-holder").value_or(""));
    CPPUNIT_ASSERT_EQUAL(std::string("12"), sent.headers.find("x-fencing-token").value_or(""));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"Service":"huvo11a","Id":"i-7f3a91c2"})"), sent.body);
  }

  void success_is_accepted() {
    for (const unsigned status : {200U, 202U, 204U}) {
      platform_->status = status;
      CPPUNIT_ASSERT(promote() == PromotionOutcome::kAccepted);
      CPPUNIT_ASSERT(!call_.channel->is_open());
    }
  }

  void conflict_and_rate_limit_are_rejected() {
    platform_->status = 409;
    CPPUNIT_ASSERT(promote() == PromotionOutcome::kRejected);
    CPPUNIT_ASSERT(call_.reason.code == ReasonCode::kConflict);
    platform_->status = 429;
    CPPUNIT_ASSERT(promote() == PromotionOutcome::kRejected);
    CPPUNIT_ASSERT(call_.reason.code == ReasonCode::kOverloaded);
    CPPUNIT_ASSERT(!call_.channel->is_open());
  }

  void any_other_status_is_unknown() {
    for (const unsigned status : {302U, 400U, 403U, 404U, 500U, 502U, 503U, 504U}) {
      platform_->status = status;
      CPPUNIT_ASSERT(promote() == PromotionOutcome::kUnknown);
      CPPUNIT_ASSERT(call_.reason.code == ReasonCode::kUnreachable);
    }
  }

  void nobody_listening_gives_no_channel() {
    server_.reset();
    loopback_->run(connect(*caller_, call_));
    CPPUNIT_ASSERT(call_.channel == nullptr);
    CPPUNIT_ASSERT(call_.reason.code == ReasonCode::kUnreachable);
  }

  void end_without_an_answer_is_unknown() {
    start_without_answer(TimePoint::max());
    server_->close();
    finish();
    CPPUNIT_ASSERT(call_.outcome == PromotionOutcome::kUnknown);
    CPPUNIT_ASSERT(call_.reason.code == ReasonCode::kConnectionLost);
  }

  void passed_deadline_is_unknown() {
    start_without_answer(loopback_->runtime().now() + std::chrono::milliseconds(100));
    finish();
    CPPUNIT_ASSERT(call_.outcome == PromotionOutcome::kUnknown);
    CPPUNIT_ASSERT(call_.reason.code == ReasonCode::kDeadlineExceeded);
  }

  void reset_while_waiting_is_unknown() {
    start_without_answer(TimePoint::max());
    CPPUNIT_ASSERT(call_.channel->is_open());
    call_.channel->reset();
    CPPUNIT_ASSERT(!call_.channel->is_open());
    finish();
    CPPUNIT_ASSERT(call_.outcome == PromotionOutcome::kUnknown);
    CPPUNIT_ASSERT(call_.reason.failed());
  }

  void reset_before_the_request_sends_nothing() {
    loopback_->run(connect(*caller_, call_));
    call_.channel->reset();
    loopback_->run(request(*call_.channel, call_, TimePoint::max()));
    CPPUNIT_ASSERT(call_.outcome == PromotionOutcome::kNotSent);
    CPPUNIT_ASSERT(call_.reason.failed());
    CPPUNIT_ASSERT(platform_->requests.empty());
  }

  void sends_at_most_once() {
    start_without_answer(TimePoint::max());
    Call second;
    loopback_->run(request(*call_.channel, second, TimePoint::max()));
    CPPUNIT_ASSERT(second.outcome == PromotionOutcome::kNotSent);
    CPPUNIT_ASSERT(second.reason.code == ReasonCode::kInternal);
    CPPUNIT_ASSERT(call_.channel->is_open());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, platform_->requests.size());
    call_.channel->reset();
    finish();
  }

  void every_end_is_a_reset() {
    ByteListener listener(loopback_->context().get_executor());
    caller_ = make_promotion_caller(loopback_->runtime(), listener.endpoint());
    for (const std::string answer : {"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "nonsense\r\n\r\n"})
      loopback_->run(assert_reset_after(listener, answer));
    loopback_->run(assert_reset_by_destruction(listener));
  }

 private:
  PromotionOutcome promote() {
    call_ = Call{};
    loopback_->run(connect(*caller_, call_));
    CPPUNIT_ASSERT(call_.channel != nullptr);
    loopback_->run(request(*call_.channel, call_, loopback_->limit()));
    return call_.outcome.value();
  }

  /// Returns once the platform has a request that it will not answer.
  void start_without_answer(TimePoint deadline) {
    platform_->status = kNoAnswer;
    loopback_->run(connect(*caller_, call_));
    loopback_->runtime().spawn("request", request(*call_.channel, call_, deadline));
    loopback_->run(wait_for([this] { return !platform_->requests.empty(); }));
  }
  void finish() {
    loopback_->run(wait_for([this] { return call_.outcome.has_value(); }));
  }
  Awaitable<void> wait_for(std::function<bool()> done) {
    while (!done()) co_await loopback_->runtime().sleep_for(std::chrono::milliseconds(1));
  }

  Awaitable<void> assert_reset_after(ByteListener& listener, std::string answer) {
    co_await connect(*caller_, call_);
    BytePeer peer = co_await listener.accept();
    loopback_->runtime().spawn("request", request(*call_.channel, call_, TimePoint::max()));
    co_await peer.receive_until("\"}");
    co_await peer.send(answer);
    const auto end = co_await peer.wait_for_end();
    CPPUNIT_ASSERT(end == boost::asio::error::connection_reset);
  }

  Awaitable<void> assert_reset_by_destruction(ByteListener& listener) {
    co_await connect(*caller_, call_);
    BytePeer peer = co_await listener.accept();
    loopback_->runtime().spawn("request", request(*call_.channel, call_, TimePoint::max()));
    co_await peer.receive_until("\"}");
    call_.channel.reset();
    const auto end = co_await peer.wait_for_end();
    CPPUNIT_ASSERT(end == boost::asio::error::connection_reset);
  }

  std::unique_ptr<Loopback> loopback_;
  std::unique_ptr<FakePlatform> platform_;
  std::unique_ptr<runtime::HttpServer> server_;
  std::unique_ptr<PromotionCaller> caller_;
  Call call_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionCallsTest);

/// In the simulated network.
class HeldUpPromotionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeldUpPromotionTest);
  CPPUNIT_TEST(reset_takes_back_what_a_cut_holds_up);
  CPPUNIT_TEST(destruction_takes_back_what_a_cut_holds_up);
  CPPUNIT_TEST(killed_caller_leaves_nothing_behind);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    call_ = Call{};
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    auto& platform_runtime = world_->start_bare({"platform", kEndpoint.address, kPlatformZone});
    platform_ = std::make_unique<FakePlatform>(platform_runtime);
    Reason reason;
    server_ = platform_runtime.http().serve(kEndpoint, *platform_, reason);
    auto& control = world_->start_bare({"control", "10.0.0.1", kControlZone});
    caller_ = make_promotion_caller(control, kEndpoint);
    control.spawn("connect", connect(*caller_, call_));
    world_->run_for(std::chrono::seconds(1));
    CPPUNIT_ASSERT(call_.channel != nullptr);
    world_->network().faults().cut_zones(kControlZone, kPlatformZone);
    control.spawn("request", request(*call_.channel, call_, TimePoint::max()));
    world_->run_for(std::chrono::seconds(1));
  }
  void tearDown() override {
    call_ = Call{};
    caller_.reset();
    server_.reset();
    world_.reset();
    platform_.reset();
  }

  void reset_takes_back_what_a_cut_holds_up() {
    call_.channel->reset();
    assert_nothing_arrives();
    CPPUNIT_ASSERT(call_.outcome == PromotionOutcome::kUnknown);
  }

  void destruction_takes_back_what_a_cut_holds_up() {
    call_.channel.reset();
    assert_nothing_arrives();
    CPPUNIT_ASSERT(call_.outcome == PromotionOutcome::kUnknown);
  }

  void killed_caller_leaves_nothing_behind() {
    world_->kill("control");
    assert_nothing_arrives();
  }

 private:
  inline static const Endpoint kEndpoint{"10.0.0.2", 80};
  inline static const ZoneName kPlatformZone{"south"};
  inline static const ZoneName kControlZone{"north"};

  void assert_nothing_arrives() {
    world_->heal();
    world_->run_for(std::chrono::seconds(5));
    CPPUNIT_ASSERT(platform_->requests.empty());
  }

  std::unique_ptr<simulation::World> world_;
  std::unique_ptr<FakePlatform> platform_;
  std::unique_ptr<runtime::HttpServer> server_;
  std::unique_ptr<PromotionCaller> caller_;
  Call call_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldUpPromotionTest);

}  // namespace cairnhollow::platform

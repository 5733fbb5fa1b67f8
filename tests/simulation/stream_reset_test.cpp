// What a cut holds up of a simulated stream: when it is delivered after the heal, and when it is lost.
#include <cppunit/extensions/HelperMacros.h>

#include "simulation/world.h"

namespace cairnhollow::simulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Endpoint kServer{"10.0.0.2", 80};
const ZoneName kCallerZone{"north"};
const ZoneName kServerZone{"south"};
/// Longer than a request takes on a whole path.
constexpr Duration kArrival = milliseconds(50);
/// The one-way delay between the zones is longer.
constexpr Duration kInFlight = milliseconds(1);

/// Counts requests and never answers.
class SilentRole : public runtime::Role, public runtime::HttpHandler {
 public:
  SilentRole(runtime::Runtime& runtime, int& received) : runtime_(runtime), received_(received) {}
  Awaitable<bool> start(Reason& reason) override {
    server_ = runtime_.http().serve(kServer, *this, reason);
    co_return server_ != nullptr;
  }
  Awaitable<void> drain() override { co_return; }
  Awaitable<runtime::HttpResponse> handle(runtime::HttpRequest, runtime::HttpConnectionId) override {
    ++received_;
    co_await runtime_.sleep_for(std::chrono::hours(1));
    co_return runtime::HttpResponse{};
  }

 private:
  runtime::Runtime& runtime_;
  int& received_;
  std::unique_ptr<runtime::HttpServer> server_;
};

/// One connection and its one exchange.
struct Call {
  std::shared_ptr<runtime::HttpConnection> connection;
  bool ended = false;
  ReasonCode failure = ReasonCode::kNone;
};

Awaitable<void> connect(VirtualRuntime& runtime, Call& call) {
  Reason reason;
  call.connection = co_await runtime.http().connect(kServer, TimePoint::max(), reason);
}

/// `connection` may be destroyed during the exchange.
Awaitable<void> exchange(runtime::HttpConnection& connection, Call& call, TimePoint deadline) {
  runtime::SendState sent = runtime::SendState::kNotSent;
  Reason reason;
  runtime::HttpRequest request;
  co_await connection.exchange(std::move(request), deadline, sent, reason);
  call.ended = true;
  call.failure = reason.code;
}

}  // namespace

class StreamResetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamResetTest);
  CPPUNIT_TEST(held_up_bytes_outlive_a_close);
  CPPUNIT_TEST(held_up_bytes_outlive_a_kill);
  CPPUNIT_TEST(held_up_bytes_do_not_outlive_a_loss_of_power);
  CPPUNIT_TEST(loss_of_power_takes_bytes_of_a_closed_stream);
  CPPUNIT_TEST(loss_of_power_takes_bytes_of_an_earlier_process);
  CPPUNIT_TEST(held_up_bytes_do_not_outlive_giving_up);
  CPPUNIT_TEST(reset_drops_what_is_held_up);
  CPPUNIT_TEST(reset_drops_what_meets_a_cut_later);
  CPPUNIT_TEST(reset_follows_what_is_in_flight_on_a_whole_path);
  CPPUNIT_TEST(passed_deadline_resets);
  CPPUNIT_TEST(destruction_resets);
  CPPUNIT_TEST(kill_resets);
  CPPUNIT_TEST(resetting_stream_gives_up_while_its_process_is_frozen);
  CPPUNIT_TEST(probes_notice_a_vanished_peer);
  CPPUNIT_TEST(probes_notice_a_peer_that_was_replaced);
  CPPUNIT_TEST(probes_leave_a_slow_peer_alone);
  CPPUNIT_TEST(closed_connection_cannot_be_set_to_reset);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    received_ = 0;
    call_ = Call{};
    world_ = std::make_unique<World>(WorldSettings{});
    world_->start({"server", kServer.address, kServerZone}, [this](runtime::Runtime& runtime) {
      return std::make_unique<SilentRole>(runtime, received_);
    });
    world_->start_bare({"caller", "10.0.0.1", kCallerZone});
    world_->run_for(kArrival);
    world_->runtime("caller").spawn("connect", connect(world_->runtime("caller"), call_));
    world_->run_for(kArrival);
    CPPUNIT_ASSERT(call_.connection != nullptr);
  }
  void tearDown() override {
    call_.connection.reset();
    world_.reset();
  }

  void held_up_bytes_outlive_a_close() {
    send_into_cut();
    call_.connection->close();
    CPPUNIT_ASSERT_EQUAL(1, received_after_heal());
  }

  void held_up_bytes_outlive_a_kill() {
    send_into_cut();
    world_->kill("caller");
    CPPUNIT_ASSERT_EQUAL(1, received_after_heal());
  }

  void held_up_bytes_do_not_outlive_a_loss_of_power() {
    send_into_cut();
    world_->vanish("caller");
    CPPUNIT_ASSERT_EQUAL(0, received_after_heal());
  }

  void loss_of_power_takes_bytes_of_a_closed_stream() {
    send_into_cut();
    call_.connection->close();
    world_->vanish("caller");
    CPPUNIT_ASSERT_EQUAL(0, received_after_heal());
  }

  void loss_of_power_takes_bytes_of_an_earlier_process() {
    send_into_cut();
    world_->kill("caller");
    world_->restart("caller");
    world_->vanish("caller");
    CPPUNIT_ASSERT_EQUAL(0, received_after_heal());
  }

  void held_up_bytes_do_not_outlive_giving_up() {
    send_into_cut();
    world_->run_for(seconds(25));
    CPPUNIT_ASSERT(call_.ended);
    CPPUNIT_ASSERT(call_.failure == ReasonCode::kConnectionLost);
    CPPUNIT_ASSERT_EQUAL(0, received_after_heal());
  }

  void reset_drops_what_is_held_up() {
    set_to_reset();
    send_into_cut();
    call_.connection->close();
    world_->run_for(kArrival);
    CPPUNIT_ASSERT(call_.ended);
    CPPUNIT_ASSERT_EQUAL(0, received_after_heal());
  }

  void reset_drops_what_meets_a_cut_later() {
    set_to_reset();
    send(TimePoint::max());
    world_->run_for(kInFlight);
    call_.connection->close();
    cut();
    world_->run_for(kArrival);
    CPPUNIT_ASSERT_EQUAL(0, received_after_heal());
  }

  void reset_follows_what_is_in_flight_on_a_whole_path() {
    set_to_reset();
    send(TimePoint::max());
    world_->run_for(kInFlight);
    call_.connection->close();
    world_->run_for(kArrival);
    CPPUNIT_ASSERT_EQUAL(1, received_);
  }

  void passed_deadline_resets() {
    set_to_reset();
    cut();
    send(world_->runtime("caller").now() + seconds(1));
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT(call_.failure == ReasonCode::kDeadlineExceeded);
    CPPUNIT_ASSERT_EQUAL(0, received_after_heal());
  }

  void destruction_resets() {
    set_to_reset();
    send_into_cut();
    call_.connection.reset();
    CPPUNIT_ASSERT_EQUAL(0, received_after_heal());
  }

  void kill_resets() {
    set_to_reset();
    send_into_cut();
    world_->kill("caller");
    CPPUNIT_ASSERT_EQUAL(0, received_after_heal());
  }

  void resetting_stream_gives_up_while_its_process_is_frozen() {
    set_to_reset();
    send_into_cut();
    world_->freeze("caller");
    world_->run_for(runtime::kResetUnacknowledgedAfter + seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, received_after_heal());
    world_->thaw("caller");
    world_->run_for(kArrival);
    CPPUNIT_ASSERT(call_.failure == ReasonCode::kConnectionLost);
  }

  void probes_notice_a_vanished_peer() {
    set_to_reset();
    send(TimePoint::max());
    world_->run_for(kArrival);
    CPPUNIT_ASSERT_EQUAL(1, received_);
    world_->vanish("server");
    world_->run_for(runtime::kResetUnacknowledgedAfter - seconds(1));
    CPPUNIT_ASSERT(!call_.ended);
    world_->run_for(seconds(3));
    CPPUNIT_ASSERT(call_.failure == ReasonCode::kConnectionLost);
  }

  void probes_notice_a_peer_that_was_replaced() {
    set_to_reset();
    send(TimePoint::max());
    world_->run_for(kArrival);
    world_->vanish("server");
    world_->restart("server");
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT(call_.failure == ReasonCode::kConnectionLost);
  }

  void probes_leave_a_slow_peer_alone() {
    set_to_reset();
    send(TimePoint::max());
    world_->run_for(kArrival);
    world_->freeze("server");
    world_->run_for(seconds(60));
    CPPUNIT_ASSERT(!call_.ended);
    CPPUNIT_ASSERT(call_.connection->is_open());
  }

  void closed_connection_cannot_be_set_to_reset() {
    call_.connection->close();
    Reason reason;
    CPPUNIT_ASSERT(!call_.connection->reset_on_close(reason));
    CPPUNIT_ASSERT(reason.code == ReasonCode::kConnectionLost);
  }

 private:
  void set_to_reset() {
    Reason reason;
    CPPUNIT_ASSERT(call_.connection->reset_on_close(reason));
  }
  void cut() { world_->network().faults().cut_zones(kCallerZone, kServerZone); }
  void send(TimePoint deadline) {
    world_->runtime("caller").spawn("exchange", exchange(*call_.connection, call_, deadline));
  }
  void send_into_cut() {
    cut();
    send(TimePoint::max());
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, received_);
  }
  int received_after_heal() {
    world_->heal();
    world_->run_for(seconds(5));
    return received_;
  }

  int received_ = 0;
  Call call_;
  std::unique_ptr<World> world_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamResetTest);

}  // namespace cairnhollow::simulation

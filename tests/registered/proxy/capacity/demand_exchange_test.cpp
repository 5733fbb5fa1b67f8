// Owners of a backend tell each other what they need of its slots: a proxy uses what the others do not need,
// and its static part without news of them.
#include "registered/proxy/capacity/demand_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include "registered/proxy/forwarding/forward_server.h"
#include "tests/registered/proxy/session_stand.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSlots = 4;

/// The other owner of the backend: records what it is told, and answers unless it is frozen.
class OtherOwner {
 public:
  explicit OtherOwner(runtime::Runtime& runtime, const Endpoint& endpoint) : runtime_(runtime) {
    Reason reason;
    listener_ = runtime.network().listen(endpoint, reason);
    CPPUNIT_ASSERT(listener_);
    runtime_.spawn("accept", accept());
  }

  std::vector<ForwardDemand> told;
  /// Ends accepting connections; to be called before the network ends.
  void stop_listening() { listener_->close(); }

  std::vector<TimePoint> told_at;
  bool frozen = false;

 private:
  Awaitable<void> accept() {
    Reason reason;
    while (auto frames = co_await listener_->accept(reason))
      runtime_.spawn("serve", serve(std::move(frames)));
  }
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> frames) {
    Reason reason;
    const auto hello = co_await frames->receive(reason);
    while (hello) {
      const auto frame = co_await frames->receive(reason);
      if (!frame) co_return;
      const auto request = wire::decode<ForwardRequest>(*frame, reason);
      if (!request || frozen) continue;
      if (const auto* demand = std::get_if<ForwardDemand>(&request->body)) {
        told.push_back(*demand);
        told_at.push_back(runtime_.now());
      }
      ForwardAnswer answer;
      answer.correlation = request->correlation;
      co_await frames->send(wire::encode(answer), reason);
    }
  }

  runtime::Runtime& runtime_;
  std::unique_ptr<runtime::FrameListener> listener_;
};

}  // namespace

class DemandExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DemandExchangeTest);
  CPPUNIT_TEST(nothing_is_told_while_nobody_waits);
  CPPUNIT_TEST(waiting_owner_uses_what_the_other_does_not_need);
  CPPUNIT_TEST(silent_owner_counts_with_its_static_part);
  CPPUNIT_TEST(tells_at_most_once_each_interval);
  CPPUNIT_TEST(burst_while_followed_is_told_at_once);
  CPPUNIT_TEST(burst_while_followed_uses_the_room_at_once);
  CPPUNIT_TEST(bursts_raise_no_number_of_messages);
  CPPUNIT_TEST(asked_owner_replies_once_and_gives_up_slots);
  CPPUNIT_TEST(demand_of_a_proxy_that_is_no_owner_is_ignored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    stand_ = std::make_unique<SessionStand>();
    other_ =
        std::make_unique<OtherOwner>(stand_->start_process("other", "10.0.0.2"), Endpoint{"10.0.0.2", 7440});
    registry::FleetDelta delta = stand_->delta();
    registry::BackendEntry entry = stand_->group()->backends.all().at(BackendName(kBackend))->entry;
    entry.slots = kSlots;
    delta.backends = {entry};
    delta.proxies = {{NodeName("other"), 1, ZoneName("a"), {"10.0.0.2", 7440}, false}};
    stand_->view().apply(delta);
    stand_->confirm(seconds(60), seconds(60));
  }
  void tearDown() override {
    // The listener closes through the stand's network; coroutines refer to the rest until the stand ends.
    other_->stop_listening();
    stand_.reset();
    other_.reset();
  }

  void nothing_is_told_while_nobody_waits() {
    enter(1);
    stand_->run_for(seconds(1));
    CPPUNIT_ASSERT(other_->told.empty());
    CPPUNIT_ASSERT_EQUAL(kStaticCapacity, backend()->gate.limit());
  }

  void waiting_owner_uses_what_the_other_does_not_need() {
    enter(9);
    CPPUNIT_ASSERT(!other_->told.empty());
    CPPUNIT_ASSERT(other_->told.front().backend.value == kBackend);
    CPPUNIT_ASSERT(other_->told.front().wants_reply && other_->told.front().demand.total_waiting() > 0);
    CPPUNIT_ASSERT_EQUAL(kStaticCapacity, backend()->gate.running());
    tell({});
    CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(kSlots) + capacity::kBacklogPerOwner,
                         backend()->gate.running());
    scheduling::SlotDemand urgent;
    urgent.waiting.front() = 9;
    tell(urgent);
    CPPUNIT_ASSERT_EQUAL(1U + capacity::kBacklogPerOwner, backend()->gate.limit());
  }

  void silent_owner_counts_with_its_static_part() {
    enter(9);
    tell({});
    other_->frozen = true;
    stand_->run_for(capacity::kDemandLifetime + capacity::kDemandInterval);
    CPPUNIT_ASSERT_EQUAL(kStaticCapacity, backend()->gate.limit());
  }

  void tells_at_most_once_each_interval() {
    enter(9);
    stand_->run_for(10 * capacity::kDemandInterval);
    CPPUNIT_ASSERT(other_->told.size() >= 9);
    for (std::size_t index = 1; index < other_->told_at.size(); ++index)
      CPPUNIT_ASSERT(other_->told_at[index] - other_->told_at[index - 1] >=
                     capacity::kDemandInterval - milliseconds(2));
  }

  void burst_while_followed_is_told_at_once() {
    // News of another owner makes this proxy follow the backend, and nobody waits here yet.
    tell({});
    stand_->run_for(capacity::kDemandInterval / 5);
    CPPUNIT_ASSERT(other_->told.empty());
    const TimePoint burst_at = stand_->now();
    enter(9);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other_->told.size());
    CPPUNIT_ASSERT(other_->told_at.front() - burst_at < milliseconds(15));
    CPPUNIT_ASSERT(other_->told.front().demand.total_waiting() > 0);
  }

  void burst_while_followed_uses_the_room_at_once() {
    scheduling::SlotDemand busy;
    busy.running = kSlots;
    tell(busy);
    stand_->run_for(capacity::kDemandInterval / 5);
    const std::uint32_t before = backend()->gate.limit();
    enter(9);
    const std::uint32_t part = backend()->room.capacity(backend()->gate.demand(), stand_->now());
    CPPUNIT_ASSERT_MESSAGE("the statements that wait here have a claim", part > before);
    CPPUNIT_ASSERT_EQUAL(part, backend()->gate.limit());
    CPPUNIT_ASSERT_EQUAL(part, backend()->gate.running());
  }

  void bursts_raise_no_number_of_messages() {
    enter(9);
    for (int burst = 0; burst < 20; ++burst) enter(1);
    CPPUNIT_ASSERT(other_->told.size() >= 4);
    for (std::size_t index = 1; index < other_->told_at.size(); ++index) {
      const Duration between = other_->told_at[index] - other_->told_at[index - 1];
      CPPUNIT_ASSERT(between >= capacity::kDemandInterval - milliseconds(2));
      CPPUNIT_ASSERT_MESSAGE("no tick is left out", between < capacity::kDemandInterval + milliseconds(5));
    }
  }

  void asked_owner_replies_once_and_gives_up_slots() {
    enter(1);
    scheduling::SlotDemand urgent;
    urgent.waiting.front() = 9;
    tell(urgent, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other_->told.size());
    CPPUNIT_ASSERT_EQUAL(1U, other_->told.front().demand.running);
    CPPUNIT_ASSERT(!other_->told.front().wants_reply);
    CPPUNIT_ASSERT_EQUAL(1U + capacity::kBacklogPerOwner, backend()->gate.limit());
    stand_->run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("nobody waits here", std::size_t{1}, other_->told.size());
    CPPUNIT_ASSERT_EQUAL(kStaticCapacity, backend()->gate.limit());
  }

  void demand_of_a_proxy_that_is_no_owner_is_ignored() {
    stand_->services().demands.receive(
        {GroupName("group"), BackendName(kBackend), NodeName("stranger"), {}, true});
    CPPUNIT_ASSERT(!backend()->room.has_news(stand_->now()));
    stand_->services().demands.receive(
        {GroupName("group"), BackendName("unknown"), NodeName("other"), {}, true});
    stand_->services().demands.receive(
        {GroupName("none"), BackendName(kBackend), NodeName("other"), {}, true});
    stand_->run_for(milliseconds(100));
    CPPUNIT_ASSERT(other_->told.empty());
  }

 private:
  static constexpr const char* kBackend = SessionStand::kReplica;
  static constexpr std::uint32_t kStaticCapacity = kSlots / 2 + capacity::kBacklogPerOwner;

  std::shared_ptr<BackendState> backend() {
    return stand_->group()->backends.all().at(BackendName(kBackend));
  }
  void enter(int count) {
    const auto task = [](SessionStand& stand, std::shared_ptr<BackendState> entered) -> Awaitable<void> {
      stand.services().demands.announce_wait(stand.group(), entered);
      scheduling::SlotRequest request;
      request.route_priority = 1;
      request.arrived = stand.now();
      request.target_end = stand.now() + seconds(30);
      request.wait_end = request.target_end;
      request.deadline = request.target_end;
      co_await entered->gate.enter(std::move(request));
    };
    for (int number = 0; number < count; ++number) stand_->runtime().spawn("enter", task(*stand_, backend()));
    stand_->run_for(milliseconds(15));
  }
  void tell(const scheduling::SlotDemand& demand, bool wants_reply = false) {
    stand_->services().demands.receive(
        {GroupName("group"), BackendName(kBackend), NodeName("other"), demand, wants_reply});
    stand_->run_for(milliseconds(5));
  }

  std::unique_ptr<SessionStand> stand_;
  std::unique_ptr<OtherOwner> other_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DemandExchangeTest);

}  // namespace cairnhollow::registered::proxy

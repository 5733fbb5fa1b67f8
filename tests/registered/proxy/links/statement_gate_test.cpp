// Admission of statements to a backend: within its capacity, by priority, and none that would miss its
// deadline.
#include "registered/proxy/links/statement_gate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Entry {
  bool finished = false;
  bool entered = false;
  TimePoint at{};
};

Awaitable<void> enter(runtime::Runtime& runtime, StatementGate& gate, std::uint8_t priority, Duration timeout,
                      Entry& entry) {
  entry.entered = co_await gate.enter(priority, runtime.now() + timeout);
  entry.at = runtime.now();
  entry.finished = true;
}

/// Links as a test sets them.
class GateLinks : public scheduling::LinkRoom {
 public:
  [[nodiscard]] bool has_idle(const TenantName& tenant) const override { return idle.count(tenant) > 0; }
  [[nodiscard]] bool may_open() const override {
    ++asked;
    return opens;
  }
  [[nodiscard]] TimePoint next_opening() const override { return opening_at; }

  [[nodiscard]] bool is_retired() const override { return retired; }

  std::map<TenantName, int> idle;
  bool opens = true;
  bool retired = false;
  mutable int asked = 0;  ///< calls of may_open()
  TimePoint opening_at = TimePoint::max();
};

/// A statement at a gate whose backend's room is shared.
struct ScheduledEntry {
  scheduling::SlotRequest request;
  std::optional<GateOutcome> outcome;  ///< empty while it waits
  [[nodiscard]] bool admitted() const { return outcome && outcome->admitted(); }
};

Awaitable<void> enter_scheduled(StatementGate& gate, std::shared_ptr<ScheduledEntry> entry) {
  entry->outcome = co_await gate.enter(scheduling::SlotRequest(entry->request));
}

}  // namespace

class StatementGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatementGateTest);
  CPPUNIT_TEST(admits_by_priority);
  CPPUNIT_TEST(rejects_at_deadline);
  CPPUNIT_TEST(rejects_hopeless_wait_at_once);
  CPPUNIT_TEST(every_leave_frees_a_slot);
  CPPUNIT_TEST(shared_room_admits_up_to_capacity);
  CPPUNIT_TEST(shared_room_orders_by_tenant_priority);
  CPPUNIT_TEST(shared_room_tells_hopeless_ones_when_backend_slows);
  CPPUNIT_TEST(shared_room_ends_wait_at_deadline);
  CPPUNIT_TEST(shared_room_refuses_beyond_the_queue);
  CPPUNIT_TEST(slot_never_waits_for_link);
  CPPUNIT_TEST(wakes_when_links_may_open_again);
  CPPUNIT_TEST(wakes_after_a_pause_that_began_during_the_wait);
  CPPUNIT_TEST(gate_may_end_before_links_may_open);
  CPPUNIT_TEST(retired_links_let_all_waiters_go);
  CPPUNIT_TEST(change_of_room_loses_no_waiter);
  CPPUNIT_TEST(capacity_admits_waiting_at_once);
  CPPUNIT_TEST(link_setup_takes_no_slot);
  CPPUNIT_TEST(at_most_twice_the_capacity_runs_after_setups);
  CPPUNIT_TEST(outcome_tells_what_was_charged);
  CPPUNIT_TEST(demand_counts_by_class);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    gate_ = std::make_unique<StatementGate>(*runtime_, &links_);
    gate_->set_bounds(1, 1);
  }
  void tearDown() override {
    world_.reset();
    gate_.reset();
  }

  void admits_by_priority() {
    Entry first;
    Entry patient;
    Entry urgent;
    start(2, seconds(1), first);
    start(2, seconds(1), patient);
    start(0, seconds(1), urgent);
    CPPUNIT_ASSERT(first.entered && !patient.finished && !urgent.finished);
    gate_->leave(milliseconds(10));
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(urgent.entered && !patient.finished);
    gate_->leave(milliseconds(10));
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(patient.entered);
  }

  void rejects_at_deadline() {
    Entry first;
    Entry second;
    start(1, seconds(1), first);
    start(1, milliseconds(50), second);
    world_->run_for(milliseconds(60));
    CPPUNIT_ASSERT(second.finished && !second.entered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gate_->waiting());
    gate_->leave(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(0U, gate_->running());
  }

  void rejects_hopeless_wait_at_once() {
    for (int statement = 0; statement < 50; ++statement) {
      Entry entry;
      start(1, seconds(1), entry);
      gate_->leave(milliseconds(100));
    }
    Entry running;
    Entry waiting;
    Entry late;
    start(1, seconds(1), running);
    start(1, milliseconds(150), waiting);
    start(1, milliseconds(90), late);
    CPPUNIT_ASSERT(!waiting.finished);
    CPPUNIT_ASSERT_MESSAGE("one statement of 100 ms is ahead", !late.finished || !late.entered);
    Entry hopeless;
    start(2, milliseconds(60), hopeless);
    CPPUNIT_ASSERT_MESSAGE("two statements of 100 ms are ahead", hopeless.finished && !hopeless.entered);
  }

  void capacity_admits_waiting_at_once() {
    share_room(1);
    std::array<std::shared_ptr<ScheduledEntry>, 5> entries;
    for (auto& entry : entries) entry = schedule(1, 0, "a", seconds(1));
    CPPUNIT_ASSERT_EQUAL(1U, gate_->running());
    gate_->set_capacity(3);
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(3U, gate_->running());
    gate_->set_capacity(0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("at least 1", 1U, gate_->limit());
    gate_->leave_unanswered();
    CPPUNIT_ASSERT_EQUAL_MESSAGE("nobody is admitted above the capacity", 2U, gate_->running());
    gate_->set_shared_room(false);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("adapts again", 1U, gate_->limit());
  }

  void link_setup_takes_no_slot() {
    share_room(1);
    std::array<std::shared_ptr<ScheduledEntry>, 3> entries;
    for (auto& entry : entries) entry = schedule(1, 0, "a", seconds(1));
    gate_->begin_setup();
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(entries[1]->admitted());
    gate_->begin_setup();
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_MESSAGE("no more than the capacity at once", !entries[2]->outcome);
    gate_->end_setup();
    gate_->end_setup();
    gate_->leave_unanswered();
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_MESSAGE("the other one has the slot", !entries[2]->outcome);
    gate_->leave_unanswered();
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(entries[2]->admitted());
  }

  void at_most_twice_the_capacity_runs_after_setups() {
    constexpr std::uint32_t kCapacity = 3;
    share_room(kCapacity);
    std::array<std::shared_ptr<ScheduledEntry>, 10> entries;
    for (auto& entry : entries) entry = schedule(1, 0, "a", seconds(1));
    for (std::uint32_t setup = 0; setup < 2 * kCapacity; ++setup) gate_->begin_setup();
    CPPUNIT_ASSERT_EQUAL(2 * kCapacity, gate_->running());
    for (std::uint32_t setup = 0; setup < 2 * kCapacity; ++setup) gate_->end_setup();
    CPPUNIT_ASSERT_EQUAL(2 * kCapacity, gate_->running());
    CPPUNIT_ASSERT_EQUAL(2 * kCapacity, gate_->demand().running);
    for (std::uint32_t left = 2 * kCapacity; left > kCapacity; --left) {
      gate_->leave_unanswered();
      CPPUNIT_ASSERT_EQUAL_MESSAGE("nobody is admitted above the capacity", left - 1, gate_->running());
    }
    gate_->leave_unanswered();
    CPPUNIT_ASSERT_EQUAL(kCapacity, gate_->running());
  }

  void outcome_tells_what_was_charged() {
    share_room(1);
    const auto first = schedule(1, 0, "a", seconds(1));
    const auto second = schedule(1, 0, "a", seconds(1));
    CPPUNIT_ASSERT(first->outcome->charged == Duration(scheduling::kAssumedService));
    gate_->leave_answered(first->request, milliseconds(30));
    world_->run_for(Duration(0));
    CPPUNIT_ASSERT(second->admitted() && second->outcome->charged == Duration(milliseconds(30)));
    gate_->leave_unused(second->request, *second->outcome);
    CPPUNIT_ASSERT_EQUAL(0U, gate_->running());
  }

  void demand_counts_by_class() {
    share_room(1);
    schedule(1, 0, "a", seconds(1));
    schedule(0, 0, "a", seconds(1));
    schedule(2, 0, "a", seconds(1));
    schedule(9, 0, "a", seconds(1));
    const scheduling::SlotDemand demand = gate_->demand();
    CPPUNIT_ASSERT_EQUAL(1U, demand.running);
    CPPUNIT_ASSERT(demand.waiting == (std::array<std::uint32_t, 4>{1, 0, 1, 1}));
  }

  void every_leave_frees_a_slot() {
    Entry entry;
    start(1, seconds(1), entry);
    gate_->leave_busy();
    start(1, seconds(1), entry);
    gate_->leave_unanswered();
    start(1, seconds(1), entry);
    gate_->leave(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(0U, gate_->running());
  }

  void shared_room_admits_up_to_capacity() {
    share_room(2);
    const auto first = schedule(1, 0, "a", seconds(1));
    const auto second = schedule(1, 0, "a", seconds(1));
    const auto third = schedule(1, 0, "a", seconds(1));
    CPPUNIT_ASSERT(first->admitted() && second->admitted() && !third->outcome);
    CPPUNIT_ASSERT((gate_->demand() == scheduling::SlotDemand{2, {0, 1, 0, 0}}));
    gate_->set_capacity(3);
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(third->admitted());
    gate_->set_capacity(0);
    for (const auto& entry : {first, second, third}) gate_->leave_answered(entry->request, milliseconds(5));
    const auto fourth = schedule(1, 0, "a", seconds(1));
    CPPUNIT_ASSERT_MESSAGE("one always runs", fourth->admitted());
  }

  void shared_room_orders_by_tenant_priority() {
    share_room(1);
    const auto running = schedule(1, 0, "a", seconds(1));
    const auto low = schedule(1, 1, "low", seconds(1));
    const auto high = schedule(1, 0, "high", seconds(1));
    gate_->leave_answered(running->request, milliseconds(5));
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(high->admitted() && !low->outcome);
  }

  void shared_room_tells_hopeless_ones_when_backend_slows() {
    share_room(1);
    const auto running = schedule(0, 0, "a", seconds(1));
    std::vector<std::shared_ptr<ScheduledEntry>> waiting;
    waiting.reserve(10);
    for (int number = 0; number < 10; ++number) waiting.push_back(schedule(0, 0, "a", milliseconds(300)));
    world_->run_for(milliseconds(100));
    gate_->leave_answered(running->request, milliseconds(100));
    world_->run_for(milliseconds(1));
    const auto is_told = [](const auto& entry) {
      return entry->outcome && entry->outcome->verdict == GateVerdict::kHopeless;
    };
    CPPUNIT_ASSERT_MESSAGE("the first has begun", waiting.front()->admitted());
    CPPUNIT_ASSERT_MESSAGE("ten times 100 ms are more than the 200 ms left",
                           std::count_if(waiting.begin(), waiting.end(), is_told) >= 8);
    CPPUNIT_ASSERT(waiting.back()->outcome->forecast.ahead > 0);
  }

  void shared_room_ends_wait_at_deadline() {
    share_room(1);
    const auto running = schedule(1, 0, "a", seconds(1));
    const auto leaver = schedule(0, 0, "a", milliseconds(50));
    const auto stayer = schedule(1, 0, "a", seconds(1));
    world_->run_for(milliseconds(60));
    CPPUNIT_ASSERT(leaver->outcome && leaver->outcome->verdict == GateVerdict::kDeadline);
    CPPUNIT_ASSERT(leaver->outcome->waited == milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gate_->waiting());
    gate_->leave_answered(running->request, milliseconds(60));
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(stayer->admitted());
    CPPUNIT_ASSERT_EQUAL(1U, gate_->running());
  }

  void shared_room_refuses_beyond_the_queue() {
    share_room(1);
    const auto running = schedule(1, 0, "a", seconds(100));
    std::vector<std::shared_ptr<ScheduledEntry>> low;
    for (std::size_t number = 0; number < scheduling::kMaxWaitingStatements; ++number)
      low.push_back(schedule(1, 0, "a", seconds(100)));
    const auto refused = schedule(1, 0, "a", seconds(100));
    CPPUNIT_ASSERT(refused->outcome && refused->outcome->verdict == GateVerdict::kQueueFull);
    const auto taken = schedule(0, 0, "a", seconds(100));
    CPPUNIT_ASSERT(!taken->outcome);
    CPPUNIT_ASSERT_MESSAGE("the last in order makes room",
                           low.back()->outcome && low.back()->outcome->verdict == GateVerdict::kQueueFull);
    CPPUNIT_ASSERT_EQUAL(scheduling::kMaxWaitingStatements, gate_->waiting());
  }

  void slot_never_waits_for_link() {
    links_.opens = false;
    links_.idle[TenantName("with")] = 1;
    share_room(1);
    const auto without = schedule(0, 0, "without", seconds(1));
    const auto with = schedule(1, 0, "with", seconds(1));
    CPPUNIT_ASSERT(with->admitted() && !without->outcome);
    gate_->leave_answered(with->request, milliseconds(5));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no slot is held", 0U, gate_->running());
    links_.idle[TenantName("without")] = 1;
    gate_->admit_waiting();
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(without->admitted());
    // It finds no link after all and comes again.
    links_.idle.clear();
    gate_->leave_unused(without->request, *without->outcome);
    CPPUNIT_ASSERT_EQUAL(0U, gate_->running());
  }

  void wakes_when_links_may_open_again() {
    links_.opens = false;
    links_.opening_at = runtime_->now() + milliseconds(150);
    share_room(1);
    const auto entry = schedule(0, 0, "a", seconds(1));
    world_->run_for(milliseconds(100));
    CPPUNIT_ASSERT(!entry->outcome);
    links_.opens = true;
    links_.opening_at = TimePoint::max();
    world_->run_for(milliseconds(51));
    CPPUNIT_ASSERT_MESSAGE("without a statement that ends", entry->admitted());
  }

  void wakes_after_a_pause_that_began_during_the_wait() {
    links_.opens = false;
    share_room(2);
    std::array<std::shared_ptr<ScheduledEntry>, 8> entries;
    for (auto& entry : entries) entry = schedule(0, 0, "a", seconds(1));
    world_->run_for(milliseconds(20));
    const TimePoint opening = runtime_->now() + milliseconds(150);
    links_.opening_at = opening;
    gate_->admit_waiting();
    world_->run_for(milliseconds(149));
    CPPUNIT_ASSERT_EQUAL(0U, gate_->running());
    links_.opens = true;
    links_.opening_at = TimePoint::max();
    links_.asked = 0;
    world_->run_for(milliseconds(2));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("without a statement that ends", 2U, gate_->running());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("admitted in one pass, not one for each waiter", 2, links_.asked);
    CPPUNIT_ASSERT(entries[0]->outcome->waited <= milliseconds(172));
  }

  void gate_may_end_before_links_may_open() {
    links_.opens = false;
    links_.opening_at = runtime_->now() + milliseconds(150);
    share_room(1);
    const auto entry = schedule(0, 0, "a", milliseconds(50));
    world_->run_for(milliseconds(60));
    CPPUNIT_ASSERT(entry->outcome && entry->outcome->verdict == GateVerdict::kDeadline);
    gate_.reset();
    world_->run_for(milliseconds(200));
  }

  void retired_links_let_all_waiters_go() {
    share_room(1);
    const auto running = schedule(1, 0, "a", seconds(1));
    std::array<std::shared_ptr<ScheduledEntry>, 5> waiting;
    for (auto& entry : waiting) entry = schedule(1, 0, "a", seconds(1));
    const auto in_transaction = schedule(1, 0, "a", seconds(1), true);
    links_.retired = true;
    gate_->admit_waiting();
    world_->run_for(Duration(0));
    for (const auto& entry : waiting)
      CPPUNIT_ASSERT(entry->outcome && entry->outcome->verdict == GateVerdict::kRetired);
    CPPUNIT_ASSERT_EQUAL(1U, gate_->running());
    const auto late = schedule(1, 0, "a", seconds(1));
    CPPUNIT_ASSERT(late->outcome && late->outcome->verdict == GateVerdict::kRetired);
    CPPUNIT_ASSERT_MESSAGE("it has its link and waits for the slot", !in_transaction->outcome);
    gate_->leave_unanswered();
    world_->run_for(Duration(0));
    CPPUNIT_ASSERT(in_transaction->admitted());
  }

  void change_of_room_loses_no_waiter() {
    Entry before;
    Entry running;
    start(1, seconds(1), running);
    start(1, seconds(1), before);
    share_room(1);
    const auto during = schedule(1, 0, "a", seconds(1));
    CPPUNIT_ASSERT(!before.finished && !during->outcome);
    gate_->leave_unanswered();
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(before.entered && !during->outcome);
    gate_->set_shared_room(false);
    gate_->leave_unanswered();
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(during->admitted());
  }

 private:
  void start(std::uint8_t priority, Duration timeout, Entry& entry) {
    runtime_->spawn("enter", enter(*runtime_, *gate_, priority, timeout, entry));
    world_->run_for(milliseconds(1));
  }

  /// Enters with these priorities; the target is half of `timeout`.
  std::shared_ptr<ScheduledEntry> schedule(std::uint64_t route_priority, std::uint64_t tenant_priority,
                                           const char* tenant, Duration timeout,
                                           bool in_transaction = false) {
    auto entry = std::make_shared<ScheduledEntry>();
    entry->request.in_transaction = in_transaction;
    entry->request.route_priority = route_priority;
    entry->request.tenant_priority = tenant_priority;
    entry->request.tenant = TenantName(tenant);
    entry->request.arrived = runtime_->now();
    entry->request.target_end = runtime_->now() + timeout / 2;
    entry->request.wait_end = runtime_->now() + timeout;
    entry->request.deadline = entry->request.wait_end;
    runtime_->spawn("enter", enter_scheduled(*gate_, entry));
    world_->run_for(Duration(0));
    return entry;
  }
  void share_room(std::uint32_t capacity) {
    gate_->set_shared_room(true);
    gate_->set_capacity(capacity);
  }

  std::unique_ptr<simulation::World> world_;
  simulation::VirtualRuntime* runtime_ = nullptr;
  GateLinks links_;
  std::unique_ptr<StatementGate> gate_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementGateTest);

}  // namespace cairnhollow::registered::proxy

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

}  // namespace

class StatementGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatementGateTest);
  CPPUNIT_TEST(admits_by_priority);
  CPPUNIT_TEST(rejects_at_deadline);
  CPPUNIT_TEST(rejects_hopeless_wait_at_once);
  CPPUNIT_TEST(every_leave_frees_a_slot);
  CPPUNIT_TEST(capacity_admits_waiting_at_once);
  CPPUNIT_TEST(link_setup_takes_no_slot);
  CPPUNIT_TEST(demand_counts_by_class);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    gate_ = std::make_unique<StatementGate>(*runtime_);
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
    std::array<Entry, 5> entries;
    for (Entry& entry : entries) start(1, seconds(1), entry);
    CPPUNIT_ASSERT_EQUAL(1U, gate_->running());
    gate_->set_capacity(3);
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(3U, gate_->running());
    gate_->set_capacity(0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("at least 1", 1U, gate_->limit());
    gate_->leave(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("nobody is admitted above the capacity", 2U, gate_->running());
    gate_->set_bounds(1, 1);
    CPPUNIT_ASSERT_EQUAL(1U, gate_->limit());
  }

  void link_setup_takes_no_slot() {
    gate_->set_capacity(1);
    std::array<Entry, 3> entries;
    for (Entry& entry : entries) start(1, seconds(1), entry);
    gate_->begin_setup();
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(entries[1].entered);
    gate_->begin_setup();
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_MESSAGE("no more than the capacity at once", !entries[2].entered);
    gate_->end_setup();
    gate_->end_setup();
    gate_->leave(milliseconds(1));
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_MESSAGE("the other one has the slot", !entries[2].entered);
    gate_->leave(milliseconds(1));
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(entries[2].entered);
  }

  void demand_counts_by_class() {
    std::array<Entry, 4> entries;
    start(1, seconds(1), entries[0]);
    start(0, seconds(1), entries[1]);
    start(2, seconds(1), entries[2]);
    start(9, seconds(1), entries[3]);
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

 private:
  void start(std::uint8_t priority, Duration timeout, Entry& entry) {
    runtime_->spawn("enter", enter(*runtime_, *gate_, priority, timeout, entry));
    world_->run_for(milliseconds(1));
  }

  std::unique_ptr<simulation::World> world_;
  simulation::VirtualRuntime* runtime_ = nullptr;
  std::unique_ptr<StatementGate> gate_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementGateTest);

}  // namespace cairnhollow::registered::proxy

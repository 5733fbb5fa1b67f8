// Statements at a backend whose room is shared: who is refused at once, what is told, and what waits for a
// link without a slot.
#include <cppunit/extensions/HelperMacros.h>

#include "registered/proxy/statement/slot_admission.h"
#include "registered/proxy/statement/statement_runner.h"
#include "tests/registered/proxy/session_stand.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Awaitable<void> run_statement(StatementRunner& runner, StatementRequest request,
                              std::shared_ptr<std::optional<RunResult>> result) {
  *result = co_await runner.run(std::move(request));
}

}  // namespace

class ScheduledAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScheduledAdmissionTest);
  CPPUNIT_TEST(room_is_shared_in_the_own_zone);
  CPPUNIT_TEST(hopeless_write_is_refused_at_once);
  CPPUNIT_TEST(read_leaves_for_another_backend);
  CPPUNIT_TEST(waits_for_a_link_without_a_slot);
  CPPUNIT_TEST(loser_of_a_link_waits_again_without_a_slot);
  CPPUNIT_TEST(prepared_link_admits_nobody_else);
  CPPUNIT_TEST(retired_pool_lets_waiting_statements_choose_again);
  CPPUNIT_TEST(tenant_priority_of_the_document_counts);
  CPPUNIT_TEST(answers_teach_the_service_time);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    stand_ = std::make_unique<SessionStand>();
    runner_ = std::make_unique<StatementRunner>(stand_->services());
    stand_->confirm(seconds(20), seconds(20));
  }
  void tearDown() override {
    stand_.reset();
    runner_.reset();
  }

  void room_is_shared_in_the_own_zone() { CPPUNIT_ASSERT(primary().gate.is_shared_room()); }

  void hopeless_write_is_refused_at_once() {
    teach(primary(), seconds(10));
    stand_->occupy_gate(SessionStand::kPrimary);
    const auto result = start(stand_->write("w"));
    stand_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_MESSAGE("refused before the slot is free", result->has_value());
    CPPUNIT_ASSERT((*result)->answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT((*result)->nothing_run);
    CPPUNIT_ASSERT_MESSAGE((*result)->answer.detail,
                           (*result)->answer.detail.find("retry in") != std::string::npos);
    CPPUNIT_ASSERT(stand_->sent_to(SessionStand::kPrimary).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, primary().gate.waiting());
  }

  void read_leaves_for_another_backend() {
    teach(backend(SessionStand::kReplica), seconds(10));
    stand_->occupy_gate(SessionStand::kReplica);
    StatementRequest request = stand_->write("r");
    request.writes = false;
    request.prepared->writes = false;
    request.route.reads = registry::ReadPolicy::kBoundedStaleness;
    request.route.max_staleness_ms = 5000;
    const auto result = start(std::move(request));
    stand_->run_for(milliseconds(20));
    CPPUNIT_ASSERT(result->has_value() && (*result)->answer.succeeded());
    CPPUNIT_ASSERT(stand_->sent_to(SessionStand::kReplica).empty());
  }

  void waits_for_a_link_without_a_slot() {
    primary().pool.set_limit(1);
    std::shared_ptr<StatefulLink> taken = take_link("other");
    CPPUNIT_ASSERT(taken);
    const auto result = start(stand_->write("w"));
    stand_->run_for(milliseconds(50));
    CPPUNIT_ASSERT(!result->has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, primary().gate.waiting());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no slot is held for the link", 0U, primary().gate.running());
    primary().pool.release(taken);
    stand_->run_for(milliseconds(20));
    CPPUNIT_ASSERT(result->has_value() && (*result)->answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(0U, primary().gate.running());
  }

  void loser_of_a_link_waits_again_without_a_slot() {
    // Both wait until slots are free, and are admitted together while one link may be opened.
    primary().pool.set_limit(1);
    stand_->occupy_gate(SessionStand::kPrimary);
    stand_->during(Step::kStatement, [] {});
    const auto first = start(stand_->write("first"));
    const auto second = start(stand_->write("second"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, primary().gate.waiting());
    stand_->run_for(kEventStepDuration + milliseconds(2));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("one runs", 1U, primary().gate.running());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the other waits", std::size_t{1}, primary().gate.waiting());
    stand_->run_for(kEventStepDuration);
    CPPUNIT_ASSERT(first->has_value() && (*first)->answer.succeeded());
    CPPUNIT_ASSERT(second->has_value() && (*second)->answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stand_->dialled_tenants().size());
  }

  void prepared_link_admits_nobody_else() {
    const std::uint32_t slots = primary().gate.limit();
    const auto link = take_link(SessionStand::kTenant);
    CPPUNIT_ASSERT(link);
    CPPUNIT_ASSERT(stand_->finish(prepare(link, stand_->write("like"))));
    primary().pool.release(link);
    const auto hold = [](StatementGate& gate, TimePoint deadline) -> Awaitable<void> {
      const bool entered = co_await gate.enter(0, deadline);
      CPPUNIT_ASSERT(entered);
    };
    for (std::uint32_t slot = 0; slot < slots; ++slot)
      CPPUNIT_ASSERT(stand_->finish(hold(primary().gate, stand_->now() + seconds(1))));
    const auto first = start(stand_->write("first"));
    const auto second = start(stand_->write("second"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, primary().gate.waiting());
    stand_->during(Step::kStatement, [] {});
    primary().gate.leave_unanswered();
    stand_->run_for(milliseconds(2));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the first runs on the prepared link", slots, primary().gate.running());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, primary().gate.waiting());
    stand_->run_for(kEventStepDuration * 2);
    CPPUNIT_ASSERT(first->has_value() && (*first)->answer.succeeded());
    CPPUNIT_ASSERT(second->has_value() && (*second)->answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stand_->dialled_tenants().size());
  }

  void retired_pool_lets_waiting_statements_choose_again() {
    const std::shared_ptr<BackendState> kept =
        stand_->group()->backends.all().at(BackendName(SessionStand::kPrimary));
    stand_->occupy_gate(SessionStand::kPrimary);
    constexpr int kWaiting = 6;
    std::vector<std::shared_ptr<std::optional<RunResult>>> results;
    results.reserve(kWaiting);
    for (int number = 0; number < kWaiting; ++number)
      results.push_back(start(stand_->write(std::to_string(number))));
    CPPUNIT_ASSERT_EQUAL(results.size(), kept->gate.waiting());
    registry::FleetDelta removed = stand_->delta();
    removed.removed_backends = {kept->entry.name};
    stand_->view().apply(removed);
    stand_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("all left at once", std::size_t{0}, kept->gate.waiting());
    CPPUNIT_ASSERT_MESSAGE("while its slots are held", kept->gate.running() >= kept->gate.limit());
    registry::FleetDelta added = stand_->delta();
    added.backends = {kept->entry};
    stand_->view().apply(added);
    stand_->run_for(kEventStepDuration / 2);
    CPPUNIT_ASSERT_MESSAGE("the slots of before are still held", kept->gate.running() > 0);
    for (const auto& result : results) CPPUNIT_ASSERT(result->has_value() && (*result)->answer.succeeded());
  }

  void tenant_priority_of_the_document_counts() {
    registry::FleetDelta changed = stand_->delta();
    registry::TenantRule tenant;
    tenant.name = TenantName(SessionStand::kTenant);
    tenant.keys = {ApiKey(SessionStand::kKey)};
    tenant.priority = 3;
    changed.tenants = {tenant};
    stand_->view().apply(changed);
    const auto slot = slot_request_in_transaction(stand_->view(), stand_->write("w"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, slot.tenant_priority);
    CPPUNIT_ASSERT(slot.in_transaction);
    CPPUNIT_ASSERT(slot.target_end > slot.arrived && slot.deadline > slot.arrived);
  }

  void answers_teach_the_service_time() {
    stand_->during(Step::kStatement, [] {});
    const auto result = start(stand_->write("w"));
    stand_->run_for(kEventStepDuration * 2);
    CPPUNIT_ASSERT(result->has_value() && (*result)->answer.succeeded());
    // A statement of 200 ms runs; the next one would need as long again and has less time.
    stand_->occupy_gate(SessionStand::kPrimary);
    StatementRequest request = stand_->write("next");
    request.deadline = request.arrived + milliseconds(240);
    const auto refused = start(std::move(request));
    stand_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(refused->has_value() && (*refused)->answer.refusal == Refusal::kBusy);
  }

 private:
  BackendState& backend(const char* name) { return *stand_->group()->backends.all().at(BackendName(name)); }
  BackendState& primary() { return backend(SessionStand::kPrimary); }

  std::shared_ptr<std::optional<RunResult>> start(StatementRequest request) {
    auto result = std::make_shared<std::optional<RunResult>>();
    stand_->runtime().spawn("run", run_statement(*runner_, std::move(request), result));
    stand_->run_for(Duration(0));
    return result;
  }

  /// Shows the gate that statements of the write's class take this long.
  void teach(BackendState& backend, Duration service) {
    const auto learn = [](BackendState& taught, scheduling::SlotRequest slot,
                          Duration held) -> Awaitable<void> {
      const GateOutcome outcome = co_await taught.gate.enter(scheduling::SlotRequest(slot));
      CPPUNIT_ASSERT(outcome.admitted());
      taught.gate.leave_answered(slot, held);
    };
    scheduling::SlotRequest slot = slot_request_in_transaction(stand_->view(), stand_->write("t"));
    slot.in_transaction = false;
    CPPUNIT_ASSERT(stand_->finish(learn(backend, slot, service)));
  }

  Awaitable<void> prepare(std::shared_ptr<StatefulLink> link, const StatementRequest& like) {
    Reason reason;
    const bool prepared =
        co_await link->apply_session_state(like.values, like.prepared, stand_->now() + seconds(1), reason);
    CPPUNIT_ASSERT(prepared);
  }

  std::shared_ptr<StatefulLink> take_link(const char* tenant) {
    auto link = std::make_shared<std::shared_ptr<StatefulLink>>();
    const auto take = [](StatefulPool& pool, TimePoint deadline, std::string name,
                         std::shared_ptr<std::shared_ptr<StatefulLink>> out) -> Awaitable<void> {
      std::optional<Refusal> refusal;
      Reason reason;
      LinkRequest link_request{TenantName(name), {}};
      const LinkDeadlines deadlines{deadline, deadline};
      *out = co_await pool.acquire(std::move(link_request), deadlines, refusal, reason);
    };
    const TimePoint deadline = stand_->now() + seconds(1);
    CPPUNIT_ASSERT(stand_->finish(take(primary().pool, deadline, tenant, link)));
    return *link;
  }

  std::unique_ptr<SessionStand> stand_;
  std::unique_ptr<StatementRunner> runner_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScheduledAdmissionTest);

}  // namespace cairnhollow::registered::proxy

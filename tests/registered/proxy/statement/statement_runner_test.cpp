// A change of the API key, the lease or the primary while a statement is in progress: after it nothing of the
// statement is sent at any step, and no answer is acknowledged.
#include "registered/proxy/statement/statement_runner.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/registered/proxy/session_stand.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kLong = seconds(4);
/// Shorter than a step during which a change happens.
constexpr Duration kShort = kEventfulStep / 2;

/// An event or expiry after which the statement must not be sent any more.
struct Change {
  const char* name;
  Duration lease;  ///< remaining validity of the lease when the statement starts
  Duration keys;   ///< remaining validity of the key confirmation
  void (*event)(SessionStand& stand);
  Refusal single;  ///< the refusal of a single statement
};

void nothing(SessionStand& /*stand*/) {}

const std::vector<Change>& changes_of_keys() {
  static const std::vector<Change> changes{
      {"the key is removed", kLong, kLong, [](SessionStand& stand) { stand.remove_key(); },
       Refusal::kUnauthorized},
      {"the key proves another tenant", kLong, kLong, [](SessionStand& stand) { stand.move_key(); },
       Refusal::kUnauthorized},
      {"the key confirmation expires", kLong, kShort, nothing, Refusal::kBusy},
  };
  return changes;
}

const std::vector<Change>& changes_of_primary() {
  static const std::vector<Change> changes{
      {"the lease expires", kShort, kLong, nothing, Refusal::kBusy},
      {"the group is closed", kLong, kLong, [](SessionStand& stand) { stand.close_group(); }, Refusal::kBusy},
  };
  return changes;
}

std::vector<Change> all_changes() {
  std::vector<Change> changes = changes_of_keys();
  changes.insert(changes.end(), changes_of_primary().begin(), changes_of_primary().end());
  return changes;
}

std::string describe(const Change& change, Step step) {
  return std::string(change.name) + " during: " + step_name(step);
}

}  // namespace

class StatementRunnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatementRunnerTest);
  CPPUNIT_TEST(a_write_is_sent_and_acknowledged);
  CPPUNIT_TEST(a_write_waits_for_the_lease);
  CPPUNIT_TEST(nothing_of_a_write_is_sent_after_a_change);
  CPPUNIT_TEST(nothing_of_a_replicas_read_is_sent_without_a_key);
  CPPUNIT_TEST(nothing_of_a_new_transaction_is_sent_after_a_change);
  CPPUNIT_TEST(a_write_goes_to_the_new_primary_only);
  CPPUNIT_TEST(nothing_is_done_for_a_given_up_primary);
  CPPUNIT_TEST(an_open_transaction_ends_with_a_change);
  CPPUNIT_TEST(a_commit_is_not_sent_after_a_change);
  CPPUNIT_TEST(a_transaction_that_rested_is_not_the_new_primarys);
  CPPUNIT_TEST(a_read_only_transaction_needs_the_key_but_no_lease);
  CPPUNIT_TEST(an_answer_after_the_lease_is_in_doubt);
  CPPUNIT_TEST(who_waits_for_a_given_up_primary_is_told_at_once);
  CPPUNIT_TEST(a_read_at_the_primary_teaches_nothing_after_the_lease);
  CPPUNIT_TEST(what_may_have_run_needs_a_token);
  CPPUNIT_TEST(a_public_route_needs_no_confirmation);
  CPPUNIT_TEST(a_link_is_dialled_for_the_tenant);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { start(); }
  void tearDown() override { stand_.reset(); }

  void a_write_is_sent_and_acknowledged() {
    stand_->confirm(kLong, kLong);
    const RunResult result = run(stand_->write("w"));
    CPPUNIT_ASSERT(result.answer.succeeded());
    CPPUNIT_ASSERT(sent(SessionStand::kPrimary) == (std::vector<std::string>{"execute w"}));
    CPPUNIT_ASSERT(stand_->group()->positions.highest_acknowledged() == *result.answer.position);
  }

  void a_write_waits_for_the_lease() {
    stand_->confirm(milliseconds(10), kLong);
    stand_->run_for(milliseconds(100));
    const auto renew = [](SessionStand& stand) -> Awaitable<void> {
      co_await stand.runtime().sleep_for(milliseconds(300));
      stand.confirm(kLong, kLong);
    };
    stand_->runtime().spawn("renew", renew(*stand_));
    CPPUNIT_ASSERT(run(stand_->write("w")).answer.succeeded());
    CPPUNIT_ASSERT_MESSAGE("no link is opened before the lease is renewed",
                           stand_->dialled_for().size() == 1);
  }

  void nothing_of_a_write_is_sent_after_a_change() {
    for (const Step step : {Step::kGate, Step::kDial, Step::kSetValue, Step::kPrepare}) {
      for (const Change& change : all_changes()) {
        start();
        prepare(change, step);
        const RunResult result = run(stand_->write("w"));
        assert_nothing_sent(change, step);
        CPPUNIT_ASSERT_MESSAGE(describe(change, step), result.answer.refusal == change.single);
        CPPUNIT_ASSERT_MESSAGE(describe(change, step), result.nothing_run);
      }
    }
  }

  void nothing_of_a_replicas_read_is_sent_without_a_key() {
    for (const Step step : {Step::kGate, Step::kDial, Step::kSetValue, Step::kPrepare}) {
      for (const Change& change : changes_of_keys()) {
        start();
        prepare(change, step);
        const RunResult result = run(replica_read("r"));
        assert_nothing_sent(change, step);
        CPPUNIT_ASSERT_MESSAGE(describe(change, step), result.answer.refusal == change.single);
      }
    }
  }

  void nothing_of_a_new_transaction_is_sent_after_a_change() {
    for (const Step step : {Step::kGate, Step::kDial, Step::kSetValue, Step::kPrepare, Step::kBegin}) {
      for (const Change& change : all_changes()) {
        start();
        prepare(change, step);
        StatementRequest order = stand_->write("w");
        order.opens_transaction = true;
        const RunResult result = run(order);
        assert_no_statement(change, step);
        CPPUNIT_ASSERT_MESSAGE(describe(change, step), result.answer.refusal == change.single);
        CPPUNIT_ASSERT_MESSAGE(describe(change, step), !result.pinned);
      }
    }
  }

  void a_write_goes_to_the_new_primary_only() {
    for (const Step step : {Step::kGate, Step::kDial, Step::kSetValue, Step::kPrepare}) {
      start();
      stand_->confirm(kLong, kLong);
      stand_->during(step, [this] { stand_->change_primary(); });
      if (step == Step::kGate) stand_->occupy_gate(SessionStand::kPrimary);
      const RunResult result = run(stand_->write("w"));
      CPPUNIT_ASSERT_MESSAGE(step_name(step), result.answer.succeeded());
      CPPUNIT_ASSERT_MESSAGE(step_name(step), sent(SessionStand::kPrimary).empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(step_name(step), std::size_t{1}, sent(SessionStand::kReplica).size());
    }
  }

  void nothing_is_done_for_a_given_up_primary() {
    for (const Change& change : changes_of_primary()) {
      start();
      prepare(change, Step::kDial);
      run(stand_->write("w"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(change.name, 0, stand_->set_ups());
      start();
      prepare(change, Step::kGate);
      run(stand_->write("w"));
      CPPUNIT_ASSERT_MESSAGE(change.name, stand_->dialled_for().empty());
      start();
      prepare(change, Step::kPrepare);
      StatementRequest first = stand_->write("w");
      first.opens_transaction = true;
      run(first);
      CPPUNIT_ASSERT_MESSAGE("no Begin is sent", sent(SessionStand::kPrimary).empty());
    }
  }

  void an_open_transaction_ends_with_a_change() { end_transaction_with(false); }

  void a_commit_is_not_sent_after_a_change() { end_transaction_with(true); }

  void a_transaction_that_rested_is_not_the_new_primarys() {
    stand_->confirm(kLong, kLong);
    const PinnedLink pinned = begin();
    stand_->change_primary();
    const int set_ups = stand_->set_ups();
    StatementRequest late = stand_->write("late");
    late.values["tag"] = "b";
    const Answer answer = run_pinned(pinned, late, false);
    CPPUNIT_ASSERT(answer.refusal == Refusal::kAborted);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no session values are set", set_ups, stand_->set_ups());
    CPPUNIT_ASSERT(!pinned.link->link().is_open());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent(SessionStand::kPrimary).size());
  }

  void a_read_only_transaction_needs_the_key_but_no_lease() {
    stand_->confirm(kShort, kLong);
    StatementRequest order = replica_read("r");
    order.opens_transaction = true;
    order.read_only_transaction = true;
    const RunResult opened = run(order);
    CPPUNIT_ASSERT(opened.pinned && !opened.pinned->at_primary);
    stand_->run_for(kEventfulStep);
    order.opens_transaction = false;
    CPPUNIT_ASSERT(run_pinned(*opened.pinned, order, false).succeeded());
    stand_->remove_key();
    CPPUNIT_ASSERT(run_pinned(*opened.pinned, order, false).refusal == Refusal::kAborted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sent(SessionStand::kReplica).size());
  }

  void an_answer_after_the_lease_is_in_doubt() {
    for (const bool commits : {false, true}) {
      start();
      std::optional<PinnedLink> pinned;
      stand_->confirm(kLong, kLong);
      if (commits) pinned = begin();
      const Position before = stand_->group()->positions.highest_acknowledged();
      stand_->run_for(kLong - kShort);
      stand_->confirm(kShort, kLong);
      stand_->during(Step::kStatement, [] {});
      const Answer answer = pinned ? run_pinned(*pinned, commit(), true) : run(stand_->write("w")).answer;
      CPPUNIT_ASSERT(answer.refusal == Refusal::kInDoubt);
      CPPUNIT_ASSERT_MESSAGE("nothing is acknowledged",
                             before == stand_->group()->positions.highest_acknowledged());
    }
  }

  void who_waits_for_a_given_up_primary_is_told_at_once() {
    for (const bool commits : {false, true}) {
      start();
      stand_->confirm(kLong, kLong);
      std::optional<PinnedLink> pinned;
      if (commits) pinned = begin();
      stand_->during(Step::kStatement, [this] { stand_->close_group(); });
      const TimePoint asked_at = stand_->now();
      const Answer answer = pinned ? run_pinned(*pinned, commit(), true) : run(stand_->write("w")).answer;
      CPPUNIT_ASSERT(answer.refusal == Refusal::kInDoubt);
      CPPUNIT_ASSERT(stand_->now() - asked_at < kEventfulStep);
    }
  }

  void a_read_at_the_primary_teaches_nothing_after_the_lease() {
    stand_->confirm(kShort, kLong);
    stand_->during(Step::kStatement, [] {});
    StatementRequest order = stand_->write("r");
    order.writes = false;
    CPPUNIT_ASSERT(run(order).answer.succeeded());
    stand_->confirm(kLong, kLong);
    order.route.reads = registry::ReadPolicy::kBoundedStaleness;
    order.route.max_staleness_ms = 2000;
    CPPUNIT_ASSERT(stand_->group()->need_of(order.route, {}).primary_only);
  }

  void what_may_have_run_needs_a_token() {
    // The view was confirmed too long ago for this proxy to grant tokens for any tenant.
    stand_->confirm(kLong, seconds(1));
    stand_->limit_tenant(1);
    StatementRequest order = stand_->write("r");
    order.writes = false;
    order.may_have_run = true;
    const RunResult result = run(order);
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kOverLimit);
    CPPUNIT_ASSERT(sent(SessionStand::kPrimary).empty());
    order.may_have_run = false;
    CPPUNIT_ASSERT_MESSAGE("a first run took its token before", run(order).answer.succeeded());
  }

  void a_public_route_needs_no_confirmation() {
    stand_->confirm(kLong, Duration(0));
    StatementRequest order = stand_->write("w");
    CPPUNIT_ASSERT(run(order).answer.refusal == Refusal::kBusy);
    order.tenant = TenantName();
    order.key = ApiKey();
    CPPUNIT_ASSERT(run(order).answer.refusal == Refusal::kUnauthorized);
    order.route.is_public = true;
    CPPUNIT_ASSERT(run(order).answer.succeeded());
  }

  void a_link_is_dialled_for_the_tenant() {
    stand_->confirm(kLong, kLong);
    run(stand_->write("w"));
    StatementRequest order = stand_->write("o");
    order.key = ApiKey("others");
    order.tenant = TenantName("other");
    run(order);
    CPPUNIT_ASSERT(stand_->dialled_for() == (std::vector<std::string>{SessionStand::kTenant, "other"}));
  }

 private:
  void start() {
    stand_.reset();
    stand_ = std::make_unique<SessionStand>();
    runner_ = std::make_unique<StatementRunner>(stand_->services());
  }

  void prepare(const Change& change, Step step) {
    stand_->confirm(change.lease, change.keys);
    stand_->during(step, [this, &change] { change.event(*stand_); });
    if (step != Step::kGate) return;
    for (const char* backend : {SessionStand::kPrimary, SessionStand::kReplica}) stand_->occupy_gate(backend);
  }

  void assert_nothing_sent(const Change& change, Step step) {
    for (const char* backend : {SessionStand::kPrimary, SessionStand::kReplica})
      CPPUNIT_ASSERT_MESSAGE(describe(change, step), sent(backend).empty());
  }
  /// Allows a Begin to have been sent.
  void assert_no_statement(const Change& change, Step step) {
    for (const char* backend : {SessionStand::kPrimary, SessionStand::kReplica}) {
      for (const std::string& text : sent(backend))
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(change, step), std::string("begin"), text);
    }
  }

  void end_transaction_with(bool commits) {
    for (const Step step : {Step::kGate, Step::kSetValue, Step::kPrepare}) {
      // A commit applies no session state to the link.
      if (commits && step != Step::kGate) continue;
      for (const Change& change : all_changes()) {
        start();
        stand_->confirm(kLong, kLong);
        const PinnedLink pinned = begin();
        stand_->run_for(kLong - kShort / 2);
        prepare(change, step);
        StatementRequest order = commits ? commit() : stand_->write("late");
        if (!commits) order.values["tag"] = "b";
        if (!commits) order.prepared = PreparedShape{true, "another"};
        const Answer answer = run_pinned(pinned, order, commits);
        CPPUNIT_ASSERT_MESSAGE(describe(change, step), answer.refusal == Refusal::kAborted);
        CPPUNIT_ASSERT_MESSAGE(describe(change, step), !pinned.link->link().is_open());
        const std::vector<std::string> before{"begin", "execute first"};
        CPPUNIT_ASSERT_MESSAGE(describe(change, step), sent(SessionStand::kPrimary) == before);
      }
    }
  }

  [[nodiscard]] const std::vector<std::string>& sent(const char* backend) { return stand_->sent_to(backend); }

  RunResult run(StatementRequest order) {
    order.arrived = stand_->now();
    order.deadline = order.arrived + milliseconds(order.route.timeout_ms);
    auto result = std::make_shared<RunResult>();
    const auto task = [](StatementRunner& runner, StatementRequest wanted,
                         std::shared_ptr<RunResult> told) -> Awaitable<void> {
      *told = co_await runner.run(std::move(wanted));
    };
    CPPUNIT_ASSERT(stand_->finish(task(*runner_, std::move(order), result)));
    return *result;
  }

  Answer run_pinned(PinnedLink pinned, StatementRequest order, bool commits) {
    order.arrived = stand_->now();
    order.deadline = order.arrived + milliseconds(order.route.timeout_ms);
    auto answer = std::make_shared<Answer>();
    const auto task = [](StatementRunner& runner, PinnedLink link, StatementRequest wanted, bool is_commit,
                         std::shared_ptr<Answer> told) -> Awaitable<void> {
      *told = co_await runner.transactions().run(std::move(link), std::move(wanted), is_commit, true);
    };
    CPPUNIT_ASSERT(stand_->finish(task(*runner_, std::move(pinned), std::move(order), commits, answer)));
    return *answer;
  }

  PinnedLink begin() {
    StatementRequest order = stand_->write("first");
    order.opens_transaction = true;
    const RunResult result = run(order);
    CPPUNIT_ASSERT(result.pinned && result.pinned->at_primary);
    return *result.pinned;
  }

  StatementRequest commit() {
    StatementRequest order = stand_->write("commit");
    order.prepared.reset();
    order.text = "commit";
    order.writes = false;
    return order;
  }

  /// A read that a replica may serve: the primary's positions of now and of a second ago are known.
  StatementRequest replica_read(const std::string& id) {
    GroupAccess& group = *stand_->group();
    group.positions.record(stand_->now() - seconds(1), Position{1, 5});
    group.positions.record(stand_->now(), Position{1, 6});
    StatementRequest order = stand_->write(id);
    order.writes = false;
    order.route.reads = registry::ReadPolicy::kBoundedStaleness;
    order.route.max_staleness_ms = 900;
    return order;
  }

  std::unique_ptr<SessionStand> stand_;
  std::unique_ptr<StatementRunner> runner_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementRunnerTest);

}  // namespace cairnhollow::registered::proxy

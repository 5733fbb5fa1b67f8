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
constexpr Duration kShort = kEventStepDuration / 2;

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
      {"the key proves another tenant", kLong, kLong, [](SessionStand& stand) { stand.reassign_key(); },
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
  CPPUNIT_TEST(sends_and_acknowledges_writes);
  CPPUNIT_TEST(writes_wait_for_the_lease);
  CPPUNIT_TEST(sends_no_write_after_a_change);
  CPPUNIT_TEST(sends_no_replica_read_without_a_valid_key);
  CPPUNIT_TEST(sends_no_first_statement_after_a_change);
  CPPUNIT_TEST(sends_writes_only_to_the_new_primary);
  CPPUNIT_TEST(sends_no_requests_to_a_lost_primary);
  CPPUNIT_TEST(aborts_open_transactions_after_a_change);
  CPPUNIT_TEST(sends_no_commit_after_a_change);
  CPPUNIT_TEST(aborts_idle_transactions_after_a_failover);
  CPPUNIT_TEST(read_only_transactions_need_a_key_but_no_lease);
  CPPUNIT_TEST(answers_after_lease_expiry_are_in_doubt);
  CPPUNIT_TEST(closing_the_group_ends_waits_at_once);
  CPPUNIT_TEST(ignores_positions_read_after_lease_expiry);
  CPPUNIT_TEST(possible_reruns_need_a_token);
  CPPUNIT_TEST(public_routes_need_no_key_confirmation);
  CPPUNIT_TEST(opens_links_for_the_tenant);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { start(); }
  void tearDown() override { stand_.reset(); }

  void sends_and_acknowledges_writes() {
    stand_->confirm(kLong, kLong);
    const RunResult result = run(stand_->write("w"));
    CPPUNIT_ASSERT(result.answer.succeeded());
    CPPUNIT_ASSERT(sent(SessionStand::kPrimary) == (std::vector<std::string>{"execute w"}));
    CPPUNIT_ASSERT(stand_->group()->positions.highest_acknowledged() == *result.answer.position);
  }

  void writes_wait_for_the_lease() {
    stand_->confirm(milliseconds(10), kLong);
    stand_->run_for(milliseconds(100));
    const auto renew = [](SessionStand& stand) -> Awaitable<void> {
      co_await stand.runtime().sleep_for(milliseconds(300));
      stand.confirm(kLong, kLong);
    };
    stand_->runtime().spawn("renew", renew(*stand_));
    CPPUNIT_ASSERT(run(stand_->write("w")).answer.succeeded());
    CPPUNIT_ASSERT_MESSAGE("no link is opened before the lease is renewed",
                           stand_->dialled_tenants().size() == 1);
  }

  void sends_no_write_after_a_change() {
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

  void sends_no_replica_read_without_a_valid_key() {
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

  void sends_no_first_statement_after_a_change() {
    for (const Step step : {Step::kGate, Step::kDial, Step::kSetValue, Step::kPrepare, Step::kBegin}) {
      for (const Change& change : all_changes()) {
        start();
        prepare(change, step);
        StatementRequest request = stand_->write("w");
        request.opens_transaction = true;
        const RunResult result = run(request);
        assert_no_statement(change, step);
        CPPUNIT_ASSERT_MESSAGE(describe(change, step), result.answer.refusal == change.single);
        CPPUNIT_ASSERT_MESSAGE(describe(change, step), !result.pinned);
      }
    }
  }

  void sends_writes_only_to_the_new_primary() {
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

  void sends_no_requests_to_a_lost_primary() {
    for (const Change& change : changes_of_primary()) {
      start();
      prepare(change, Step::kDial);
      run(stand_->write("w"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(change.name, 0, stand_->setup_count());
      start();
      prepare(change, Step::kGate);
      run(stand_->write("w"));
      CPPUNIT_ASSERT_MESSAGE(change.name, stand_->dialled_tenants().empty());
      start();
      prepare(change, Step::kPrepare);
      StatementRequest first = stand_->write("w");
      first.opens_transaction = true;
      run(first);
      CPPUNIT_ASSERT_MESSAGE("no Begin is sent", sent(SessionStand::kPrimary).empty());
    }
  }

  void aborts_open_transactions_after_a_change() { end_transaction_with(false); }

  void sends_no_commit_after_a_change() { end_transaction_with(true); }

  void aborts_idle_transactions_after_a_failover() {
    stand_->confirm(kLong, kLong);
    const PinnedLink pinned = begin();
    stand_->change_primary();
    const int set_ups = stand_->setup_count();
    StatementRequest late = stand_->write("late");
    late.values["tag"] = "b";
    const Answer answer = run_pinned(pinned, late, false);
    CPPUNIT_ASSERT(answer.refusal == Refusal::kAborted);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no session values are set", set_ups, stand_->setup_count());
    CPPUNIT_ASSERT(!pinned.link->link().is_open());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent(SessionStand::kPrimary).size());
  }

  void read_only_transactions_need_a_key_but_no_lease() {
    stand_->confirm(kShort, kLong);
    StatementRequest request = replica_read("r");
    request.opens_transaction = true;
    request.read_only_transaction = true;
    const RunResult opened = run(request);
    CPPUNIT_ASSERT(opened.pinned && !opened.pinned->at_primary);
    stand_->run_for(kEventStepDuration);
    request.opens_transaction = false;
    CPPUNIT_ASSERT(run_pinned(*opened.pinned, request, false).succeeded());
    stand_->remove_key();
    CPPUNIT_ASSERT(run_pinned(*opened.pinned, request, false).refusal == Refusal::kAborted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sent(SessionStand::kReplica).size());
  }

  void answers_after_lease_expiry_are_in_doubt() {
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

  void closing_the_group_ends_waits_at_once() {
    for (const bool commits : {false, true}) {
      start();
      stand_->confirm(kLong, kLong);
      std::optional<PinnedLink> pinned;
      if (commits) pinned = begin();
      stand_->during(Step::kStatement, [this] { stand_->close_group(); });
      const TimePoint asked_at = stand_->now();
      const Answer answer = pinned ? run_pinned(*pinned, commit(), true) : run(stand_->write("w")).answer;
      CPPUNIT_ASSERT(answer.refusal == Refusal::kInDoubt);
      CPPUNIT_ASSERT(stand_->now() - asked_at < kEventStepDuration);
    }
  }

  void ignores_positions_read_after_lease_expiry() {
    stand_->confirm(kShort, kLong);
    stand_->during(Step::kStatement, [] {});
    StatementRequest request = stand_->write("r");
    request.writes = false;
    CPPUNIT_ASSERT(run(request).answer.succeeded());
    stand_->confirm(kLong, kLong);
    request.route.reads = registry::ReadPolicy::kBoundedStaleness;
    request.route.max_staleness_ms = 2000;
    CPPUNIT_ASSERT(stand_->group()->need_of(request.route, {}).primary_only);
  }

  void possible_reruns_need_a_token() {
    // The view was confirmed too long ago for this proxy to grant tokens for any tenant.
    stand_->confirm(kLong, seconds(1));
    stand_->limit_tenant(1);
    StatementRequest request = stand_->write("r");
    request.writes = false;
    request.may_have_run = true;
    const RunResult result = run(request);
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kOverLimit);
    CPPUNIT_ASSERT(sent(SessionStand::kPrimary).empty());
    request.may_have_run = false;
    CPPUNIT_ASSERT_MESSAGE("a first run took its token before", run(request).answer.succeeded());
  }

  void public_routes_need_no_key_confirmation() {
    stand_->confirm(kLong, Duration(0));
    StatementRequest request = stand_->write("w");
    CPPUNIT_ASSERT(run(request).answer.refusal == Refusal::kBusy);
    request.tenant = TenantName();
    request.key = ApiKey();
    CPPUNIT_ASSERT(run(request).answer.refusal == Refusal::kUnauthorized);
    request.route.is_public = true;
    CPPUNIT_ASSERT(run(request).answer.succeeded());
  }

  void opens_links_for_the_tenant() {
    stand_->confirm(kLong, kLong);
    run(stand_->write("w"));
    StatementRequest request = stand_->write("o");
    request.key = ApiKey("others");
    request.tenant = TenantName("other");
    run(request);
    CPPUNIT_ASSERT(stand_->dialled_tenants() == (std::vector<std::string>{SessionStand::kTenant, "other"}));
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
        StatementRequest request = commits ? commit() : stand_->write("late");
        if (!commits) request.values["tag"] = "b";
        if (!commits) request.prepared = PreparedShape{true, "another"};
        const Answer answer = run_pinned(pinned, request, commits);
        CPPUNIT_ASSERT_MESSAGE(describe(change, step), answer.refusal == Refusal::kAborted);
        CPPUNIT_ASSERT_MESSAGE(describe(change, step), !pinned.link->link().is_open());
        const std::vector<std::string> before{"begin", "execute first"};
        CPPUNIT_ASSERT_MESSAGE(describe(change, step), sent(SessionStand::kPrimary) == before);
      }
    }
  }

  [[nodiscard]] const std::vector<std::string>& sent(const char* backend) { return stand_->sent_to(backend); }

  RunResult run(StatementRequest request) {
    request.arrived = stand_->now();
    request.deadline = request.arrived + milliseconds(request.route.timeout_ms);
    auto result = std::make_shared<RunResult>();
    const auto task = [](StatementRunner& runner, StatementRequest statement_request,
                         std::shared_ptr<RunResult> output) -> Awaitable<void> {
      *output = co_await runner.run(std::move(statement_request));
    };
    CPPUNIT_ASSERT(stand_->finish(task(*runner_, std::move(request), result)));
    return *result;
  }

  Answer run_pinned(PinnedLink pinned, StatementRequest request, bool commits) {
    request.arrived = stand_->now();
    request.deadline = request.arrived + milliseconds(request.route.timeout_ms);
    auto answer = std::make_shared<Answer>();
    const auto task = [](StatementRunner& runner, PinnedLink link, StatementRequest statement_request,
                         bool is_commit, std::shared_ptr<Answer> output) -> Awaitable<void> {
      *output =
          co_await runner.transactions().run(std::move(link), std::move(statement_request), is_commit, true);
    };
    CPPUNIT_ASSERT(stand_->finish(task(*runner_, std::move(pinned), std::move(request), commits, answer)));
    return *answer;
  }

  PinnedLink begin() {
    StatementRequest request = stand_->write("first");
    request.opens_transaction = true;
    const RunResult result = run(request);
    CPPUNIT_ASSERT(result.pinned && result.pinned->at_primary);
    return *result.pinned;
  }

  StatementRequest commit() {
    StatementRequest request = stand_->write("commit");
    request.prepared.reset();
    request.text = "commit";
    request.writes = false;
    return request;
  }

  /// A read that a replica may serve: the primary's positions of now and of a second ago are known.
  StatementRequest replica_read(const std::string& id) {
    GroupAccess& group = *stand_->group();
    group.positions.record(stand_->now() - seconds(1), Position{1, 5});
    group.positions.record(stand_->now(), Position{1, 6});
    StatementRequest request = stand_->write(id);
    request.writes = false;
    request.route.reads = registry::ReadPolicy::kBoundedStaleness;
    request.route.max_staleness_ms = 900;
    return request;
  }

  std::unique_ptr<SessionStand> stand_;
  std::unique_ptr<StatementRunner> runner_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementRunnerTest);

}  // namespace cairnhollow::registered::proxy

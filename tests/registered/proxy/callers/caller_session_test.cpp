// What a caller's key lets it do: a session, and each of its statements, as long as the key is confirmed.
#include "registered/proxy/callers/caller_session.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "tests/registered/proxy/session_stand.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kLong = seconds(4);
/// As long as a confirmation of just now is worth.
constexpr Duration kWhole = milliseconds(4900);

/// A caller that says what the test wants it to say, and keeps what it is told.
class ScriptedCaller : public CallerConnection {
 public:
  ScriptedCaller(runtime::Runtime& runtime, std::string key) : key_(std::move(key)), asked_(runtime) {}

  Awaitable<std::optional<SessionStart>> read_start(TimePoint /*deadline*/, Reason& /*reason*/) override {
    co_return SessionStart{DatabaseName("database"), ApiKey(key_)};
  }
  Awaitable<bool> accept(Reason& /*reason*/) override {
    accepted = true;
    co_return true;
  }
  Awaitable<void> refuse(Refusal refusal, std::string /*detail*/) override {
    refused = refusal;
    co_return;
  }
  Awaitable<std::optional<Statement>> read_statement(Reason& /*reason*/) override {
    while (open_ && statements_.empty()) co_await asked_.wait();
    if (!open_) co_return std::nullopt;
    Statement statement = std::move(statements_.front());
    statements_.pop_front();
    co_return statement;
  }
  Awaitable<bool> answer(const Answer& answer, Reason& /*reason*/) override {
    answers.push_back(answer);
    co_return true;
  }
  void close() override {
    open_ = false;
    asked_.notify_all();
  }
  [[nodiscard]] bool is_open() const override { return open_; }
  [[nodiscard]] std::string peer() const override { return "caller"; }

  void say(StatementKind kind, const std::string& text) {
    Statement statement;
    statement.kind = kind;
    statement.id = text;
    statement.text = text;
    statements_.push_back(std::move(statement));
    asked_.notify_all();
  }

  bool accepted = false;
  std::optional<Refusal> refused;
  std::vector<Answer> answers;

 private:
  std::string key_;
  runtime::Signal asked_;
  std::deque<Statement> statements_;
  bool open_ = true;
};

}  // namespace

class CallerSessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerSessionTest);
  CPPUNIT_TEST(a_known_key_opens_a_session);
  CPPUNIT_TEST(an_unknown_key_is_refused_when_control_has_said_so);
  CPPUNIT_TEST(an_unknown_key_is_not_refused_for_good_without_control);
  CPPUNIT_TEST(a_key_that_arrives_in_time_is_let_in);
  CPPUNIT_TEST(a_statement_without_confirmation_sends_its_caller_elsewhere);
  CPPUNIT_TEST(a_statement_of_a_removed_key_ends_the_session);
  CPPUNIT_TEST(a_transaction_fails_with_its_key);
  CPPUNIT_TEST(a_commit_without_confirmation_keeps_nothing);
  CPPUNIT_TEST(an_operation_that_nobody_counts_does_not_begin);
  CPPUNIT_TEST(a_token_of_what_was_not_run_is_given_back);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { stand_ = std::make_unique<SessionStand>(); }
  void tearDown() override {
    stand_.reset();
    session_.reset();
    caller_.reset();
  }

  void a_known_key_opens_a_session() {
    stand_->confirm(kLong, kLong);
    open(SessionStand::kKey);
    CPPUNIT_ASSERT(caller_->accepted);
    CPPUNIT_ASSERT(ask(StatementKind::kWrite, "w").succeeded());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stand_->sent_to(SessionStand::kPrimary).size());
  }

  void an_unknown_key_is_refused_when_control_has_said_so() {
    stand_->confirm(kLong, kLong);
    open("unknown");
    CPPUNIT_ASSERT_MESSAGE("it may be newer than the document", !caller_->refused);
    // To a question that was asked after the caller came.
    stand_->view().extend_lease(stand_->now(), stand_->now() + kLong, 0);
    stand_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(caller_->refused == Refusal::kUnauthorized);
  }

  void an_unknown_key_is_not_refused_for_good_without_control() {
    stand_->confirm(kLong, kLong);
    open("unknown");
    // An answer to an older question tells nothing.
    stand_->view().extend_lease(stand_->now() - seconds(1), stand_->now() + kLong, 0);
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT(caller_->refused == Refusal::kBusy);
  }

  void a_key_that_arrives_in_time_is_let_in() {
    stand_->confirm(kLong, kLong);
    open("new");
    registry::FleetDelta delta = stand_->delta();
    registry::TenantRule tenant;
    tenant.name = TenantName("new");
    tenant.keys = {ApiKey("new")};
    delta.tenants = {tenant};
    stand_->view().apply(delta);
    stand_->view().extend_lease(stand_->now(), stand_->now() + kLong, 0);
    stand_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(caller_->accepted && !caller_->refused);
  }

  void a_statement_without_confirmation_sends_its_caller_elsewhere() {
    for (const StatementKind kind : {StatementKind::kWrite, StatementKind::kRead, StatementKind::kBegin}) {
      stand_ = std::make_unique<SessionStand>();
      stand_->confirm(kLong, milliseconds(100));
      open(SessionStand::kKey);
      stand_->run_for(milliseconds(200));
      const Answer answer = ask(kind, "x");
      CPPUNIT_ASSERT(answer.refusal == Refusal::kBusy);
      CPPUNIT_ASSERT_MESSAGE("nothing is open", answer.state == TransactionState::kIdle);
      CPPUNIT_ASSERT(stand_->sent_to(SessionStand::kPrimary).empty());
      CPPUNIT_ASSERT_MESSAGE("it meets the same here each time", !caller_->is_open());
    }
  }

  void a_statement_of_a_removed_key_ends_the_session() {
    stand_->confirm(kLong, kLong);
    open(SessionStand::kKey);
    CPPUNIT_ASSERT(ask(StatementKind::kWrite, "w").succeeded());
    stand_->remove_key();
    CPPUNIT_ASSERT(ask(StatementKind::kWrite, "late").refusal == Refusal::kUnauthorized);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stand_->sent_to(SessionStand::kPrimary).size());
    CPPUNIT_ASSERT(!caller_->is_open());
  }

  void a_transaction_fails_with_its_key() {
    stand_->confirm(kLong, milliseconds(100));
    open(SessionStand::kKey);
    CPPUNIT_ASSERT(ask(StatementKind::kBegin, "begin").succeeded());
    CPPUNIT_ASSERT(ask(StatementKind::kWrite, "w").succeeded());
    stand_->run_for(milliseconds(200));
    const Answer late = ask(StatementKind::kWrite, "late");
    CPPUNIT_ASSERT(late.refusal && guarantees_no_effect(*late.refusal));
    CPPUNIT_ASSERT(late.state == TransactionState::kFailed);
    CPPUNIT_ASSERT(ask(StatementKind::kCommit, "commit").refusal == Refusal::kAborted);
    CPPUNIT_ASSERT(stand_->sent_to(SessionStand::kPrimary) == (std::vector<std::string>{"begin", "w"}));
    CPPUNIT_ASSERT(!caller_->is_open());
  }

  void a_commit_without_confirmation_keeps_nothing() {
    stand_->confirm(kLong, milliseconds(100));
    open(SessionStand::kKey);
    ask(StatementKind::kBegin, "begin");
    CPPUNIT_ASSERT(ask(StatementKind::kWrite, "w").succeeded());
    stand_->run_for(milliseconds(200));
    const Answer late = ask(StatementKind::kCommit, "commit");
    CPPUNIT_ASSERT(late.refusal && guarantees_no_effect(*late.refusal));
    CPPUNIT_ASSERT(late.state == TransactionState::kIdle);
    CPPUNIT_ASSERT(stand_->sent_to(SessionStand::kPrimary) == (std::vector<std::string>{"begin", "w"}));
  }

  void an_operation_that_nobody_counts_does_not_begin() {
    // Long enough ago that this proxy may not count.
    stand_->confirm(kLong, milliseconds(500));
    stand_->limit_tenant(10);
    open(SessionStand::kKey);
    CPPUNIT_ASSERT(ask(StatementKind::kWrite, "w").refusal == Refusal::kBusy);
    CPPUNIT_ASSERT(ask(StatementKind::kBegin, "begin").succeeded());
    CPPUNIT_ASSERT(ask(StatementKind::kWrite, "w").refusal == Refusal::kBusy);
    CPPUNIT_ASSERT(stand_->sent_to(SessionStand::kPrimary).empty());
  }

  void a_token_of_what_was_not_run_is_given_back() {
    stand_->limit_tenant(10);
    stand_->confirm(kLong, kWhole);
    stand_->run_for(kLong);
    stand_->confirm(kLong, kWhole);
    stand_->close_group();
    // Nobody expects the next primary soon any more, so that each statement is refused at once.
    stand_->run_for(kLong);
    stand_->confirm(kLong, kWhole);
    open(SessionStand::kKey);
    for (int statement = 0; statement < 100; ++statement) {
      stand_->confirm(kLong, kWhole);
      CPPUNIT_ASSERT(ask(StatementKind::kWrite, "w").refusal == Refusal::kBusy);
      const std::string& why = caller_->answers.back().detail;
      CPPUNIT_ASSERT_MESSAGE(why, why.starts_with("the group has no primary"));
    }
  }

 private:
  void open(const std::string& key) {
    caller_ = std::make_shared<ScriptedCaller>(stand_->runtime(), key);
    session_ = std::make_shared<CallerSession>(stand_->services(), caller_);
    stand_->runtime().spawn("session", session_->run());
    stand_->run_for(milliseconds(1));
  }

  Answer ask(StatementKind kind, const std::string& text) {
    const std::size_t before = caller_->answers.size();
    caller_->say(kind, text);
    for (int wait = 0; wait < 300 && caller_->answers.size() == before; ++wait)
      stand_->run_for(milliseconds(10));
    // What it does after its answer.
    stand_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(before + 1, caller_->answers.size());
    return caller_->answers.back();
  }

  std::unique_ptr<SessionStand> stand_;
  std::shared_ptr<ScriptedCaller> caller_;
  std::shared_ptr<CallerSession> session_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerSessionTest);

}  // namespace cairnhollow::registered::proxy

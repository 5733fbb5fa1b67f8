// Retries, side effects and in-doubt outcomes after each refusal, lost answer and link failure, by kind of
// statement.
#include "registered/placement/attempt_outcome.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cairnhollow::registered::placement {
namespace {

AttemptFacts write() {
  AttemptFacts facts;
  facts.needs_primary = true;
  facts.primary_only = true;
  facts.at_primary = true;
  facts.term_is_current = true;
  facts.may_use_primary = true;
  return facts;
}
AttemptFacts opens_transaction() {
  AttemptFacts facts = write();
  facts.repeatable = true;
  return facts;
}
AttemptFacts primary_read() {
  AttemptFacts facts = opens_transaction();
  facts.reads = true;
  return facts;
}
/// A read that any backend may serve, at a replica.
AttemptFacts replica_read() {
  AttemptFacts facts = primary_read();
  facts.needs_primary = false;
  facts.primary_only = false;
  facts.at_primary = false;
  return facts;
}
/// A read that any backend may serve, at the primary.
AttemptFacts free_read_at_primary() {
  AttemptFacts facts = replica_read();
  facts.at_primary = true;
  return facts;
}
AttemptFacts second(AttemptFacts facts) {
  facts.attempts = 2;
  return facts;
}
AttemptFacts of_former_term(AttemptFacts facts) {
  facts.term_is_current = false;
  facts.may_use_primary = false;
  return facts;
}

std::string text_of(const Retry& retry) {
  const std::string where = retry.excludes_backend ? " elsewhere" : "";
  if (retry.next == NextStep::kAnswer) return "answer" + where;
  return (retry.next == NextStep::kReselectBackend ? "again" : "pause") + where;
}

std::string text_of(const RefusalEffects& effects) {
  std::string text;
  if (effects.suspect_primary) text += " suspect";
  if (effects.close_link) text += " close";
  if (effects.forget_prepared) text += " forget";
  if (effects.record_lag) text += " lag";
  return text;
}

std::string text_of(const LossOutcome& outcome) {
  std::string text = text_of(outcome.retry);
  if (outcome.may_have_restarted) text += " restarted";
  if (outcome.suspect_primary) text += " suspect";
  if (outcome.counts_as_disconnect) text += " disconnected";
  return text;
}

}  // namespace

class AttemptOutcomeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptOutcomeTest);
  CPPUNIT_TEST(retries_depend_on_the_answer);
  CPPUNIT_TEST(refusals_affect_backend_and_link);
  CPPUNIT_TEST(refused_begins_affect_backend_and_link);
  CPPUNIT_TEST(lost_answers_are_retried_or_in_doubt);
  CPPUNIT_TEST(only_lost_commits_are_in_doubt);
  CPPUNIT_TEST(link_failures_mark_the_backend);
  CPPUNIT_TEST(primary_successes_record_positions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void retries_depend_on_the_answer() {
    struct Row {
      std::optional<Refusal> refusal;
      std::string write;
      std::string primary_read;
      std::string replica_read;
    };
    const std::vector<Row> rows{
        {std::nullopt, "answer", "answer", "answer"},
        {Refusal::kBusy, "pause", "pause", "again elsewhere"},
        {Refusal::kAborted, "answer", "answer", "answer"},
        {Refusal::kTooStale, "pause", "pause", "again elsewhere"},
        {Refusal::kNotPrimary, "pause", "pause", "again elsewhere"},
        {Refusal::kWrongBackend, "pause", "pause", "again elsewhere"},
        {Refusal::kConnectionLimit, "pause", "pause", "again elsewhere"},
        {Refusal::kInDoubt, "answer", "answer", "answer"},
        {Refusal::kTimedOut, "answer", "answer", "answer"},
        {Refusal::kFailed, "answer", "again elsewhere", "again elsewhere"},
        {Refusal::kMalformed, "answer", "answer", "answer"},
        {Refusal::kUnknownStatement, "pause", "pause", "again elsewhere"},
        {Refusal::kUnknownDatabase, "answer", "answer", "answer"},
        {Refusal::kUnauthorized, "pause", "pause", "again elsewhere"},
        {Refusal::kOverLimit, "pause", "pause", "again elsewhere"},
    };
    CPPUNIT_ASSERT_EQUAL(kRefusalCount + 1, rows.size());
    for (const Row& row : rows) {
      const std::string what = row.refusal ? refusal_name(*row.refusal) : "success";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, row.write, text_of(after_answer(row.refusal, write())));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, row.primary_read,
                                   text_of(after_answer(row.refusal, primary_read())));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, row.replica_read,
                                   text_of(after_answer(row.refusal, replica_read())));
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a second failure", std::string("answer"),
                                 text_of(after_answer(Refusal::kFailed, second(replica_read()))));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a read-write transaction", std::string("answer"),
                                 text_of(after_answer(Refusal::kFailed, opens_transaction())));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no limit on busy answers", std::string("pause"),
                                 text_of(after_answer(Refusal::kBusy, second(write()))));
  }

  void refusals_affect_backend_and_link() {
    struct Row {
      std::string what;
      Refusal refusal;
      AttemptFacts attempt;
      std::string effects;
    };
    const std::vector<Row> rows{
        {"busy", Refusal::kBusy, write(), ""},
        {"a replica lags", Refusal::kTooStale, replica_read(), " lag"},
        {"a primary lacks a reported position", Refusal::kTooStale, primary_read(), " suspect close"},
        {"the primary lost its role", Refusal::kNotPrimary, write(), " suspect"},
        {"a primary of an earlier term", Refusal::kNotPrimary, of_former_term(write()), ""},
        {"a replica", Refusal::kNotPrimary, replica_read(), ""},
        {"wrong backend", Refusal::kWrongBackend, write(), " close"},
        {"unknown prepared statement", Refusal::kUnknownStatement, write(), " forget"},
        {"connection limit", Refusal::kConnectionLimit, write(), ""},
        {"unauthorized", Refusal::kUnauthorized, write(), ""},
        {"over limit", Refusal::kOverLimit, write(), ""},
    };
    for (const Row& row : rows)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.effects,
                                   text_of(effects_of_refusal(row.refusal, row.attempt)));
  }

  void refused_begins_affect_backend_and_link() {
    const auto effects = [](Refusal refusal, bool primary_only) {
      return text_of(effects_of_refused_begin(refusal, primary_only));
    };
    CPPUNIT_ASSERT_EQUAL(std::string(" lag"), effects(Refusal::kTooStale, false));
    CPPUNIT_ASSERT_EQUAL(std::string(" suspect close"), effects(Refusal::kTooStale, true));
    CPPUNIT_ASSERT_EQUAL(std::string(" suspect"), effects(Refusal::kNotPrimary, true));
    CPPUNIT_ASSERT_EQUAL(std::string(" suspect"), effects(Refusal::kNotPrimary, false));
    CPPUNIT_ASSERT_EQUAL(std::string(""), effects(Refusal::kBusy, true));
    CPPUNIT_ASSERT_EQUAL(std::string(""), effects(Refusal::kWrongBackend, true));
  }

  void lost_answers_are_retried_or_in_doubt() {
    constexpr LossFacts kNotSent{false, true};
    constexpr LossFacts kBrokenOff{true, true};
    constexpr LossFacts kLate{true, false};
    struct Row {
      std::string what;
      AttemptFacts attempt;
      LossFacts loss;
      std::string outcome;
    };
    const std::vector<Row> rows{
        {"a write that was not sent", write(), kNotSent, "pause restarted suspect"},
        {"a write whose connection was lost", write(), kBrokenOff, "answer restarted suspect disconnected"},
        {"a write whose answer is late", write(), kLate, "answer suspect"},
        {"a write at a primary of an earlier term", of_former_term(write()), kBrokenOff, "answer"},
        {"the first statement of a transaction", opens_transaction(), kBrokenOff,
         "pause restarted suspect disconnected"},
        {"a read of the primary", primary_read(), kLate, "pause suspect"},
        {"a read of a replica", replica_read(), kLate, "again elsewhere"},
        {"a replica's connection was lost", replica_read(), kBrokenOff, "again elsewhere restarted"},
        {"a replica read at the primary", free_read_at_primary(), kLate, "again elsewhere suspect"},
    };
    for (const Row& row : rows)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.outcome, text_of(after_loss(row.attempt, row.loss)));
  }

  void only_lost_commits_are_in_doubt() {
    CPPUNIT_ASSERT(is_in_doubt(true, true));
    CPPUNIT_ASSERT(!is_in_doubt(true, false));
    CPPUNIT_ASSERT(!is_in_doubt(false, true));
    CPPUNIT_ASSERT(may_have_restarted({true, true}, true));
    CPPUNIT_ASSERT(may_have_restarted({false, true}, true));
    CPPUNIT_ASSERT(!may_have_restarted({true, false}, true));
    CPPUNIT_ASSERT(!may_have_restarted({true, true}, false));
  }

  void link_failures_mark_the_backend() {
    struct Row {
      std::string what;
      LinkFailure failure;
      bool at_primary;
      LinkFailureOutcome outcome;
    };
    const std::vector<Row> rows{
        {"a replica does not answer", {false, false}, false, {true, false, true}},
        {"the primary does not answer", {false, false}, true, {true, true, true}},
        {"the primary rejects the connection", {true, false}, true, {true, false, false}},
        {"all links are in use", {false, true}, true, {false, false, false}},
        {"the connection limit is reached", {true, true}, true, {false, false, false}},
    };
    for (const Row& row : rows) {
      const LinkFailureOutcome outcome = after_link_failure(row.failure, row.at_primary);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.outcome.avoid_backend, outcome.avoid_backend);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.outcome.primary_unreachable, outcome.primary_unreachable);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.outcome.may_have_restarted, outcome.may_have_restarted);
    }
  }

  void primary_successes_record_positions() {
    struct Row {
      std::string what;
      bool commits;
      bool may_use_primary;
      bool has_position;
      PrimarySuccess success;
    };
    const std::vector<Row> rows{
        {"a commit", true, true, true, {true, true, false}},
        {"a read", false, true, true, {true, false, false}},
        {"a commit at a primary that may not be used", true, false, true, {false, false, true}},
        {"a read at a primary that may not be used", false, false, true, {false, false, false}},
        {"a commit without a position", true, true, false, {false, false, true}},
        {"a read without a position", false, true, false, {false, false, false}},
    };
    for (const Row& row : rows) {
      const PrimarySuccess success =
          after_primary_success(row.commits, row.may_use_primary, row.has_position);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.success.record_position, success.record_position);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.success.acknowledge, success.acknowledge);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.success.in_doubt, success.in_doubt);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptOutcomeTest);

}  // namespace cairnhollow::registered::placement

// Limits on the attempts and waits of one statement.
#include "registered/placement/statement_progress.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cairnhollow::registered::placement {
namespace {

using std::chrono::milliseconds;

TimePoint at(int ms) { return TimePoint{} + milliseconds(ms); }

/// Arrives at 1,000 ms; its deadline is 900 ms later and its target latency 600 ms, half of which its run
/// takes: no wait beyond the third of its total time is of use.
StatementProgress fresh() {
  StatementProgress progress;
  progress.arrived = at(1000);
  progress.deadline = at(1900);
  progress.target_latency = milliseconds(600);
  progress.run_time = milliseconds(300);
  return progress;
}

template <class Change>
StatementProgress with(Change change) {
  StatementProgress progress = fresh();
  change(progress);
  return progress;
}

StatementProgress tried(int attempts) {
  return with([attempts](auto& progress) { progress.attempts = attempts; });
}
StatementProgress already_sent() {
  return with([](auto& progress) { progress.was_sent = true; });
}
StatementProgress aims_at(int ms) {
  return with([ms](auto& progress) { progress.target_latency = milliseconds(ms); });
}

std::string text_of(TimePoint time) { return std::to_string(in_ms(time - TimePoint{})); }

}  // namespace

class StatementProgressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatementProgressTest);
  CPPUNIT_TEST(limits_attempts_and_waits);
  CPPUNIT_TEST(limits_waits_for_links_and_slots);
  CPPUNIT_TEST(waits_of_patient_callers_share_one_budget);
  CPPUNIT_TEST(pauses_grow_while_nothing_is_sent);
  CPPUNIT_TEST(abandons_unresponsive_backends);
  CPPUNIT_TEST(limits_reroutes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void limits_attempts_and_waits() {
    struct Row {
      std::string what;
      StatementProgress progress;
      int now;
      bool may_attempt;
      bool may_wait;
    };
    const std::vector<Row> rows{
        {"just arrived", fresh(), 1000, true, true},
        {"just before a third of its time", fresh(), 1299, true, true},
        {"after a third of its time", fresh(), 1300, true, false},
        {"just before its deadline", fresh(), 1899, true, false},
        {"at its deadline", fresh(), 1900, false, false},
        {"three backends tried", tried(3), 1000, true, true},
        {"four backends tried", tried(4), 1000, false, true},
    };
    for (const Row& row : rows) {
      const AttemptAllowance allowance = attempt_allowance_at(row.progress, at(row.now));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.may_attempt, allowance.may_attempt);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.may_wait, allowance.may_wait);
      CPPUNIT_ASSERT_MESSAGE(row.what, !allowance.was_sent);
    }
    CPPUNIT_ASSERT(attempt_allowance_at(already_sent(), at(1000)).was_sent);
    CPPUNIT_ASSERT_EQUAL(std::string("1300"), text_of(refusal_time(tried(4))));
  }

  void limits_waits_for_links_and_slots() {
    struct Row {
      std::string what;
      StatementProgress progress;
      int now;
      std::string link;
      std::string slot;
    };
    const std::vector<Row> rows{
        {"just arrived", fresh(), 1000, "1300", "1300"},
        {"target latency below the deadline", aims_at(200), 1000, "1300", "1100"},
        {"half the target latency passed: one retry pause", aims_at(200), 1150, "1300", "1158"},
        {"at most the wait for a primary", aims_at(200), 1296, "1300", "1300"},
        {"sent before: 100 ms for a link", already_sent(), 1400, "1500", "1408"},
        {"sent before, target latency not reached", already_sent(), 1100, "1200", "1200"},
        {"link wait ends at the deadline", already_sent(), 1850, "1900", "1858"},
        {"slot wait ends at the deadline", already_sent(), 1895, "1900", "1900"},
    };
    for (const Row& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.link, text_of(link_wait_end(row.progress, at(row.now))));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.slot, text_of(slot_wait_end(row.progress, at(row.now))));
    }
  }

  /// Target latency 600 ms of 900 ms, of which the run takes 100 ms.
  void waits_of_patient_callers_share_one_budget() {
    const StatementProgress patient = with([](auto& progress) { progress.run_time = milliseconds(100); });
    CPPUNIT_ASSERT_EQUAL(std::string("1500"), text_of(refusal_time(patient)));
    CPPUNIT_ASSERT(attempt_allowance_at(patient, at(1499)).may_wait);
    CPPUNIT_ASSERT(!attempt_allowance_at(patient, at(1500)).may_wait);
    for (const int now : {1000, 1400}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE("what remains after the wait for a lease", std::string("1500"),
                                   text_of(slot_wait_end(patient, at(now))));
      CPPUNIT_ASSERT_EQUAL(std::string("1500"), text_of(link_wait_end(patient, at(now))));
    }
    StatementProgress last = patient;
    last.attempts = kMaxAttempts;
    CPPUNIT_ASSERT_MESSAGE("none was sent it", attempt_allowance_at(last, at(1499)).may_attempt);
    CPPUNIT_ASSERT(!attempt_allowance_at(last, at(1500)).may_attempt);
    last.was_sent = true;
    CPPUNIT_ASSERT_MESSAGE("a backend was sent it", !attempt_allowance_at(last, at(1100)).may_attempt);
    StatementProgress waited = patient;
    waited.waited_before = milliseconds(150);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("150 ms went to its session", std::string("1350"),
                                 text_of(refusal_time(waited)));
    StatementProgress sent = patient;
    sent.was_sent = true;
    CPPUNIT_ASSERT_EQUAL_MESSAGE("sent before: not held for a full slot", std::string("1500"),
                                 text_of(slot_wait_end(sent, at(1400))));
  }

  void pauses_grow_while_nothing_is_sent() {
    const auto patient = [](int attempts) {
      return with([attempts](auto& progress) {
        progress.run_time = milliseconds(100);
        progress.attempts = attempts;
      });
    };
    const auto ms = [](Duration pause) { return in_ms(pause); };
    CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, ms(retry_pause(patient(1))));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, ms(retry_pause(patient(4))));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{32}, ms(retry_pause(patient(6))));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{100}, ms(retry_pause(patient(40))));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no longer wait", std::int64_t{8}, ms(retry_pause(tried(6))));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{50}, ms(wait_pause(patient(0), RejectionReason::kGroupClosed)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{50}, ms(wait_pause(patient(0), RejectionReason::kNoLease)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, ms(wait_pause(patient(0), RejectionReason::kTried)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, ms(wait_pause(fresh(), RejectionReason::kNoLease)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, ms(forwarding_pause(0)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{100}, ms(forwarding_pause(4)));
  }

  void abandons_unresponsive_backends() {
    CPPUNIT_ASSERT(may_abandon_backend(false, tried(1)));
    CPPUNIT_ASSERT(may_abandon_backend(false, tried(2)));
    CPPUNIT_ASSERT_MESSAGE("the next attempt would be the last", !may_abandon_backend(false, tried(3)));
    CPPUNIT_ASSERT_MESSAGE("only the primary may run it", !may_abandon_backend(true, tried(1)));
    const auto wait_end = [](const StatementProgress& progress, int sent_at) {
      return text_of(answer_wait_end(progress, at(sent_at)));
    };
    CPPUNIT_ASSERT_EQUAL_MESSAGE("half the target latency", std::string("1310"), wait_end(fresh(), 1010));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("at least 100 ms", std::string("1110"), wait_end(aims_at(60), 1010));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("at most the deadline", std::string("1900"), wait_end(fresh(), 1700));
  }

  void limits_reroutes() {
    const auto rerouted = [](int times) {
      return with([times](auto& progress) { progress.reroute_count = times; });
    };
    CPPUNIT_ASSERT(may_reroute(fresh()));
    CPPUNIT_ASSERT(may_reroute(rerouted(1)));
    CPPUNIT_ASSERT(!may_reroute(rerouted(2)));
    CPPUNIT_ASSERT_MESSAGE("a backend may have received it", !may_reroute(already_sent()));
    CPPUNIT_ASSERT(!may_reroute(tried(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementProgressTest);

}  // namespace cairnhollow::registered::placement

// The checker of sessions rejects each kind of history that must never be.
#include "standins/registered/session_history.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::standins::registered {

namespace {

using cairnhollow::registered::registry::ReadPolicy;
using std::chrono::milliseconds;

TimePoint at(int ms) { return TimePoint(milliseconds(ms)); }

Attempt write(const std::string& token, int begun, int ended, AttemptOutcome outcome) {
  Attempt attempt;
  attempt.session = "s1";
  attempt.record = "r0";
  attempt.token = token;
  attempt.begun = at(begun);
  attempt.ended = at(ended);
  attempt.outcome = outcome;
  return attempt;
}

Attempt read(const std::string& session, ReadPolicy policy, std::vector<std::string> tokens, int begun) {
  Attempt attempt;
  attempt.session = session;
  attempt.tag = session;
  attempt.policy = policy;
  attempt.staleness = milliseconds(1500);
  attempt.record = "r0";
  attempt.tokens = std::move(tokens);
  attempt.has_read = true;
  attempt.begun = at(begun);
  attempt.ended = at(begun + 5);
  return attempt;
}

void expect(const std::string& kind, const std::vector<Attempt>& history,
            const std::vector<std::string>& final_tokens) {
  const auto violations = find_violations(history, final_tokens);
  if (kind.empty()) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? "" : violations.front(), std::size_t{0},
                                 violations.size());
  } else {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations.size());
    CPPUNIT_ASSERT_MESSAGE(violations.front(), violations.front().starts_with(kind));
  }
}

}  // namespace

class SessionHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionHistoryTest);
  CPPUNIT_TEST(a_sound_history);
  CPPUNIT_TEST(lost_doubled_and_kept);
  CPPUNIT_TEST(stale_reads);
  CPPUNIT_TEST(foreign_values);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_sound_history() {
    expect(
        "",
        {write("a", 0, 10, AttemptOutcome::kAcknowledged), write("b", 20, 30, AttemptOutcome::kUnknown),
         write("c", 40, 50, AttemptOutcome::kPromisedNotKept), read("s2", ReadPolicy::kPrimary, {"a"}, 60)},
        {"r0 a", "r0 b"});
  }

  void lost_doubled_and_kept() {
    expect("lost", {write("a", 0, 10, AttemptOutcome::kAcknowledged)}, {});
    expect("doubled", {write("a", 0, 10, AttemptOutcome::kAcknowledged)}, {"r0 a", "r0 a"});
    expect("kept", {write("a", 0, 10, AttemptOutcome::kPromisedNotKept)}, {"r0 a"});
  }

  void stale_reads() {
    const Attempt acknowledged = write("a", 0, 10, AttemptOutcome::kAcknowledged);
    expect("stale", {acknowledged, read("s2", ReadPolicy::kPrimary, {}, 11)}, {"r0 a"});
    expect("", {acknowledged, read("s2", ReadPolicy::kPrimary, {}, 9)}, {"r0 a"});
    expect("", {acknowledged, read("s2", ReadPolicy::kBoundedStaleness, {}, 1500)}, {"r0 a"});
    expect("stale", {acknowledged, read("s2", ReadPolicy::kBoundedStaleness, {}, 1511)}, {"r0 a"});
    expect("stale", {acknowledged, read("s1", ReadPolicy::kReadYourWrites, {}, 11)}, {"r0 a"});
    expect("", {acknowledged, read("s2", ReadPolicy::kReadYourWrites, {}, 11)}, {"r0 a"});
  }

  void foreign_values() {
    Attempt foreign = read("s1", ReadPolicy::kPrimary, {}, 5);
    foreign.tag = "s9";
    expect("foreign", {foreign}, {});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionHistoryTest);

}  // namespace cairnhollow::standins::registered

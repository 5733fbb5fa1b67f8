// Each check rejects a history that violates it and accepts a similar valid one.
#include "tests/consensus/run_checks.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/consensus/recording_state_machine.h"

namespace cairnhollow::consensus {
namespace {

LogEntry make_entry(std::uint64_t index, std::uint64_t term, const std::string& payload) {
  return LogEntry{index, term, EntryKind::kCommand, payload};
}

class RunChecksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunChecksTest);
  CPPUNIT_TEST(rejects_two_leaders_in_one_term);
  CPPUNIT_TEST(rejects_leader_without_a_committed_entry);
  CPPUNIT_TEST(rejects_different_entries_at_one_index_and_term);
  CPPUNIT_TEST(rejects_one_entry_with_two_predecessors);
  CPPUNIT_TEST(rejects_barrier_before_an_acknowledged_entry);
  CPPUNIT_TEST(rejects_lost_acknowledged_command);
  CPPUNIT_TEST(rejects_applied_refused_command);
  CPPUNIT_TEST(rejects_two_commands_applied_at_one_index);
  CPPUNIT_TEST_SUITE_END();

 public:
  void rejects_two_leaders_in_one_term() {
    checks_.record_leader(1, "a", 0);
    checks_.record_leader(2, "b", 0);
    expect(0);
    checks_.record_leader(2, "a", 0);
    expect(1);
  }

  void rejects_leader_without_a_committed_entry() {
    checks_.record_committed(2, 5);
    checks_.record_leader(1, "a", 3);  // leader of an old term
    checks_.record_leader(3, "b", 5);
    expect(0);
    checks_.record_leader(4, "c", 4);
    expect(1);
    checks_.record_committed(3, 9);
    checks_.record_committed(5, 20);
    checks_.record_leader(6, "d", 20);
    expect(1);
    checks_.record_leader(7, "e", 19);
    expect(2);
  }

  void rejects_different_entries_at_one_index_and_term() {
    checks_.record_log(0, {make_entry(1, 1, "x"), make_entry(2, 1, "y")});
    checks_.record_log(1, {make_entry(2, 1, "y")});
    checks_.record_log(1, {make_entry(2, 2, "z")});
    expect(0);
    checks_.record_log(1, {make_entry(2, 1, "z")});
    expect(1);
  }

  void rejects_one_entry_with_two_predecessors() {
    checks_.record_log(0, {make_entry(1, 1, "x"), make_entry(2, 3, "y")});
    expect(0);
    checks_.record_log(0, {make_entry(1, 2, "w"), make_entry(2, 3, "y")});
    expect(1);
  }

  void rejects_barrier_before_an_acknowledged_entry() {
    checks_.record_acknowledged(7, "x");
    checks_.record_barrier(checks_.barrier_minimum(), 7, "a");
    expect(0);
    checks_.record_barrier(checks_.barrier_minimum(), 6, "a");
    expect(1);
  }

  void rejects_lost_acknowledged_command() {
    checks_.record_acknowledged(7, "x");
    checks_.check_outcomes({{7, "x"}});
    expect(0);
    checks_.check_outcomes({{7, "y"}});
    expect(1);
    checks_.check_outcomes({});
    expect(2);
  }

  void rejects_applied_refused_command() {
    checks_.record_refused("x");
    checks_.check_outcomes({{1, "y"}});
    expect(0);
    checks_.check_outcomes({{1, "x"}});
    expect(1);
  }

  void rejects_two_commands_applied_at_one_index() {
    AppliedRecord record;
    record.record(1, "x");
    record.record(1, "x");
    CPPUNIT_ASSERT(record.violations().empty());
    record.record_restored({{1, "y"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, record.violations().size());
  }

 private:
  void expect(std::size_t violations) { CPPUNIT_ASSERT_EQUAL(violations, checks_.violations().size()); }
  RunChecks checks_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunChecksTest);

}  // namespace
}  // namespace cairnhollow::consensus

// The request ledger: a request runs at most once, whatever is resent, resolved or replaced meanwhile.
#include <cppunit/extensions/HelperMacros.h>

#include "standins/database/request_ledger.h"
#include "tests/standins/database/database_group.h"

namespace cairnhollow::standins::database {
namespace {

using declared::backend::AlreadyDecided;
using declared::backend::Failed;
using declared::backend::Written;
using std::chrono::milliseconds;
using std::chrono::seconds;

RequestId request(std::uint64_t number) { return {SessionName("s"), number}; }

class DatabaseLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatabaseLedgerTest);
  CPPUNIT_TEST(test_resolved_as_aborted_never_runs);
  CPPUNIT_TEST(test_resolve_waits_for_the_copy_in_flight);
  CPPUNIT_TEST(test_copies_sent_side_by_side_run_once);
  CPPUNIT_TEST(test_forgotten_request_does_not_run_and_is_not_called_aborted);
  CPPUNIT_TEST(test_answered_requests_are_forgotten);
  CPPUNIT_TEST(test_ledger_keeps_no_more_than_its_bound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_resolved_as_aborted_never_runs() {
    DatabaseGroup group(21);
    promote(group);
    const auto outcome = group.resolve("a", 1, request(1));
    CPPUNIT_ASSERT_MESSAGE(group.reason().to_string(), outcome.has_value());
    CPPUNIT_ASSERT(!outcome->committed);
    expect_aborted(group, "a", 1);
    // The abort is durable: a failover and a restart of everything keep it.
    group.world().kill("a");
    const auto promoted = group.fail_over(2, "o2", {"b", "c"});
    expect_aborted(group, promoted, 2);
    group.world().restart("a");
    for (const auto* name : {"b", "c"}) {
      group.world().kill(name);
      group.world().restart(name);
    }
    group.world().run_for(milliseconds(100));
    const auto last = group.fail_over(3, "o3", {"a", "b", "c"});
    expect_aborted(group, last, 3);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":[]})"), group.content(last));
  }

  void test_resolve_waits_for_the_copy_in_flight() {
    DatabaseGroup group(22);
    promote(group);
    CPPUNIT_ASSERT(group.set_faults("b", R"({"disk_delay_ms":100})"));
    CPPUNIT_ASSERT(group.set_faults("c", R"({"disk_delay_ms":100})"));
    Reason reason;
    const auto answer = group.start(group.statements("a").execute(DatabaseGroup::append_statement("one"),
                                                                  group.requirements(1, request(1)), reason));
    group.world().run_for(milliseconds(20));
    CPPUNIT_ASSERT(!answer->has_value());
    const auto outcome = group.resolve("a", 1, request(1));
    CPPUNIT_ASSERT(outcome.has_value() && outcome->committed);
    group.world().run_for(milliseconds(500));
    CPPUNIT_ASSERT(std::holds_alternative<Written>(**answer));
    CPPUNIT_ASSERT(outcome->position == std::get<Written>(**answer).position);
  }

  void test_copies_sent_side_by_side_run_once() {
    DatabaseGroup group(23);
    promote(group);
    std::vector<std::shared_ptr<declared::backend::BackendConnection>> connections;
    connections.reserve(4);
    for (int copy = 0; copy < 4; ++copy) connections.push_back(group.connect("a"));
    std::vector<std::shared_ptr<std::optional<declared::backend::ExecuteAnswer>>> answers;
    std::vector<Reason> reasons(connections.size());
    for (std::size_t copy = 0; copy < connections.size(); ++copy) {
      answers.push_back(group.start(connections[copy]->execute(
          DatabaseGroup::append_statement("one"), group.requirements(1, request(1)), reasons[copy])));
    }
    group.world().run_for(seconds(3));
    std::size_t written = 0;
    for (const auto& answer : answers) {
      CPPUNIT_ASSERT(answer->has_value());
      written += std::holds_alternative<Written>(**answer) ? 1 : 0;
      const auto* decided = std::get_if<AlreadyDecided>(&**answer);
      if (decided != nullptr) CPPUNIT_ASSERT(decided->committed);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, written);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":["one"]})"), group.content("a"));
  }

  void test_forgotten_request_does_not_run_and_is_not_called_aborted() {
    DatabaseGroup group(24, [](DatabaseSettings& settings) { settings.ledger_entries_per_session = 4; });
    promote(group);
    for (std::uint64_t number = 1; number <= 6; ++number) {
      CPPUNIT_ASSERT(std::holds_alternative<Written>(group.append("a", 1, "x", request(number))));
    }
    const auto before = group.content("a");
    const auto answer = group.append("a", 1, "again", request(2));
    CPPUNIT_ASSERT(std::holds_alternative<Failed>(answer));
    CPPUNIT_ASSERT(std::get<Failed>(answer).sent == runtime::SendState::kMaybeSent);
    CPPUNIT_ASSERT(group.reason().code == ReasonCode::kOutcomeUnknown);
    CPPUNIT_ASSERT(!group.resolve("a", 1, request(2)).has_value());
    CPPUNIT_ASSERT(group.reason().code == ReasonCode::kOutcomeUnknown);
    CPPUNIT_ASSERT(group.resolve("a", 1, request(3))->committed);
    CPPUNIT_ASSERT_EQUAL(before, group.content("a"));
  }

  void test_answered_requests_are_forgotten() {
    DatabaseGroup group(25);
    promote(group);
    for (std::uint64_t number = 1; number <= 3; ++number) group.append("a", 1, "x", request(number));
    CPPUNIT_ASSERT(group.resolve("a", 1, request(2))->committed);
    CPPUNIT_ASSERT(std::holds_alternative<Written>(group.append("a", 1, "x", request(4), 2)));
    CPPUNIT_ASSERT(!group.resolve("a", 1, request(2)).has_value());
    CPPUNIT_ASSERT(group.resolve("a", 1, request(3))->committed);
  }

  void test_ledger_keeps_no_more_than_its_bound() {
    constexpr std::uint64_t kBound = 8;
    RequestLedger ledger(kBound);
    for (std::uint64_t number = 1; number <= 100; ++number) {
      ledger.record(request(number), RequestOutcome{true, "body", Position{1, number}}, 0);
      std::uint64_t kept = 0;
      for (std::uint64_t earlier = 1; earlier <= number; ++earlier) {
        const bool found = ledger.find(request(earlier)).has_value();
        CPPUNIT_ASSERT(found != ledger.expired(request(earlier)));
        kept += found ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(std::min(number, kBound), kept);
    }
  }

 private:
  static void promote(DatabaseGroup& group) {
    CPPUNIT_ASSERT_EQUAL(std::string("a"), group.fail_over(1, "o1", {"a", "b", "c"}));
  }
  static void expect_aborted(DatabaseGroup& group, const std::string& primary, std::uint64_t term) {
    const auto answer = group.append(primary, term, "late copy", request(1));
    CPPUNIT_ASSERT_MESSAGE(group.reason().to_string(), std::holds_alternative<AlreadyDecided>(answer));
    CPPUNIT_ASSERT(!std::get<AlreadyDecided>(answer).committed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseLedgerTest);

}  // namespace
}  // namespace cairnhollow::standins::database

// A database group's way through a failover, as an orchestrator and a proxy see it.
#include <cppunit/extensions/HelperMacros.h>

#include "tests/standins/database/database_group.h"

namespace cairnhollow::standins::database {
namespace {

using declared::backend::Failed;
using declared::backend::NotPrimary;
using declared::backend::Rows;
using declared::backend::Written;
using std::chrono::milliseconds;
using std::chrono::seconds;

class DatabaseFailoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatabaseFailoverTest);
  CPPUNIT_TEST(test_write_read_fail_over_and_resolve);
  CPPUNIT_TEST(test_replaced_primary_acknowledges_nothing);
  CPPUNIT_TEST(test_write_in_flight_when_fenced_is_not_acknowledged);
  CPPUNIT_TEST(test_old_primary_rejoins_without_its_uncommitted_tail);
  CPPUNIT_TEST(test_replica_follows_at_once_while_its_old_primary_is_silent);
  CPPUNIT_TEST(test_replica_follows_at_once_while_it_connects_to_a_lost_machine);
  CPPUNIT_TEST(test_confirmed_read_is_not_served_by_an_isolated_primary);
  CPPUNIT_TEST(test_one_owner_a_term);
  CPPUNIT_TEST(test_fence_survives_a_restart);
  CPPUNIT_TEST(test_replica_refuses_what_it_has_not_applied);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_write_read_fail_over_and_resolve() {
    DatabaseGroup group(11);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), group.fail_over(1, "control-1", {"a", "b", "c"}));
    const RequestId first{SessionName("s"), 1};
    const auto written = group.append("a", 1, "one", first);
    CPPUNIT_ASSERT_MESSAGE(group.reason().to_string(), std::holds_alternative<Written>(written));
    const auto position = std::get<Written>(written).position;

    const auto rows = group.read("b", position, milliseconds(100));
    CPPUNIT_ASSERT_MESSAGE(group.reason().to_string(), std::holds_alternative<Rows>(rows));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":["one"]})"), std::get<Rows>(rows).body);
    CPPUNIT_ASSERT(std::get<Rows>(rows).position >= position);

    group.world().kill("a");
    const auto promoted = group.fail_over(2, "control-2", {"b", "c"});
    CPPUNIT_ASSERT_MESSAGE(group.reason().to_string(), !promoted.empty());
    const auto outcome = group.resolve(promoted, 2, first);
    CPPUNIT_ASSERT_MESSAGE(group.reason().to_string(), outcome.has_value());
    CPPUNIT_ASSERT(outcome->committed);
    CPPUNIT_ASSERT(outcome->position == position);

    const auto repeated = group.append(promoted, 2, "one", first);
    CPPUNIT_ASSERT(std::holds_alternative<declared::backend::AlreadyDecided>(repeated));
    const auto second = group.append(promoted, 2, "two", RequestId{SessionName("s"), 2});
    CPPUNIT_ASSERT_MESSAGE(group.reason().to_string(), std::holds_alternative<Written>(second));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":["one","two"]})"), group.content(promoted));
    CPPUNIT_ASSERT(group.world().faults().empty());
  }

  void test_replaced_primary_acknowledges_nothing() {
    DatabaseGroup group(12);
    start(group);
    // The old primary is not told: a majority alone must be enough.
    CPPUNIT_ASSERT(!group.fail_over(2, "o2", {"b", "c"}).empty());
    for (int attempt = 0; attempt < 5; ++attempt) {
      const auto answer = group.append("a", 1, "lost");
      CPPUNIT_ASSERT(std::holds_alternative<NotPrimary>(answer) || std::holds_alternative<Failed>(answer));
    }
    CPPUNIT_ASSERT(group.fence("a", 2, "o2")->granted);
    CPPUNIT_ASSERT(std::holds_alternative<NotPrimary>(group.append("a", 1, "lost")));
  }

  void test_write_in_flight_when_fenced_is_not_acknowledged() {
    DatabaseGroup group(13);
    start(group);
    CPPUNIT_ASSERT(group.set_faults("b", R"({"disk_delay_ms":200})"));
    CPPUNIT_ASSERT(group.set_faults("c", R"({"disk_delay_ms":200})"));
    const RequestId request{SessionName("s"), 2};
    Reason reason;
    const auto answer = group.start(group.statements("a").execute(DatabaseGroup::append_statement("late"),
                                                                  group.requirements(1, request), reason));
    group.world().run_for(milliseconds(40));
    CPPUNIT_ASSERT(!answer->has_value());
    CPPUNIT_ASSERT(group.fence("a", 2, "o2")->granted);
    group.world().run_for(seconds(1));
    CPPUNIT_ASSERT(answer->has_value());
    CPPUNIT_ASSERT(std::holds_alternative<Failed>(**answer));
    CPPUNIT_ASSERT(std::get<Failed>(**answer).sent == runtime::SendState::kMaybeSent);

    const auto promoted = group.fail_over(2, "o2", {"a", "b", "c"});
    CPPUNIT_ASSERT(!promoted.empty());
    const auto outcome = group.resolve(promoted, 2, request);
    CPPUNIT_ASSERT_MESSAGE(group.reason().to_string(), outcome.has_value());
    const auto* expected = outcome->committed ? R"({"entries":["one","late"]})" : R"({"entries":["one"]})";
    CPPUNIT_ASSERT_EQUAL(std::string(expected), group.content(promoted));
  }

  void test_old_primary_rejoins_without_its_uncommitted_tail() {
    DatabaseGroup group(14);
    start(group);
    group.isolate("a");
    const auto lost = group.append("a", 1, "lost", RequestId{SessionName("s"), 2});
    CPPUNIT_ASSERT(std::holds_alternative<Failed>(lost));
    const auto alone = group.status("a");
    CPPUNIT_ASSERT_EQUAL(alone->committed.index + 1, alone->last.index);
    const auto promoted = group.fail_over(2, "o2", {"b", "c"});
    CPPUNIT_ASSERT(!promoted.empty());
    CPPUNIT_ASSERT(
        std::holds_alternative<Written>(group.append(promoted, 2, "two", RequestId{SessionName("s"), 3})));

    group.world().heal();
    CPPUNIT_ASSERT(group.follow("a", 2, promoted));
    group.world().run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":["one","two"]})"), group.content("a"));
    CPPUNIT_ASSERT(group.status("a")->last == group.status(promoted)->last);
    // The lost write was never acknowledged; it is decided now, for good.
    CPPUNIT_ASSERT(!group.resolve(promoted, 2, RequestId{SessionName("s"), 2})->committed);
  }

  void test_replica_follows_at_once_while_its_old_primary_is_silent() {
    DatabaseGroup group(21);
    start(group);
    // Each replica has a pull under way that its primary will never answer.
    group.isolate("a");
    group.world().run_for(milliseconds(20));
    const auto promoted = group.fail_over(2, "o2", {"b", "c"});
    CPPUNIT_ASSERT(!promoted.empty());
    const std::string replica = promoted == "b" ? "c" : "b";
    // Far less than the time after which a pull is given up.
    group.world().run_for(milliseconds(60));
    CPPUNIT_ASSERT(group.status(replica)->primary_heard);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, group.status(promoted)->committed.term);
  }

  void test_replica_follows_at_once_while_it_connects_to_a_lost_machine() {
    // The pull that the loss cut short is given up after 600 ms; connecting anew takes 300 ms a time.
    for (int lost_for = 610; lost_for < 950; lost_for += 40) {
      DatabaseGroup group(22);
      start(group);
      group.world().vanish("a");
      group.world().run_for(milliseconds(lost_for));
      const auto promoted = group.fail_over(2, "o2", {"b", "c"});
      CPPUNIT_ASSERT(!promoted.empty());
      group.world().run_for(milliseconds(60));
      CPPUNIT_ASSERT(group.status(promoted == "b" ? "c" : "b")->primary_heard);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, group.status(promoted)->committed.term);
    }
  }

  void test_confirmed_read_is_not_served_by_an_isolated_primary() {
    DatabaseGroup group(15);
    start(group);
    CPPUNIT_ASSERT(std::holds_alternative<Rows>(confirmed_read(group)));
    group.isolate("a");
    CPPUNIT_ASSERT(std::holds_alternative<NotPrimary>(confirmed_read(group)));
    group.world().heal();
    group.world().run_for(seconds(5));
    CPPUNIT_ASSERT(std::holds_alternative<Rows>(confirmed_read(group)));
  }

  void test_one_owner_a_term() {
    DatabaseGroup group(16);
    CPPUNIT_ASSERT(group.fence("a", 5, "first")->granted);
    CPPUNIT_ASSERT(!group.fence("a", 5, "second")->granted);
    CPPUNIT_ASSERT(group.fence("a", 5, "first")->granted);
    CPPUNIT_ASSERT(!group.fence("a", 4, "first")->granted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, group.fence("a", 4, "first")->term);
    CPPUNIT_ASSERT(!group.promote("a", 5, "second"));
    CPPUNIT_ASSERT(group.promote("a", 5, "first"));
    CPPUNIT_ASSERT(group.promote("a", 5, "first"));
    CPPUNIT_ASSERT(!group.follow("a", 5, "b"));
  }

  void test_fence_survives_a_restart() {
    DatabaseGroup group(17);
    start(group);
    CPPUNIT_ASSERT(group.fence("b", 7, "owner")->granted);
    group.world().kill("b");
    group.world().restart("b");
    group.world().run_for(milliseconds(100));
    CPPUNIT_ASSERT(!group.fence("b", 7, "other")->granted);
    CPPUNIT_ASSERT(!group.follow("b", 1, "a"));
  }

  void test_replica_refuses_what_it_has_not_applied() {
    DatabaseGroup group(18);
    start(group);
    CPPUNIT_ASSERT(group.set_faults("b", R"({"replication_lag_ms":500})"));
    const auto written = group.append("a", 1, "two", RequestId{SessionName("s"), 2});
    const auto position = std::get<Written>(written).position;
    const auto stale = group.read("b", position, milliseconds(20));
    CPPUNIT_ASSERT(std::holds_alternative<declared::backend::TooStale>(stale));
    CPPUNIT_ASSERT(std::get<declared::backend::TooStale>(stale).applied < position);
    const auto rows = group.read("b", position, seconds(1));
    CPPUNIT_ASSERT(std::holds_alternative<Rows>(rows));
    CPPUNIT_ASSERT(std::get<Rows>(rows).position >= position);
  }

 private:
  /// Promotes "a" at term 1 and writes "one".
  static void start(DatabaseGroup& group) {
    CPPUNIT_ASSERT_EQUAL(std::string("a"), group.fail_over(1, "o1", {"a", "b", "c"}));
    const auto written = group.append("a", 1, "one", RequestId{SessionName("s"), 1});
    CPPUNIT_ASSERT_MESSAGE(group.reason().to_string(), std::holds_alternative<Written>(written));
  }
  static declared::backend::ExecuteAnswer confirmed_read(DatabaseGroup& group) {
    auto wanted = group.requirements(1);
    wanted.confirmed_read = true;
    Reason reason;
    return group.run(
        group.statements("a").execute(DatabaseGroup::read_statement(), std::move(wanted), reason));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseFailoverTest);

}  // namespace
}  // namespace cairnhollow::standins::database

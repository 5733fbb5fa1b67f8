// A member that restarts on its files: torn, damaged, or with more on them than the group committed.
#include <cppunit/extensions/HelperMacros.h>

#include "tests/standins/database/database_group.h"

namespace cairnhollow::standins::database {
namespace {

using declared::backend::Written;
using std::chrono::milliseconds;
using std::chrono::seconds;

class DatabaseRecoveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatabaseRecoveryTest);
  CPPUNIT_TEST(test_killed_member_keeps_what_was_acknowledged);
  CPPUNIT_TEST(test_torn_tail_is_cut);
  CPPUNIT_TEST(test_damaged_middle_is_refused_with_file_and_offset);
  CPPUNIT_TEST(test_compacted_log_restarts_from_its_snapshot);
  CPPUNIT_TEST(test_restarted_primary_is_none_any_more);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_killed_member_keeps_what_was_acknowledged() {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      DatabaseGroup group(seed);
      CPPUNIT_ASSERT_EQUAL(std::string("a"), group.fail_over(1, "o1", {"a", "b", "c"}));
      write(group, "a", 1, {"1", "2", "3"});
      group.start(group.statements("a").execute(DatabaseGroup::append_statement("4"), group.requirements(1),
                                                ignored_));
      group.world().run_for(milliseconds(seed));
      for (const auto* name : {"a", "b", "c"}) group.world().kill(name);
      for (const auto* name : {"a", "b", "c"}) group.world().restart(name);
      group.world().run_for(milliseconds(100));
      const auto promoted = group.fail_over(2, "o2", {"a", "b", "c"});
      CPPUNIT_ASSERT_MESSAGE(group.reason().to_string(), !promoted.empty());
      write(group, promoted, 2, {"5"});
      const auto content = group.content(promoted);
      const bool without = content == R"({"entries":["1","2","3","5"]})";
      const bool with = content == R"({"entries":["1","2","3","4","5"]})";
      CPPUNIT_ASSERT_MESSAGE(content, without || with);
    }
  }

  void test_torn_tail_is_cut() {
    DatabaseGroup group(3);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), group.fail_over(1, "o1", {"a", "b", "c"}));
    write(group, "a", 1, {"1", "2"});
    group.world().run_for(milliseconds(500));
    group.world().kill("b");
    auto& log = log_of(group, "b");
    log.content += log.content.substr(0, 20);
    log.durable = log.content;
    const auto torn_size = log.content.size();
    group.world().restart("b");
    group.world().run_for(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(torn_size - 20, log_of(group, "b").content.size());
    write(group, "a", 1, {"3"});
    group.world().run_for(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":["1","2","3"]})"), group.content("b"));
    CPPUNIT_ASSERT(group.world().faults().empty());
  }

  void test_damaged_middle_is_refused_with_file_and_offset() {
    DatabaseGroup group(4);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), group.fail_over(1, "o1", {"a", "b", "c"}));
    write(group, "a", 1, {"1", "2", "3"});
    group.world().run_for(milliseconds(500));
    group.world().kill("b");
    auto& log = log_of(group, "b");
    log.content[20] = static_cast<char>(~log.content[20]);
    log.durable = log.content;
    group.world().restart("b");
    group.world().run_for(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group.world().faults().size());
    const auto& fault = group.world().faults().front();
    CPPUNIT_ASSERT_MESSAGE(fault, fault.find("b did not start") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(fault, fault.find("log is damaged at offset 0") != std::string::npos);
    CPPUNIT_ASSERT(group.connect("b") == nullptr);
  }

  void test_compacted_log_restarts_from_its_snapshot() {
    DatabaseGroup group(5, [](DatabaseSettings& settings) { settings.snapshot_after_entries = 10; });
    CPPUNIT_ASSERT_EQUAL(std::string("a"), group.fail_over(1, "o1", {"a", "b", "c"}));
    for (int value = 0; value < 25; ++value) write(group, "a", 1, {std::to_string(value)});
    group.world().run_for(seconds(1));
    const auto before = group.content("c");
    CPPUNIT_ASSERT(group.world().disk("c").files.contains("snapshot"));
    group.world().kill("c");
    group.world().restart("c");
    group.world().run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(before, group.content("c"));
    const auto repeated = group.append("a", 1, "24", RequestId{SessionName("s"), 25});
    CPPUNIT_ASSERT(std::holds_alternative<declared::backend::AlreadyDecided>(repeated));
  }

  void test_restarted_primary_is_none_any_more() {
    DatabaseGroup group(6);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), group.fail_over(1, "o1", {"a", "b", "c"}));
    write(group, "a", 1, {"1"});
    group.world().kill("a");
    group.world().restart("a");
    group.world().run_for(milliseconds(100));
    const auto answer = group.append("a", 1, "2");
    CPPUNIT_ASSERT(std::holds_alternative<declared::backend::NotPrimary>(answer));
    CPPUNIT_ASSERT(!group.promote("a", 1, "o1"));
    CPPUNIT_ASSERT(group.reason().code == ReasonCode::kConflict);
    CPPUNIT_ASSERT(!group.fail_over(2, "o2", {"a", "b", "c"}).empty());
  }

 private:
  /// Each as its own request of the session "s".
  void write(DatabaseGroup& group, const std::string& primary, std::uint64_t term,
             const std::vector<std::string>& values) {
    for (const auto& value : values) {
      const RequestId request{SessionName("s"), ++numbers_[&group]};
      const auto answer = group.append(primary, term, value, request);
      CPPUNIT_ASSERT_MESSAGE(group.reason().to_string(), std::holds_alternative<Written>(answer));
    }
  }
  static simulation::DiskFile& log_of(DatabaseGroup& group, const std::string& member) {
    return *group.world().disk(member).files.at("log");
  }

  std::map<DatabaseGroup*, std::uint64_t> numbers_;
  Reason ignored_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseRecoveryTest);

}  // namespace
}  // namespace cairnhollow::standins::database

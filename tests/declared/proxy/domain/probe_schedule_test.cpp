// Tests how many probes a proxy may make and which have priority.
#include "declared/proxy/domain/probe_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kInterval = milliseconds(250);
constexpr TimePoint kNow{seconds(1000)};

/// Groups of three members; the test sets when positions were learned.
class ProbedGroups {
 public:
  explicit ProbedGroups(std::size_t count) : groups_(count) {
    for (std::size_t index = 0; index < count; ++index) {
      groups_[index].name = GroupName("group-" + std::to_string(index));
      for (std::uint32_t member = 0; member < 3; ++member) {
        routing::BackendView backend;
        backend.ordinal = static_cast<std::uint32_t>(3 * index + member);
        groups_[index].members.push_back(std::move(backend));
      }
    }
  }

  std::vector<ProbeCandidate> candidates() const {
    std::vector<ProbeCandidate> all;
    for (const auto& group : groups_) {
      for (const auto& member : group.members) {
        const auto known = known_at.find(member.ordinal);
        const auto read = since_read.find(group.name);
        all.push_back({&group, &member, known == known_at.end() ? std::nullopt : std::optional(known->second),
                       read == since_read.end() ? Duration(0) : read->second});
      }
    }
    return all;
  }

  std::map<std::uint32_t, TimePoint> known_at;
  std::map<GroupName, Duration> since_read;

 private:
  std::vector<routing::GroupView> groups_;
};

class ProbeScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProbeScheduleTest);
  CPPUNIT_TEST(test_few_groups_are_all_probed_each_round);
  CPPUNIT_TEST(test_domains_share_the_budget);
  CPPUNIT_TEST(test_many_groups_take_turns_within_the_budget);
  CPPUNIT_TEST(test_positions_learned_from_statements_need_no_probe);
  CPPUNIT_TEST(test_unknown_positions_go_first_then_recently_read_groups);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_few_groups_are_all_probed_each_round() {
    const std::size_t allowed = probes_per_round(kInterval, 1);
    ProbedGroups groups(allowed / 3);
    for (const auto& candidate : groups.candidates()) groups.known_at[candidate.member->ordinal] = kNow;
    CPPUNIT_ASSERT_EQUAL(allowed / 3 * 3,
                         select_probes(groups.candidates(), allowed, kInterval, kNow).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, probes_per_round(Duration(1), 1));
  }

  void test_domains_share_the_budget() {
    constexpr std::size_t kDomains = 8;
    const std::size_t alone = probes_per_round(kInterval, 1);
    CPPUNIT_ASSERT_EQUAL(alone, probes_per_round(kInterval, 0));
    CPPUNIT_ASSERT(kDomains * probes_per_round(kInterval, kDomains) <= alone);
    CPPUNIT_ASSERT(kDomains * (probes_per_round(kInterval, kDomains) + 1) > alone);
  }

  void test_many_groups_take_turns_within_the_budget() {
    for (const std::size_t count : {44, 100}) {
      ProbedGroups groups(count);
      const std::size_t allowed = probes_per_round(kInterval, 1);
      // No member waits longer than one full cycle.
      const auto turns = static_cast<std::int64_t>((3 * count + allowed - 1) / allowed);
      constexpr int kRounds = 120;
      for (int round = 0; round < kRounds; ++round) {
        const TimePoint now = kNow + round * kInterval;
        for (const auto& candidate : groups.candidates()) {
          const TimePoint known = candidate.known_at.value_or(kNow - kInterval);
          CPPUNIT_ASSERT(now - known <= turns * kInterval);
        }
        const auto picked = select_probes(groups.candidates(), allowed, kInterval, now);
        CPPUNIT_ASSERT_EQUAL(allowed, picked.size());
        for (const auto& candidate : picked) groups.known_at[candidate.member->ordinal] = now;
      }
    }
  }

  void test_positions_learned_from_statements_need_no_probe() {
    ProbedGroups groups(44);
    for (const auto& candidate : groups.candidates()) {
      groups.known_at[candidate.member->ordinal] = kNow - kInterval / 2;
    }
    CPPUNIT_ASSERT(
        select_probes(groups.candidates(), probes_per_round(kInterval, 1), kInterval, kNow).empty());
  }

  void test_unknown_positions_go_first_then_recently_read_groups() {
    ProbedGroups groups(4);
    for (const auto& candidate : groups.candidates()) {
      groups.known_at[candidate.member->ordinal] = kNow - seconds(1);
      groups.since_read[candidate.group->name] = seconds(20);
    }
    groups.known_at.erase(10);
    groups.since_read[GroupName("group-1")] = seconds(0);
    const auto picked = select_probes(groups.candidates(), 4, kInterval, kNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, picked.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{10}, picked[0].member->ordinal);
    for (std::size_t place = 1; place < 4; ++place) {
      CPPUNIT_ASSERT_EQUAL(std::string("group-1"), picked[place].group->name.value);
    }
    // A group that was not read recently is still probed eventually.
    for (std::uint32_t member = 3; member < 6; ++member) groups.known_at[member] = kNow - kInterval;
    groups.known_at[10] = kNow;
    groups.known_at[0] = kNow - seconds(10);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0},
                         select_probes(groups.candidates(), 1, kInterval, kNow)[0].member->ordinal);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProbeScheduleTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy

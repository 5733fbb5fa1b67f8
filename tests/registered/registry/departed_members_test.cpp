// Tests which former members of a group are recorded until a remaining member is known to hold their logs.
#include "registered/registry/departed_members.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::registered::registry {

namespace {

const GroupName kGroup("records");

DepartedMember departed(const std::string& name, std::uint16_t port, std::uint64_t revision,
                        bool has_ended = false, std::uint64_t led_term = 0) {
  return {{BackendName(name), 0}, {"10.0.0.9", port}, revision, led_term, has_ended};
}

BackendEntry entry(const std::string& name, std::uint16_t port, const GroupName& group = kGroup,
                   std::uint64_t start_time_ms = 0) {
  BackendEntry entry;
  entry.name = BackendName(name);
  entry.group = group;
  entry.endpoint = {"10.0.0.9", port};
  entry.start_time_ms = start_time_ms;
  return entry;
}

}  // namespace

class DepartedMembersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DepartedMembersTest);
  CPPUNIT_TEST(successor_at_the_address_stands_for_a_deregistered_member);
  CPPUNIT_TEST(other_backends_at_the_address_only_show_the_end);
  CPPUNIT_TEST(does_not_settle_what_changed_since);
  CPPUNIT_TEST(members_that_ended_share_an_entry);
  CPPUNIT_TEST(the_latest_primary_keeps_its_own_entry);
  CPPUNIT_TEST(a_merged_entry_stays_when_one_of_its_members_returns);
  CPPUNIT_TEST_SUITE_END();

 public:
  void successor_at_the_address_stands_for_a_deregistered_member() {
    DepartedMembers members;
    members.record(kGroup, departed("a", 1, 5));
    members.record_registration(entry("b", 2), 6);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, members.of(kGroup).size());
    members.record_registration(entry("c", 1), 7);
    CPPUNIT_ASSERT(members.of(kGroup).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, members.size());
  }

  void other_backends_at_the_address_only_show_the_end() {
    const DepartedMember ended = departed("a", 1, 7, true);
    for (const BackendEntry& next : {entry("c", 1, GroupName("other")), entry("c", 1, kGroup, 1000)}) {
      DepartedMembers members;
      members.record(kGroup, departed("a", 1, 5));
      members.record_registration(next, 7);
      CPPUNIT_ASSERT(members.of(kGroup) == std::vector{ended});
    }
    DepartedMembers displaced;
    displaced.record(kGroup, departed("a", 1, 5, true));
    displaced.record_registration(entry("c", 1), 7);
    CPPUNIT_ASSERT_MESSAGE("a member that did not leave as planned passes nothing on",
                           displaced.of(kGroup) == (std::vector{departed("a", 1, 5, true)}));
  }

  void does_not_settle_what_changed_since() {
    DepartedMembers members;
    members.record(kGroup, departed("a", 1, 5));
    const std::vector<DepartedMember> seen = members.of(kGroup);
    members.record_registration(entry("c", 1, GroupName("other")), 7);
    members.settle(kGroup, seen);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, members.of(kGroup).size());
    const std::vector<DepartedMember> newest = members.of(kGroup);
    members.settle(kGroup, newest);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, members.size());
  }

  /// Guards against evidence for one member that is counted for another one, which ended later.
  void members_that_ended_share_an_entry() {
    DepartedMembers members;
    members.record(kGroup, departed("a", 1, 5));
    members.record(kGroup, departed("b", 2, 6, true));
    const std::vector<DepartedMember> seen{members.of(kGroup).back()};
    members.record_registration(entry("c", 1, GroupName("other")), 9);
    CPPUNIT_ASSERT(members.of(kGroup) == (std::vector{departed("a", 1, 9, true)}));
    members.settle(kGroup, seen);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, members.of(kGroup).size());
  }

  /// Guards against an entry that stands for a replica and is passed over as the closed term's primary.
  void the_latest_primary_keeps_its_own_entry() {
    DepartedMembers members;
    members.record(kGroup, departed("a", 1, 5, true));
    members.record(kGroup, departed("p", 2, 6, true, 3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, members.of(kGroup).size());
    members.record(kGroup, departed("q", 3, 7, true, 4));
    CPPUNIT_ASSERT(members.of(kGroup) ==
                   (std::vector{departed("p", 2, 6, true, 0), departed("q", 3, 7, true, 4)}));
  }

  void a_merged_entry_stays_when_one_of_its_members_returns() {
    DepartedMembers members;
    members.record(kGroup, departed("a", 1, 5, true));
    members.record(kGroup, departed("b", 2, 6, true));
    members.record_registration(entry("b", 3), 7);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, members.of(kGroup).size());
    members.record(kGroup, departed("d", 4, 8));
    members.record_registration(entry("d", 5), 9);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("one that runs returns with its log", std::size_t{1},
                                 members.of(kGroup).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartedMembersTest);

}  // namespace cairnhollow::registered::registry

#include "consensus/configuration.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace cairnhollow::consensus {
namespace {

Member make_member(const std::string& name, MemberRole role = MemberRole::kVoter) {
  Member member;
  member.node = NodeName{name};
  member.identity = name + "-disk";
  member.role = role;
  return member;
}

bool quorum_of(const Configuration& configuration, const std::set<std::string>& agreeing) {
  return configuration.has_quorum([&](const Member& member) { return agreeing.contains(member.node.value); });
}

}  // namespace

class ConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(a_quorum_is_a_majority_of_voters);
  CPPUNIT_TEST(unformed_group_needs_all_voters);
  CPPUNIT_TEST(joint_consensus_needs_both_majorities);
  CPPUNIT_TEST(an_empty_group_has_no_quorum);
  CPPUNIT_TEST(new_disk_is_not_a_member);
  CPPUNIT_TEST(history_follows_the_log);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_quorum_is_a_majority_of_voters() {
    Configuration configuration = make_formed();
    configuration.members.push_back(make_member("learner", MemberRole::kLearner));
    CPPUNIT_ASSERT(quorum_of(configuration, {"a", "b"}));
    CPPUNIT_ASSERT(!quorum_of(configuration, {"a", "learner"}));
  }

  void unformed_group_needs_all_voters() {
    Configuration configuration = make_formed();
    configuration.formed = false;
    CPPUNIT_ASSERT(!quorum_of(configuration, {"a", "b"}));
    CPPUNIT_ASSERT(quorum_of(configuration, {"a", "b", "c"}));
  }

  void joint_consensus_needs_both_majorities() {
    Configuration configuration = make_formed();
    configuration.next_members = {make_member("a"), make_member("b"), make_member("d")};
    CPPUNIT_ASSERT(quorum_of(configuration, {"a", "b"}));
    CPPUNIT_ASSERT(!quorum_of(configuration, {"b", "c"}));
    CPPUNIT_ASSERT(!quorum_of(configuration, {"b", "d"}));
    CPPUNIT_ASSERT(quorum_of(configuration, {"b", "c", "d"}));
  }

  void an_empty_group_has_no_quorum() { CPPUNIT_ASSERT(!quorum_of(Configuration{}, {})); }

  void new_disk_is_not_a_member() {
    Configuration configuration = make_formed();
    CPPUNIT_ASSERT(configuration.is_voter(MemberKey{NodeName{"a"}, "a-disk"}));
    CPPUNIT_ASSERT(!configuration.is_voter(MemberKey{NodeName{"a"}, "other-disk"}));
    configuration.formed = false;
    CPPUNIT_ASSERT(configuration.is_voter(MemberKey{NodeName{"a"}, "other-disk"}));
  }

  void history_follows_the_log() {
    ConfigurationHistory history;
    history.append(3, make_formed());
    Configuration larger = make_formed();
    larger.members.push_back(make_member("d"));
    history.append(7, larger);
    CPPUNIT_ASSERT(history.at(2).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, history.at(6).members.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, history.latest().members.size());
    history.truncate_after(6);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, history.latest_index());
    history.compact_to(5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, history.at(5).members.size());
  }

 private:
  static Configuration make_formed() {
    Configuration configuration;
    configuration.formed = true;
    configuration.members = {make_member("a"), make_member("b"), make_member("c")};
    return configuration;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

}  // namespace cairnhollow::consensus

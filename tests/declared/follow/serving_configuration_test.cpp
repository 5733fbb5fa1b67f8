// Tests how an answer changes a follower's state: the reported effect, and a follower that keeps revisions
// only.
#include "declared/follow/serving_configuration.h"

#include <cppunit/extensions/HelperMacros.h>

#include "wire/codec.h"

namespace cairnhollow::declared::follow {
namespace {

constexpr TimePoint kAsked{std::chrono::seconds(10)};

FollowAnswer answer(std::uint64_t revision, const FollowUpdate& update) {
  FollowAnswer answer;
  answer.revision = revision;
  answer.lease = std::chrono::seconds(2);
  answer.update = wire::encode(update);
  return answer;
}

config::StoredObject proxy(const std::string& name, std::uint64_t version) {
  return {{name, {}, config::ProxySpec{}}, version};
}

class ServingConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServingConfigurationTest);
  CPPUNIT_TEST(effect_lists_groups_with_newer_state);
  CPPUNIT_TEST(keeps_only_revision_and_lease_without_decoding);
  CPPUNIT_TEST_SUITE_END();

 public:
  void effect_lists_groups_with_newer_state() {
    ServingConfiguration current;
    current.groups[GroupName("a")] = {GroupName("a"), 3, BackendName("a-0")};
    FollowUpdate update;
    update.has_news = true;
    update.groups = {{GroupName("a"), 3, BackendName("a-1")}, {GroupName("b"), 1, BackendName("b-0")}};
    AnswerEffect effect;
    CPPUNIT_ASSERT(accept_answer(current, answer(0, update), kAsked, effect, reason_));
    CPPUNIT_ASSERT(effect.groups);
    CPPUNIT_ASSERT(effect.touched_groups == std::vector<GroupName>{GroupName("b")});
    CPPUNIT_ASSERT_EQUAL(std::string("a-0"), current.groups.at(GroupName("a")).primary.value);
  }

  void keeps_only_revision_and_lease_without_decoding() {
    ServingConfiguration current;
    current.decodes_updates = false;
    FollowUpdate whole;
    whole.configuration = config::ConfigSnapshot{{proxy("proxy-1", 4)}};
    AnswerEffect first;
    CPPUNIT_ASSERT(accept_answer(current, answer(4, whole), kAsked, first, reason_));
    CPPUNIT_ASSERT(first.configuration && first.snapshot);
    FollowUpdate change;
    change.configuration = config::ConfigChanges{{proxy("proxy-1", 5)}, {}};
    AnswerEffect second;
    CPPUNIT_ASSERT(accept_answer(current, answer(5, change), kAsked, second, reason_));
    CPPUNIT_ASSERT(second.configuration && !second.snapshot);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, current.revision);
    CPPUNIT_ASSERT(current.objects.empty());
    CPPUNIT_ASSERT(current.lease_deadline == kAsked + std::chrono::seconds(2));
    AnswerEffect third;
    CPPUNIT_ASSERT(!accept_answer(current, answer(4, whole), kAsked, third, reason_));
  }

 private:
  Reason reason_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingConfigurationTest);

}  // namespace
}  // namespace cairnhollow::declared::follow

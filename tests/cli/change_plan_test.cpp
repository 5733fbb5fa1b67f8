// What a command changes, worked out from what is in force.
#include "cli/change_plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/declared/config/test_objects.h"

namespace cairnhollow::cli {

using declared::config::backend_object;
using declared::config::proxy_object;

class ChangePlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangePlanTest);
  CPPUNIT_TEST(apply_is_based_on_what_is_in_force);
  CPPUNIT_TEST(apply_keeps_the_version_that_the_manifest_names);
  CPPUNIT_TEST(delete_of_an_absent_object_is_unchanged);
  CPPUNIT_TEST(labels_are_set_and_removed);
  CPPUNIT_TEST(drain_touches_proxies_and_backends_only);
  CPPUNIT_TEST_SUITE_END();

 public:
  void apply_is_based_on_what_is_in_force() {
    const declared::control::ObjectList in_force{9,
                                                 {{backend_object("a", 1), 4}, {backend_object("b", 2), 7}}};
    const auto plan = plan_apply({manifest(backend_object("a", 1)), manifest(backend_object("b", 3)),
                                  manifest(backend_object("c", 4))},
                                 in_force);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, plan.at_revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.unchanged.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, plan.changes.size());
    CPPUNIT_ASSERT(plan.changes[0].change.based_on == 7U);
    CPPUNIT_ASSERT(plan.changes[0].before == backend_object("b", 2));
    CPPUNIT_ASSERT(plan.changes[1].change.based_on == 0U);
    CPPUNIT_ASSERT(!plan.changes[1].before);
  }

  void apply_keeps_the_version_that_the_manifest_names() {
    const declared::control::ObjectList in_force{9, {{backend_object("a", 1), 4}}};
    const auto stale = plan_apply({manifest(backend_object("a", 2), 3)}, in_force);
    CPPUNIT_ASSERT(stale.changes[0].change.based_on == 3U);
    const auto deleted_since = plan_apply({manifest(backend_object("gone", 2), 3)}, in_force);
    CPPUNIT_ASSERT(deleted_since.changes[0].change.based_on == 3U);
  }

  void delete_of_an_absent_object_is_unchanged() {
    const declared::control::ObjectList in_force{9, {{backend_object("a", 1), 4}}};
    const auto plan =
        plan_delete({manifest(backend_object("a", 1)), manifest(backend_object("b", 1))}, in_force);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.changes.size());
    CPPUNIT_ASSERT(plan.changes[0].change.deletion);
    CPPUNIT_ASSERT(plan.changes[0].change.based_on == 4U);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), plan.unchanged.at(0).name);
  }

  void labels_are_set_and_removed() {
    const declared::control::ObjectList selected{
        9, {{backend_object("a", 1, LabelSet{{{"x", "1"}, {"y", "2"}}}), 4}, {backend_object("b", 2), 5}}};
    const auto plan = plan_labels(selected, {{"x", "3"}, {"y", std::nullopt}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, plan.changes.size());
    CPPUNIT_ASSERT((plan.changes[0].change.object.labels == LabelSet{{{"x", "3"}}}));
    CPPUNIT_ASSERT(plan.changes[0].change.based_on == 4U);
    const auto nothing = plan_labels(selected, {{"z", std::nullopt}});
    CPPUNIT_ASSERT(nothing.changes.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, nothing.unchanged.size());
  }

  void drain_touches_proxies_and_backends_only() {
    const declared::control::ObjectList selected{9,
                                                 {{proxy_object("p", 1), 1},
                                                  {backend_object("a", 2), 2},
                                                  {declared::config::route_object("r", ""), 3}}};
    const auto plan = plan_drain(selected, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, plan.changes.size());
    CPPUNIT_ASSERT(std::get<declared::config::ProxySpec>(plan.changes[0].change.object.spec).drain);
    CPPUNIT_ASSERT(std::get<declared::config::BackendSpec>(plan.changes[1].change.object.spec).drain);
    CPPUNIT_ASSERT(plan_drain(selected, false).changes.empty());
  }

 private:
  static declared::config::Manifest manifest(declared::config::Object object,
                                             std::optional<std::uint64_t> version = std::nullopt) {
    declared::config::Manifest manifest;
    manifest.object = std::move(object);
    manifest.resource_version = version;
    return manifest;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangePlanTest);

}  // namespace cairnhollow::cli

// Tests the validation rules within one object and between objects.
#include "declared/config/validation.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/declared/config/test_objects.h"

namespace cairnhollow::declared::config {

namespace {

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

class ValidationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ValidationTest);
  CPPUNIT_TEST(names_and_labels_have_limits);
  CPPUNIT_TEST(selectors_have_limits);
  CPPUNIT_TEST(numbers_have_ranges);
  CPPUNIT_TEST(endpoints_must_be_unicast_addresses);
  CPPUNIT_TEST(endpoint_belongs_to_one_object);
  CPPUNIT_TEST(backend_belongs_to_one_group);
  CPPUNIT_TEST(groups_of_a_route_share_no_hash_slot);
  CPPUNIT_TEST(untouched_objects_are_not_checked);
  CPPUNIT_TEST(long_fault_lists_are_truncated_with_a_count);
  CPPUNIT_TEST_SUITE_END();

 public:
  void names_and_labels_have_limits() {
    CPPUNIT_ASSERT_EQUAL(std::string(), faults_of(backend_object(std::string(63, 'a'), 1)));
    for (const std::string& name : {std::string(), std::string(64, 'a'), std::string("-a"), std::string("a-"),
                                    std::string("A"), std::string("a_b"), std::string("a b")}) {
      CPPUNIT_ASSERT_MESSAGE(name, contains(faults_of(backend_object(name, 1)), "metadata.name"));
    }
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         faults_of(backend_object("a", 1, LabelSet{{{"Ab.c/d_e-f", "X_1.y-2"}, {"e", ""}}})));
    CPPUNIT_ASSERT(contains(faults_of(backend_object("a", 1, LabelSet{{{"", "x"}}})), "metadata.labels"));
    CPPUNIT_ASSERT(
        contains(faults_of(backend_object("a", 1, LabelSet{{{"k", "a b"}}})), "metadata.labels.k"));
    LabelSet many;
    for (int i = 0; i < 65; ++i) many.entries["k" + std::to_string(i)] = "v";
    CPPUNIT_ASSERT(contains(faults_of(backend_object("a", 1, many)), "65 labels"));
  }

  void selectors_have_limits() {
    const auto faults_with = [](SelectorExpression expression) {
      Object group = group_object("g", "", {0, 1});
      std::get<DatabaseGroupSpec>(group.spec).backend_selector.match_expressions = {std::move(expression)};
      return faults_of(group);
    };
    CPPUNIT_ASSERT_EQUAL(std::string(), faults_with({"k", SelectorOperator::kIn, {"a"}}));
    CPPUNIT_ASSERT(contains(faults_with({"k", SelectorOperator::kIn, {}}),
                            "spec.backendSelector.matchExpressions[0].values: In and NotIn need values"));
    CPPUNIT_ASSERT(contains(faults_with({"k", SelectorOperator::kExists, {"a"}}), "take no values"));
    CPPUNIT_ASSERT(contains(faults_with({"", SelectorOperator::kExists, {}}), "matchExpressions[0].key"));
    CPPUNIT_ASSERT(
        contains(faults_with({"k", SelectorOperator::kNotIn, {"a b"}}), "matchExpressions[0].values"));
    CPPUNIT_ASSERT(contains(faults_with({"k", SelectorOperator::kIn, std::vector<std::string>(257, "a")}),
                            "257 values"));
  }

  void numbers_have_ranges() {
    CPPUNIT_ASSERT_EQUAL(std::string(), faults_of(group_object("g", "", {65535, 65535})));
    CPPUNIT_ASSERT(contains(faults_of(group_object("g", "", {0, 65536})), "spec.hashSlots.last"));
    CPPUNIT_ASSERT(contains(faults_of(group_object("g", "", {2, 1})), "first is above last"));
    Object group = group_object("g", "", {0, 1});
    std::get<DatabaseGroupSpec>(group.spec).connections_per_backend = 0;
    std::get<DatabaseGroupSpec>(group.spec).slots_per_backend = 10'001;
    CPPUNIT_ASSERT(contains(faults_of(group), "spec.connectionsPerBackend: 0 is out of range"));
    CPPUNIT_ASSERT(contains(faults_of(group), "spec.slotsPerBackend: 10001 is out of range"));
    Object route = route_object("r", "");
    std::get<RouteSpec>(route.spec).max_staleness_milliseconds = 86'400'001;
    std::get<RouteSpec>(route.spec).replica_wait_milliseconds = 10'001;
    std::get<RouteSpec>(route.spec).precedence = 1'000'001;
    CPPUNIT_ASSERT(contains(faults_of(route), "spec.maxStaleness"));
    CPPUNIT_ASSERT(contains(faults_of(route), "spec.replicaWait"));
    CPPUNIT_ASSERT(contains(faults_of(route), "spec.precedence"));
  }

  void endpoints_must_be_unicast_addresses() {
    for (const char* address : {"0.0.0.0", "::", "224.0.0.1", "host", ""}) {
      Object proxy = proxy_object("p", 1);
      std::get<ProxySpec>(proxy.spec).endpoint.address = address;
      CPPUNIT_ASSERT_MESSAGE(address, contains(faults_of(proxy), "spec.endpoint"));
    }
    CPPUNIT_ASSERT(contains(faults_of(proxy_object("p", 0)), "the port must be from 1"));
  }

  void endpoint_belongs_to_one_object() {
    put({backend_object("a", 1), proxy_object("p", 1), proxy_object("q", 2)});
    CPPUNIT_ASSERT_EQUAL(std::string("Proxy/p spec.endpoint: 10.0.0.1:1 is also the endpoint of Backend/a"),
                         relation_faults({{ObjectKind::kProxy, "p"}}));
    CPPUNIT_ASSERT_EQUAL(std::string(), relation_faults({{ObjectKind::kProxy, "q"}}));
    objects_.erase({ObjectKind::kBackend, "a"});
    CPPUNIT_ASSERT_EQUAL(std::string(), relation_faults({{ObjectKind::kProxy, "p"}}));
  }

  void backend_belongs_to_one_group() {
    put({backend_object("a", 1, LabelSet{{{"service", "x"}, {"zone", "k"}}}),
         group_object("g", "service=x", {0, 1}), group_object("h", "zone in (k,p)", {0, 1})});
    const std::string problem = "Backend/a would belong to DatabaseGroup/g and DatabaseGroup/h";
    CPPUNIT_ASSERT_EQUAL("Backend/a metadata.labels: " + problem,
                         relation_faults({{ObjectKind::kBackend, "a"}}));
    CPPUNIT_ASSERT_EQUAL("DatabaseGroup/h spec.backendSelector: " + problem,
                         relation_faults({{ObjectKind::kDatabaseGroup, "h"}}));
    put({group_object("h", "!zone", {0, 1})});
    CPPUNIT_ASSERT_EQUAL(std::string(), relation_faults({{ObjectKind::kBackend, "a"}}));
    put({group_object("h", "", {0, 1})});
    CPPUNIT_ASSERT_EQUAL("Backend/a metadata.labels: " + problem,
                         relation_faults({{ObjectKind::kBackend, "a"}}));
  }

  void groups_of_a_route_share_no_hash_slot() {
    put({group_object("g", "!any", {0, 10}, LabelSet{{{"s", "x"}}}),
         group_object("h", "!any", {10, 20}, LabelSet{{{"s", "x"}}}),
         group_object("other", "!any", {0, 20}, LabelSet{{{"s", "y"}}}), route_object("r", "s=x")});
    const std::string problem =
        "Route/r selects DatabaseGroup/g and DatabaseGroup/h, which share hash slots from 10";
    CPPUNIT_ASSERT_EQUAL("Route/r spec.groupSelector: " + problem,
                         relation_faults({{ObjectKind::kRoute, "r"}}));
    CPPUNIT_ASSERT_EQUAL("DatabaseGroup/g spec.hashSlots: " + problem,
                         relation_faults({{ObjectKind::kDatabaseGroup, "g"}}));
    CPPUNIT_ASSERT_EQUAL("DatabaseGroup/h spec.hashSlots: " + problem,
                         relation_faults({{ObjectKind::kDatabaseGroup, "h"}}));
    put({group_object("h", "!any", {11, 20}, LabelSet{{{"s", "x"}}})});
    CPPUNIT_ASSERT_EQUAL(std::string(), relation_faults({{ObjectKind::kRoute, "r"}}));
    CPPUNIT_ASSERT_EQUAL(std::string(), relation_faults({{ObjectKind::kDatabaseGroup, "h"}}));
  }

  void untouched_objects_are_not_checked() {
    put({backend_object("a", 1), backend_object("b", 1), backend_object("c", 2)});
    CPPUNIT_ASSERT_EQUAL(std::string(), relation_faults({{ObjectKind::kBackend, "c"}}));
    CPPUNIT_ASSERT_EQUAL(std::string(), relation_faults({{ObjectKind::kBackend, "gone"}}));
  }

  void long_fault_lists_are_truncated_with_a_count() {
    std::vector<FieldFault> faults;
    for (int i = 0; i < 30; ++i) {
      faults.push_back({{ObjectKind::kBackend, "b"}, "field" + std::to_string(100 + i), "bad"});
      faults.push_back(faults.back());
    }
    const auto reason = reason_for_faults(faults);
    CPPUNIT_ASSERT(contains(reason.detail, "field119: bad; and 10 more"));
    CPPUNIT_ASSERT(!contains(reason.detail, "field120"));
  }

 private:
  static std::string faults_of(const Object& object) {
    const auto faults = validate_object(object);
    return faults.empty() ? "" : reason_for_faults(faults).detail;
  }

  void put(std::vector<Object> objects) {
    for (auto& object : objects) objects_.put({std::move(object), 1});
  }

  std::string relation_faults(const std::vector<ObjectKey>& touched) {
    const auto faults = validate_relations(objects_, touched);
    return faults.empty() ? "" : reason_for_faults(faults).detail;
  }

  ObjectStore objects_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValidationTest);

}  // namespace cairnhollow::declared::config

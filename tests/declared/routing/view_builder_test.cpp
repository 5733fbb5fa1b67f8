// Tests the routing view: group members by selector, routes by precedence and database, groups by hash slot,
// and sharing between successive views.
#include "declared/routing/view_builder.h"

#include <cppunit/extensions/HelperMacros.h>

#include "declared/routing/choice.h"
#include "declared/routing/hash.h"

namespace cairnhollow::declared::routing {
namespace {

LabelSet labels(const std::string& key, const std::string& value) { return LabelSet{{{key, value}}}; }

Request statement(const std::string& database, const std::string& partition_key = "learner-1") {
  Request request;
  request.database = DatabaseName(database);
  request.partition_key = partition_key;
  request.labels.entries["database"] = database;
  return request;
}

class ViewBuilderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ViewBuilderTest);
  CPPUNIT_TEST(test_members_follow_the_selector);
  CPPUNIT_TEST(test_selector_without_labels_selects_all);
  CPPUNIT_TEST(test_leaving_and_draining_backends_are_marked_leaving);
  CPPUNIT_TEST(test_finds_the_group_of_each_slot);
  CPPUNIT_TEST(test_slot_outside_all_groups_has_no_group);
  CPPUNIT_TEST(test_finds_the_route_by_database_and_precedence);
  CPPUNIT_TEST(test_tracks_the_state_of_this_proxy);
  CPPUNIT_TEST(test_new_primary_replaces_only_its_group);
  CPPUNIT_TEST(test_changed_backend_rebuilds_only_its_group);
  CPPUNIT_TEST(test_ordinals_are_stable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    objects_.clear();
    groups_.clear();
    leaving_.clear();
    for (const auto* name : {"a-0", "a-1", "b-0", "b-1"}) {
      put({name, labels("group", std::string(name).substr(0, 1)),
           config::BackendSpec{ZoneName("zone"), Endpoint{"10.0.0.1", 1}, false}});
    }
    put_group("a", 0, 29999);
    put_group("b", 30000, config::kHashSlots - 1);
    put_route("all", 0, {});
    groups_[GroupName("a")] = follow::GroupState{GroupName("a"), 3, BackendName("a-0")};
  }

  void test_members_follow_the_selector() {
    const auto view = build();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view->groups.size());
    CPPUNIT_ASSERT(members(*view, "a") == (std::vector<std::string>{"a-0", "a-1"}));
    CPPUNIT_ASSERT(members(*view, "b") == (std::vector<std::string>{"b-0", "b-1"}));
    const auto group = find_group(*view, GroupName("a"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, group->term);
    CPPUNIT_ASSERT_EQUAL(std::string("a-0"), group->primary.value);
    CPPUNIT_ASSERT(find_group(*view, GroupName("b"))->primary.empty());
    CPPUNIT_ASSERT(find_group(*view, GroupName("c")) == nullptr);
  }

  void test_selector_without_labels_selects_all() {
    put({"c", {}, config::DatabaseGroupSpec{}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, members(*build(), "c").size());
    config::DatabaseGroupSpec none;
    none.backend_selector.match_labels = labels("group", "z");
    put({"c", {}, none});
    CPPUNIT_ASSERT(members(*build(), "c").empty());
  }

  void test_leaving_and_draining_backends_are_marked_leaving() {
    leaving_ = {"a-1"};
    put({"b-0", labels("group", "b"), config::BackendSpec{ZoneName("zone"), Endpoint{"10.0.0.1", 1}, true}});
    const auto view = build();
    CPPUNIT_ASSERT(!is_leaving(*view, "a", "a-0"));
    CPPUNIT_ASSERT(is_leaving(*view, "a", "a-1"));
    CPPUNIT_ASSERT(is_leaving(*view, "b", "b-0"));
    CPPUNIT_ASSERT(!is_leaving(*view, "b", "b-1"));
  }

  void test_finds_the_group_of_each_slot() {
    const auto view = build();
    bool seen_a = false;
    bool seen_b = false;
    for (int number = 0; number < 200; ++number) {
      const auto key = "learner-" + std::to_string(number);
      const auto group = find_group(*view, statement("decks", key));
      CPPUNIT_ASSERT(group != nullptr);
      const std::string expected = hash_slot(key) < 30000 ? "a" : "b";
      CPPUNIT_ASSERT_EQUAL(expected, group->name.value);
      (expected == "a" ? seen_a : seen_b) = true;
    }
    CPPUNIT_ASSERT(seen_a && seen_b);
  }

  void test_slot_outside_all_groups_has_no_group() {
    const auto slot = hash_slot("learner-1");
    put_group("a", 0, slot - 1);
    put_group("b", slot + 1, config::kHashSlots - 1);
    CPPUNIT_ASSERT(find_group(*build(), statement("decks")) == nullptr);
    put_group("b", slot, config::kHashSlots - 1);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), find_group(*build(), statement("decks"))->name.value);
    put_group("a", 0, slot);
    put_group("b", slot + 1, config::kHashSlots - 1);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), find_group(*build(), statement("decks"))->name.value);
  }

  void test_finds_the_route_by_database_and_precedence() {
    config::Selector decks;
    decks.match_labels = labels("database", "decks");
    put_route("decks", 5, decks);
    config::Selector listed;
    listed.match_expressions.push_back({"database", config::SelectorOperator::kIn, {"trips", "vehicles"}});
    put_route("listed", 5, listed);
    config::Selector urgent;
    urgent.match_labels = labels("urgency", "high");
    put_route("urgent", 9, urgent);
    config::Selector excluded;
    excluded.match_expressions.push_back({"database", config::SelectorOperator::kNotIn, {"decks", "other"}});
    put_route("excluded", 7, excluded);
    const auto view = build();
    CPPUNIT_ASSERT_EQUAL(std::string("decks"), route_of(*view, statement("decks")));
    CPPUNIT_ASSERT_EQUAL(std::string("excluded"), route_of(*view, statement("trips")));
    CPPUNIT_ASSERT_EQUAL(std::string("excluded"), route_of(*view, statement("unheard-of")));
    CPPUNIT_ASSERT_EQUAL(std::string("all"), route_of(*view, statement("other")));
    auto urgent_statement = statement("decks");
    urgent_statement.labels.entries["urgency"] = "high";
    CPPUNIT_ASSERT_EQUAL(std::string("urgent"), route_of(*view, urgent_statement));
    objects_.erase({config::ObjectKind::kRoute, "excluded"});
    CPPUNIT_ASSERT_EQUAL(std::string("listed"), route_of(*build(), statement("vehicles")));
  }

  void test_tracks_the_state_of_this_proxy() {
    CPPUNIT_ASSERT(!build()->this_proxy_serves);
    put_proxy("proxy-1", false);
    put_proxy("proxy-2", false);
    put_proxy("proxy-3", true);
    CPPUNIT_ASSERT(build()->this_proxy_serves);
    CPPUNIT_ASSERT(!build()->this_proxy_leaves);
    CPPUNIT_ASSERT_EQUAL(2U, build()->proxies_serving);
    leaving_ = {"proxy-1"};
    CPPUNIT_ASSERT(build()->this_proxy_serves);
    CPPUNIT_ASSERT(build()->this_proxy_leaves);
    CPPUNIT_ASSERT_EQUAL(1U, build()->proxies_serving);
    put_proxy("proxy-1", true);
    CPPUNIT_ASSERT(!build()->this_proxy_serves);
  }

  void test_new_primary_replaces_only_its_group() {
    const auto before = build();
    groups_[GroupName("a")] = follow::GroupState{GroupName("a"), 4, BackendName("a-1")};
    const auto after = builder_.update(sources(), {{}, {GroupName("a")}, false});
    CPPUNIT_ASSERT_EQUAL(std::string("a-0"), find_group(*before, GroupName("a"))->primary.value);
    CPPUNIT_ASSERT_EQUAL(std::string("a-1"), find_group(*after, GroupName("a"))->primary.value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, find_group(*after, GroupName("a"))->term);
    CPPUNIT_ASSERT(find_group(*before, GroupName("b")) == find_group(*after, GroupName("b")));
    CPPUNIT_ASSERT(before->routes == after->routes);
    CPPUNIT_ASSERT_EQUAL(before->revision, after->revision);
  }

  void test_changed_backend_rebuilds_only_its_group() {
    const auto before = build();
    put({"a-1", labels("group", "a"),
         config::BackendSpec{ZoneName("other"), Endpoint{"10.0.0.1", 1}, false}});
    const auto after = builder_.update(sources(), {{{config::ObjectKind::kBackend, "a-1"}}, {}, false});
    const auto group = find_group(*after, GroupName("a"));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), find_backend(*group, BackendName("a-1"))->zone.value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, group->term);
    CPPUNIT_ASSERT(find_group(*before, GroupName("a")) != group);
    CPPUNIT_ASSERT(find_group(*before, GroupName("b")) == find_group(*after, GroupName("b")));
    CPPUNIT_ASSERT(before->routes == after->routes);
  }

  void test_ordinals_are_stable() {
    const auto before = build();
    put({"a-00", labels("group", "a"),
         config::BackendSpec{ZoneName("zone"), Endpoint{"10.0.0.9", 1}, false}});
    const auto after = build();
    for (const auto& member : find_group(*before, GroupName("a"))->members) {
      const auto* same = find_backend(*find_group(*after, GroupName("a")), member.name);
      CPPUNIT_ASSERT_EQUAL(member.ordinal, same->ordinal);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, builder_.ordinals().size());
  }

 private:
  void put(config::Object object) {
    const auto key = object.key();
    objects_.insert_or_assign(key, config::StoredObject{std::move(object), 1});
  }
  void put_group(const std::string& name, std::uint32_t first, std::uint32_t last) {
    config::DatabaseGroupSpec spec;
    spec.backend_selector.match_labels = labels("group", name);
    spec.hash_slots = config::HashSlotRange{first, last};
    put({name, labels("kind", "sharded"), spec});
  }
  void put_route(const std::string& name, std::uint32_t precedence, config::Selector statements) {
    config::RouteSpec spec;
    spec.precedence = precedence;
    spec.statement_selector = std::move(statements);
    spec.group_selector.match_labels = labels("kind", "sharded");
    put({name, {}, spec});
  }
  void put_proxy(const std::string& name, bool drain) {
    put({name, {}, config::ProxySpec{ZoneName("zone"), Endpoint{"10.0.0.2", 1}, drain}});
  }
  ViewSources sources() const { return {7, objects_, groups_, leaving_}; }
  ViewPointer build() { return builder_.rebuild(sources()); }
  static std::vector<std::string> members(const RoutingView& view, const std::string& group) {
    std::vector<std::string> names;
    for (const auto& member : find_group(view, GroupName(group))->members) names.push_back(member.name.value);
    return names;
  }
  static bool is_leaving(const RoutingView& view, const std::string& group, const std::string& backend) {
    return find_backend(*find_group(view, GroupName(group)), BackendName(backend))->leaving;
  }
  static std::string route_of(const RoutingView& view, const Request& request) {
    const auto* route = find_route(view, request);
    return route == nullptr ? "" : route->name.value;
  }

  std::map<config::ObjectKey, config::StoredObject> objects_;
  std::map<GroupName, follow::GroupState> groups_;
  std::set<std::string> leaving_;
  ViewBuilder builder_{NodeName("proxy-1")};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewBuilderTest);

}  // namespace
}  // namespace cairnhollow::declared::routing

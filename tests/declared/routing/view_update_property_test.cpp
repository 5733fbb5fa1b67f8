// Property test: after any sequence of changes the incrementally updated view equals one built from scratch.
#include <cppunit/extensions/HelperMacros.h>

#include "declared/routing/view_builder.h"
#include "tests/declared/config/properties.h"

namespace cairnhollow::declared::routing {
namespace {

using config::ObjectKind;

/// Generates configurations from a small set of names and labels, so that changes often interact.
class ConfigurationGenerator {
 public:
  /// Applies one to four random changes and returns them.
  ViewChange change() {
    ViewChange change;
    for (int count = draw(1, 4); count > 0; --count) change_one(change);
    ++revision_;
    return change;
  }
  [[nodiscard]] ViewSources sources() const { return {revision_, objects_, groups_, leaving_}; }

 private:
  static int draw(int from, int to) { return *rc::gen::inRange(from, to + 1); }
  static std::string name() { return "machine-" + std::to_string(draw(0, kNames - 1)); }
  static std::string value() { return "value-" + std::to_string(draw(0, 3)); }
  static LabelSet labels() {
    LabelSet labels;
    if (draw(0, 3) > 0) labels.entries["group"] = value();
    if (draw(0, 3) == 0) labels.entries["database"] = value();
    return labels;
  }
  static config::Selector selector(const std::string& key) {
    config::Selector selector;
    const int form = draw(0, 5);
    if (form <= 2) selector.match_labels.entries[key] = value();
    if (form == 3) selector.match_expressions = {{key, config::SelectorOperator::kIn, {value(), value()}}};
    if (form == 4) selector.match_expressions = {{key, config::SelectorOperator::kNotIn, {value()}}};
    return selector;
  }
  static config::ObjectSpec spec(ObjectKind kind) {
    if (kind == ObjectKind::kProxy) return config::ProxySpec{ZoneName("zone"), {}, draw(0, 2) == 0};
    if (kind == ObjectKind::kBackend) return config::BackendSpec{ZoneName(value()), {}, draw(0, 2) == 0};
    if (kind == ObjectKind::kDatabaseGroup) {
      config::DatabaseGroupSpec group;
      group.backend_selector = selector("group");
      group.hash_slots.first = static_cast<std::uint32_t>(draw(0, 3));
      group.connections_per_backend = static_cast<std::uint32_t>(draw(1, 20));
      group.slots_per_backend = static_cast<std::uint32_t>(draw(1, 3));
      return group;
    }
    config::RouteSpec route;
    route.precedence = static_cast<std::uint32_t>(draw(0, 2));
    route.statement_selector = selector("database");
    route.group_selector = selector("group");
    return route;
  }

  void change_one(ViewChange& change) {
    const int what = draw(0, 9);
    if (what == 0) return change_leaving(change);
    if (what <= 2) return change_state(change);
    const config::ObjectKey key{static_cast<ObjectKind>(draw(1, 4)), name()};
    change.objects.push_back(key);
    if (what == 3) {
      objects_.erase(key);
    } else {
      objects_.insert_or_assign(key,
                                config::StoredObject{{key.name, labels(), spec(key.kind)}, revision_ + 1});
    }
  }
  void change_leaving(ViewChange& change) {
    const auto machine = name();
    if (leaving_.erase(machine) == 0) leaving_.insert(machine);
    change.leaving = true;
  }
  void change_state(ViewChange& change) {
    const GroupName group(name());
    groups_[group] = follow::GroupState{group, groups_[group].term + 1, BackendName(name())};
    change.groups.push_back(group);
  }

  static constexpr int kNames = 7;
  std::uint64_t revision_ = 0;
  std::map<config::ObjectKey, config::StoredObject> objects_;
  std::map<GroupName, follow::GroupState> groups_;
  std::set<std::string> leaving_;
};

void assert_same_groups(const RoutingView& actual, const RoutingView& other) {
  RC_ASSERT(actual.groups.size() == other.groups.size());
  auto expected = other.groups.begin();
  for (const auto& group : actual.groups) {
    const auto& wanted = **expected++;
    RC_ASSERT(group->name == wanted.name);
    RC_ASSERT(group->labels == wanted.labels);
    RC_ASSERT(group->spec == wanted.spec);
    RC_ASSERT(group->term == wanted.term);
    RC_ASSERT(group->primary == wanted.primary);
    RC_ASSERT(group->served_here == wanted.served_here);
    RC_ASSERT(group->proxies_serving == wanted.proxies_serving);
    RC_ASSERT(group->serving_proxies.size() == wanted.serving_proxies.size());
    for (std::size_t place = 0; place < wanted.serving_proxies.size(); ++place) {
      RC_ASSERT(*group->serving_proxies[place] == *wanted.serving_proxies[place]);
    }
    RC_ASSERT(group->members.size() == wanted.members.size());
    for (std::size_t place = 0; place < wanted.members.size(); ++place) {
      const auto& member = group->members[place];
      RC_ASSERT(member.name == wanted.members[place].name);
      RC_ASSERT(member.zone == wanted.members[place].zone);
      RC_ASSERT(member.labels == wanted.members[place].labels);
      RC_ASSERT(member.leaving == wanted.members[place].leaving);
    }
  }
}

void assert_same_routes(const RouteList& actual, const RouteList& other) {
  RC_ASSERT(actual.size() == other.size());
  auto expected = other.begin();
  for (const auto& route : actual) {
    const auto& wanted = **expected++;
    RC_ASSERT(route->name == wanted.name);
    RC_ASSERT(route->spec == wanted.spec);
    RC_ASSERT(route->slots.size() == wanted.slots.size());
    for (std::size_t place = 0; place < wanted.slots.size(); ++place) {
      RC_ASSERT(route->slots[place].slots == wanted.slots[place].slots);
      RC_ASSERT(route->slots[place].group == wanted.slots[place].group);
    }
  }
}

void assert_same(const RoutingView& actual, const RoutingView& other) {
  RC_ASSERT(actual.revision == other.revision);
  RC_ASSERT(actual.this_proxy_serves == other.this_proxy_serves);
  RC_ASSERT(actual.this_proxy_leaves == other.this_proxy_leaves);
  RC_ASSERT(actual.proxies_serving == other.proxies_serving);
  assert_same_groups(actual, other);
  assert_same_routes(actual.routes->any_database, other.routes->any_database);
  RC_ASSERT(actual.routes->by_database.size() == other.routes->by_database.size());
  auto expected = other.routes->by_database.begin();
  for (const auto& entry : actual.routes->by_database) {
    RC_ASSERT(entry->database == (*expected)->database);
    assert_same_routes(entry->routes, (*expected++)->routes);
  }
}

ViewPointer update(ViewBuilder& builder, ConfigurationGenerator& generator) {
  const auto change = generator.change();
  return builder.update(generator.sources(), change);
}

struct NumberOrder {
  using Key = int;
  static int key_of(const std::pair<int, int>& entry) { return entry.first; }
};
using NumberList = SharedList<std::pair<int, int>, NumberOrder>;

class ViewUpdatePropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ViewUpdatePropertyTest);
  CPPUNIT_TEST(test_updated_view_equals_a_rebuilt_one);
  CPPUNIT_TEST(test_update_leaves_the_earlier_view_unchanged);
  CPPUNIT_TEST(test_shared_list_behaves_like_a_map);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_updated_view_equals_a_rebuilt_one() {
    config::assert_property("the updated view equals a rebuilt one", [] {
      ConfigurationGenerator generator;
      ViewBuilder builder(NodeName("machine-1"));
      for (int step = *rc::gen::inRange(1, 40); step > 0; --step) {
        const auto updated = update(builder, generator);
        assert_same(*updated, *ViewBuilder(NodeName("machine-1")).rebuild(generator.sources()));
      }
    });
  }

  void test_update_leaves_the_earlier_view_unchanged() {
    config::assert_property(
        "an update leaves the earlier view unchanged",
        [] {
          ConfigurationGenerator generator;
          ViewBuilder builder(NodeName("machine-1"));
          for (int step = 0; step < 20; ++step) update(builder, generator);
          const auto held = builder.rebuild(generator.sources());
          const auto copy = ViewBuilder(NodeName("machine-1")).rebuild(generator.sources());
          for (int step = 0; step < 5; ++step) update(builder, generator);
          assert_same(*held, *copy);
        },
        100);
  }

  /// The list is long enough for several chunks, which are split and removed again.
  void test_shared_list_behaves_like_a_map() {
    config::assert_property(
        "a shared list behaves like a map",
        [] {
          std::map<int, int> expected;
          NumberList list;
          const int keys = *rc::gen::inRange(1, 600);
          for (int step = 0; step < 1200; ++step) {
            const int key = (step * 7919) % keys;
            const NumberList before = list;
            const std::size_t size_before = expected.size();
            if (*rc::gen::inRange(0, step < 600 ? 4 : 2) == 0) {
              expected.erase(key);
              list.erase(key);
            } else {
              expected[key] = step;
              list.put({key, step});
            }
            RC_ASSERT(before.size() == size_before);
            RC_ASSERT((list.find(key) != nullptr) == expected.contains(key));
          }
          RC_ASSERT((std::vector<std::pair<int, int>>(list.begin(), list.end())) ==
                    (std::vector<std::pair<int, int>>(expected.begin(), expected.end())));
        },
        30);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewUpdatePropertyTest);

}  // namespace
}  // namespace cairnhollow::declared::routing

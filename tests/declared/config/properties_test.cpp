// Property tests of selectors, manifests, indexes and the state machine over random objects.
#include <fmt/format.h>

#include "declared/config/manifest.h"
#include "declared/config/selector_text.h"
#include "declared/config/state_machine.h"
#include "tests/declared/config/generators.h"
#include "tests/declared/config/properties.h"
#include "tests/declared/config/test_objects.h"

namespace cairnhollow::declared::config {

namespace {

/// Reference implementation of the rules between objects, by exhaustive comparison.
bool meets_all_rules(const std::vector<StoredObject>& objects) {
  const auto of_kind = [&](ObjectKind kind) {
    std::vector<const Object*> found;
    for (const auto& stored : objects) {
      if (stored.object.kind() == kind) found.push_back(&stored.object);
    }
    return found;
  };
  const auto groups = of_kind(ObjectKind::kDatabaseGroup);
  const auto group_spec = [](const Object* group) { return std::get<DatabaseGroupSpec>(group->spec); };
  std::set<Endpoint> endpoints;
  for (const auto& stored : objects) {
    const Endpoint* endpoint = ObjectStore::endpoint_of(stored.object);
    if (endpoint != nullptr && !endpoints.insert(*endpoint).second) return false;
  }
  for (const Object* backend : of_kind(ObjectKind::kBackend)) {
    int owners = 0;
    for (const Object* group : groups) {
      if (group_spec(group).backend_selector.matches(backend->labels)) ++owners;
    }
    if (owners > 1) return false;
  }
  for (const Object* route : of_kind(ObjectKind::kRoute)) {
    const auto& selector = std::get<RouteSpec>(route->spec).group_selector;
    std::set<std::uint32_t> taken;
    for (const Object* group : groups) {
      if (!selector.matches(group->labels)) continue;
      const auto slots = group_spec(group).hash_slots;
      for (std::uint32_t slot = slots.first; slot <= slots.last; ++slot) {
        if (!taken.insert(slot).second) return false;
      }
    }
  }
  return true;
}

/// Reference model: the objects after a change.
std::vector<StoredObject> model_after(const std::vector<StoredObject>& before,
                                      const std::vector<ObjectChange>& changes, std::uint64_t revision) {
  std::map<ObjectKey, StoredObject> table;
  for (const auto& stored : before) table[stored.object.key()] = stored;
  for (const auto& change : changes) {
    table.erase(change.object.key());
    if (!change.deletion) table[change.object.key()] = {change.object, revision};
  }
  std::vector<StoredObject> after;
  after.reserve(table.size());
  for (auto& [key, stored] : table) after.push_back(std::move(stored));
  return after;
}

}  // namespace

class ConfigPropertiesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigPropertiesTest);
  CPPUNIT_TEST(selector_text_round_trips);
  CPPUNIT_TEST(manifest_round_trips_in_yaml_and_json);
  CPPUNIT_TEST(index_finds_what_a_scan_finds);
  CPPUNIT_TEST(selector_index_finds_what_a_scan_finds);
  CPPUNIT_TEST(state_machine_accepts_exactly_what_meets_the_rules);
  CPPUNIT_TEST(parsers_survive_random_bytes);
  CPPUNIT_TEST(damaged_manifests_parse_or_report_faults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void selector_text_round_trips() {
    assert_property("selector", [] {
      Selector selector = *any_selector();
      Reason reason;
      const std::string text = format_selector(selector);
      const auto again = parse_selector(text, reason);
      RC_ASSERT(again);
      for (int i = 0; i < 8; ++i) {
        const LabelSet labels = *any_labels();
        RC_ASSERT(selector.matches(labels) == again->matches(labels));
      }
      RC_ASSERT(format_selector(*again) == text);
    });
  }

  void manifest_round_trips_in_yaml_and_json() {
    assert_property("manifest", [] {
      const StoredObject stored{*any_object(), *rc::gen::arbitrary<std::uint64_t>()};
      Reason reason;
      const auto from_yaml = parse_manifests(to_yaml({stored}), "", reason);
      RC_ASSERT(from_yaml);
      RC_ASSERT(from_yaml->front().object == stored.object);
      RC_ASSERT(from_yaml->front().resource_version == stored.version);
      const auto from_json = manifest_from_json(to_json(stored), reason);
      RC_ASSERT(from_json);
      RC_ASSERT(from_json->object == stored.object);
    });
  }

  void index_finds_what_a_scan_finds() {
    assert_property("label index", [] {
      const auto label_sets = *rc::gen::container<std::vector<LabelSet>>(any_labels());
      std::vector<std::unique_ptr<StoredObject>> objects;
      LabelIndex index;
      for (const auto& labels : label_sets) {
        const auto name = fmt::format("b{}", objects.size());
        objects.push_back(std::make_unique<StoredObject>(StoredObject{backend_object(name, 1, labels), 1}));
        index.add(objects.back().get());
      }
      const std::size_t removed = label_sets.size() / 3;
      for (std::size_t i = 0; i < removed; ++i) index.remove(objects[i].get());
      const Selector selector = *any_selector();
      ObjectSet scanned;
      for (std::size_t i = removed; i < objects.size(); ++i) {
        if (selector.matches(objects[i]->object.labels)) scanned.insert(objects[i].get());
      }
      RC_ASSERT(index.selected_by(selector) == scanned);
    });
  }

  void selector_index_finds_what_a_scan_finds() {
    assert_property("selector index", [] {
      const auto selectors = *rc::gen::container<std::vector<Selector>>(any_selector());
      std::vector<std::unique_ptr<StoredObject>> routes;
      SelectorIndex index([](const StoredObject& route) -> const Selector& {
        return std::get<RouteSpec>(route.object.spec).group_selector;
      });
      for (const auto& selector : selectors) {
        RouteSpec spec;
        spec.group_selector = selector;
        const auto name = fmt::format("r{}", routes.size());
        routes.push_back(std::make_unique<StoredObject>(StoredObject{Object{name, {}, spec}, 1}));
        index.add(routes.back().get());
      }
      const std::size_t removed = selectors.size() / 3;
      for (std::size_t i = 0; i < removed; ++i) index.remove(routes[i].get());
      const LabelSet labels = *any_labels();
      ObjectSet scanned;
      for (std::size_t i = removed; i < routes.size(); ++i) {
        if (selectors[i].matches(labels)) scanned.insert(routes[i].get());
      }
      RC_ASSERT(index.selecting(labels) == scanned);
    });
  }

  void state_machine_accepts_exactly_what_meets_the_rules() {
    assert_property("state machine", [] {
      StateMachine machine;
      for (int i = 0; i < 12; ++i) {
        const auto changes = *any_changes();
        const auto before = machine.list(std::nullopt);
        const auto after = model_after(before, changes, machine.revision() + 1);
        const auto outcome = machine.apply(change_of(fmt::format("c{}", i), changes));
        RC_ASSERT(outcome.accepted == meets_all_rules(after));
        RC_ASSERT(machine.list(std::nullopt) == (outcome.accepted ? after : before));
        if (i != 6) continue;
        StateMachine restored;
        Reason reason;
        RC_ASSERT(restored.restore_snapshot(machine.take_snapshot(), reason));
        machine = std::move(restored);
      }
    });
  }

  void damaged_manifests_parse_or_report_faults() {
    assert_property("damaged manifests", [] {
      std::string text = to_yaml({{*any_object(), 1}, {*any_object(), 2}});
      for (auto steps = *rc::gen::inRange(1, 5); steps > 0; --steps) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto from = *rc::gen::inRange<std::size_t>(0, text.size());
        if (*rc::gen::arbitrary<bool>()) {
          text[at] = *rc::gen::arbitrary<char>();
        } else {
          text.insert(at, text.substr(from, *rc::gen::inRange<std::size_t>(1, 40)));
        }
      }
      Reason reason;
      if (!parse_manifests(text, "f", reason)) RC_ASSERT(reason.code == ReasonCode::kInvalidArgument);
    });
  }

  void parsers_survive_random_bytes() {
    assert_property(
        "parsers",
        [] {
          const auto text = *rc::gen::container<std::string>(
              rc::gen::element('a', 'b', ':', ' ', '\n', '-', '{', '}', '[', ']', ',', '"', '\'', '&', '*',
                               '!', '(', ')', '=', '0'));
          Reason reason;
          if (!parse_manifests(text, "f", reason)) RC_ASSERT(reason.code == ReasonCode::kInvalidArgument);
          if (!parse_selector(text, reason)) RC_ASSERT(reason.code == ReasonCode::kInvalidArgument);
          if (!parse_json(text, reason)) RC_ASSERT(reason.code == ReasonCode::kInvalidArgument);
        },
        1000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigPropertiesTest);

}  // namespace cairnhollow::declared::config

// Tests that the members of many groups at once follow from their selectors and that leaving members are
// marked.
#include "declared/control/failover/group_definition.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace cairnhollow::declared::control {
namespace {

config::StoredObject backend(int number) {
  config::StoredObject stored;
  stored.object.name = fmt::format("backend-{:03}", number);
  stored.object.labels.entries["group"] = fmt::format("g{}", number / 3);
  if (number % 2 == 0) stored.object.labels.entries["even"] = "yes";
  config::BackendSpec spec;
  spec.zone = ZoneName(fmt::format("zone-{}", number % 3));
  spec.drain = number == 4;
  stored.object.spec = spec;
  return stored;
}

config::StoredObject group(const std::string& name, config::Selector selector) {
  config::StoredObject stored;
  stored.object.name = name;
  config::DatabaseGroupSpec spec;
  spec.backend_selector = std::move(selector);
  stored.object.spec = spec;
  return stored;
}

config::Selector expression(const std::string& key, config::SelectorOperator op,
                            std::vector<std::string> values = {}) {
  config::Selector selector;
  selector.match_expressions.push_back({key, op, std::move(values)});
  return selector;
}

class GroupDefinitionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupDefinitionTest);
  CPPUNIT_TEST(selects_members_by_selector);
  CPPUNIT_TEST(marks_leaving_members);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    objects_.clear();
    for (int number = 29; number >= 0; --number) objects_.push_back(backend(number));
  }

  void selects_members_by_selector() {
    config::Selector by_label;
    by_label.match_labels.entries["group"] = "g2";
    config::Selector two_labels = by_label;
    two_labels.match_labels.entries["even"] = "yes";
    const std::vector<config::Selector> selectors{
        by_label,
        two_labels,
        expression("group", config::SelectorOperator::kIn, {"g1", "g7"}),
        expression("group", config::SelectorOperator::kNotIn, {"g1", "g7"}),
        expression("even", config::SelectorOperator::kExists),
        expression("even", config::SelectorOperator::kDoesNotExist),
        config::Selector{}};
    for (std::size_t number = 0; number < selectors.size(); ++number) {
      objects_.push_back(group(fmt::format("group-{}", number), selectors[number]));
    }
    const auto definitions = group_definitions(objects_, {});
    CPPUNIT_ASSERT_EQUAL(selectors.size(), definitions.size());
    for (std::size_t number = 0; number < selectors.size(); ++number) {
      std::vector<std::string> expected;
      for (int candidate = 0; candidate < 30; ++candidate) {
        const auto stored = backend(candidate);
        if (selectors[number].matches(stored.object.labels)) expected.push_back(stored.object.name);
      }
      CPPUNIT_ASSERT_EQUAL(fmt::format("group-{}", number), definitions[number].group.value);
      CPPUNIT_ASSERT(expected == names(definitions[number]));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, definitions[0].members.size());
  }

  void marks_leaving_members() {
    objects_.push_back(group("all", config::Selector{}));
    const auto definitions = group_definitions(objects_, {"backend-007"});
    for (const auto& member : definitions.front().members) {
      const bool expected = member.backend.value == "backend-004" || member.backend.value == "backend-007";
      CPPUNIT_ASSERT_EQUAL(expected, member.leaving);
    }
  }

 private:
  static std::vector<std::string> names(const GroupDefinition& definition) {
    std::vector<std::string> names;
    for (const auto& member : definition.members) names.push_back(member.backend.value);
    return names;
  }

  std::vector<config::StoredObject> objects_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupDefinitionTest);

}  // namespace
}  // namespace cairnhollow::declared::control

#include "tests/declared/config/generators.h"

#include <set>

namespace cairnhollow::declared::config {

namespace {

rc::Gen<std::string> any_key() { return rc::gen::element<std::string>("zone", "tier", "team/app"); }

rc::Gen<std::string> any_value() { return rc::gen::element<std::string>("a", "b", "", "1", "true"); }

rc::Gen<SelectorExpression> any_expression() {
  return rc::gen::exec([] {
    SelectorExpression expression;
    expression.key = *any_key();
    expression.op = *rc::gen::element(SelectorOperator::kIn, SelectorOperator::kNotIn,
                                      SelectorOperator::kExists, SelectorOperator::kDoesNotExist);
    const bool takes_values =
        expression.op == SelectorOperator::kIn || expression.op == SelectorOperator::kNotIn;
    const int count = takes_values ? *rc::gen::inRange(1, 4) : 0;
    for (int i = 0; i < count; ++i) expression.values.push_back(*any_value());
    return expression;
  });
}

rc::Gen<ObjectSpec> any_spec() {
  return rc::gen::exec([]() -> ObjectSpec {
    const Endpoint endpoint{"10.0.0.1", *rc::gen::inRange<std::uint16_t>(1, 6)};
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        return ProxySpec{ZoneName("kelburn"), endpoint, *rc::gen::arbitrary<bool>()};
      case 1:
        return BackendSpec{ZoneName("petone"), endpoint, *rc::gen::arbitrary<bool>()};
      case 2: {
        const auto first = *rc::gen::inRange<std::uint32_t>(0, 8);
        const auto last = *rc::gen::inRange<std::uint32_t>(first, 8);
        return DatabaseGroupSpec{*any_selector(), {first, last}, *rc::gen::inRange(1U, 99U), 5};
      }
      default: {
        RouteSpec route;
        route.precedence = *rc::gen::inRange(0U, 9U);
        route.statement_selector = *any_selector();
        route.group_selector = *any_selector();
        route.replica_selector = *any_selector();
        route.replica_reads = *rc::gen::arbitrary<bool>();
        route.max_staleness_milliseconds = *rc::gen::inRange<std::uint64_t>(0, 90'000);
        route.replica_wait_milliseconds = *rc::gen::inRange<std::uint64_t>(0, 10'000);
        return route;
      }
    }
  });
}

}  // namespace

rc::Gen<LabelSet> any_labels() {
  return rc::gen::exec([] {
    LabelSet labels;
    const int count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i) labels.entries[*any_key()] = *any_value();
    return labels;
  });
}

rc::Gen<Selector> any_selector() {
  return rc::gen::exec([] {
    Selector selector;
    selector.match_labels = *any_labels();
    const int count = *rc::gen::inRange(0, 3);
    for (int i = 0; i < count; ++i) selector.match_expressions.push_back(*any_expression());
    return selector;
  });
}

rc::Gen<Object> any_object() {
  return rc::gen::exec([] {
    return Object{*rc::gen::element<std::string>("one", "two", "three", "four"), *any_labels(), *any_spec()};
  });
}

rc::Gen<std::vector<ObjectChange>> any_changes() {
  return rc::gen::exec([] {
    std::vector<ObjectChange> changes;
    std::set<ObjectKey> named;
    const int count = *rc::gen::inRange(1, 5);
    for (int i = 0; i < count; ++i) {
      const Object object = *any_object();
      if (!named.insert(object.key()).second) continue;
      const bool deletion = *rc::gen::inRange(0, 5) == 0;
      changes.push_back({object, deletion, std::nullopt});
    }
    return changes;
  });
}

}  // namespace cairnhollow::declared::config

#include "declared/routing/route_table.h"

#include <set>

namespace cairnhollow::declared::routing {

namespace {

constexpr const char* kDatabaseLabel = "database";

/// Returns the databases to which the selector is restricted; empty if it is not restricted.
std::set<std::string> databases_named(const config::Selector& selector) {
  const auto exact = selector.match_labels.find(kDatabaseLabel);
  if (exact) return {*exact};
  for (const auto& expression : selector.match_expressions) {
    if (expression.key != kDatabaseLabel || expression.op != config::SelectorOperator::kIn) continue;
    return {expression.values.begin(), expression.values.end()};
  }
  return {};
}

DatabaseRoutes routes_of(const RouteTable& table, const std::string& database) {
  const auto* known = table.by_database.find(database);
  return known == nullptr ? DatabaseRoutes{database, {}} : **known;
}

}  // namespace

void add_route(RouteTable& table, const RoutePointer& route) {
  const auto databases = databases_named(route->spec.statement_selector);
  if (databases.empty()) table.any_database.put(route);
  for (const auto& database : databases) {
    auto changed = routes_of(table, database);
    changed.routes.put(route);
    table.by_database.put(std::make_shared<const DatabaseRoutes>(std::move(changed)));
  }
}

void remove_route(RouteTable& table, const RouteView& route) {
  const RouteRank rank{route.spec.precedence, &route.name};
  const auto databases = databases_named(route.spec.statement_selector);
  if (databases.empty()) table.any_database.erase(rank);
  for (const auto& database : databases) {
    auto changed = routes_of(table, database);
    changed.routes.erase(rank);
    if (changed.routes.empty()) {
      table.by_database.erase(database);
    } else {
      table.by_database.put(std::make_shared<const DatabaseRoutes>(std::move(changed)));
    }
  }
}

}  // namespace cairnhollow::declared::routing

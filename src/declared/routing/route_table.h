// Maintains the index of routes by database.
#pragma once

#include "declared/routing/decision.h"

namespace cairnhollow::declared::routing {

/// Adds a route in time proportional to the number of databases it names. The table must not contain a route
/// with the same precedence and name.
void add_route(RouteTable& table, const RoutePointer& route);

/// Removes a route; it must be in the table.
void remove_route(RouteTable& table, const RouteView& route);

}  // namespace cairnhollow::declared::routing

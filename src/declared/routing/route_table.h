// Keeps the index by which a statement's route is found.
#pragma once

#include "declared/routing/decision.h"

namespace cairnhollow::declared::routing {

/// Takes a route into the table; costs in proportion to the databases that it names. The table must not hold
/// a route with its precedence and name.
void add_route(RouteTable& table, const RoutePointer& route);

/// Takes out a route that is in the table.
void remove_route(RouteTable& table, const RouteView& route);

}  // namespace cairnhollow::declared::routing

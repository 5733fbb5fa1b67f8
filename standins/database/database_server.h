// The stand-in database's role: one member of a replicated database group.
#pragma once

#include <memory>

#include "runtime/role.h"
#include "runtime/runtime.h"
#include "standins/database/settings.h"

namespace cairnhollow::standins::database {

std::unique_ptr<runtime::Role> make_database(runtime::Runtime& runtime, DatabaseSettings settings);

}  // namespace cairnhollow::standins::database

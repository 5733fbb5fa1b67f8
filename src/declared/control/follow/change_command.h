// A change of the configuration as an entry of the replicated log.
#pragma once

#include <optional>
#include <string>

#include "base/reason.h"
#include "declared/config/change_outcome.h"
#include "wire/format.h"

namespace cairnhollow::declared::control {

/// Written in the format `feature_level`. Empty with kUnsupported when the change says something that the
/// format can't hold: voters of an earlier build would drop it, and their configuration would be another one.
std::optional<std::string> encode_change(const config::ChangeRequest& request, wire::Format feature_level,
                                         Reason& reason);

}  // namespace cairnhollow::declared::control

// Encodes a configuration change as an entry of the replicated log.
#pragma once

#include <optional>
#include <string>

#include "base/reason.h"
#include "declared/config/change_outcome.h"
#include "wire/format.h"

namespace cairnhollow::declared::control {

/// Encodes `request` in format `feature_level`. Returns std::nullopt and sets kUnsupported if the request
/// uses a field that this format cannot represent: voters running an earlier build would drop the field, and
/// their configuration would diverge.
std::optional<std::string> encode_change(const config::ChangeRequest& request, wire::Format feature_level,
                                         Reason& reason);

}  // namespace cairnhollow::declared::control

// A History as a text file: one JSON object a line, an operation or a final record each.
#pragma once

#include <optional>
#include <string>

#include "base/reason.h"
#include "standins/callers/history.h"

namespace cairnhollow::standins::callers {

std::string write_history(const History& history);
/// kCorrupt names the first line that is not one.
std::optional<History> read_history(const std::string& text, Reason& reason);

}  // namespace cairnhollow::standins::callers

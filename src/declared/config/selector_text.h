// One-line text form of selectors, as in kubectl's -l option: "zone=kelburn,tier in (a,b),!legacy".
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/reason.h"
#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

/// Returns "In", "NotIn", "Exists" or "DoesNotExist".
std::string_view selector_operator_name(SelectorOperator op);
std::optional<SelectorOperator> parse_selector_operator(std::string_view name);

/// Parses comma-separated clauses: `key=value` (or `==`), `key!=value`, `key in (a,b)`, `key notin (a,b)`,
/// `key`, `!key`. Blank text selects everything. Fails with kInvalidArgument naming the malformed clause.
std::optional<Selector> parse_selector(const std::string& text, Reason& reason);
/// Inverse of parse_selector(); "" for the empty selector.
std::string format_selector(const Selector& selector);

}  // namespace cairnhollow::declared::config

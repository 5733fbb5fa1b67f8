// Formats a routing decision as JSON for GET /v1/explain, using the decision type of the executors.
#pragma once

#include <optional>
#include <string>

#include "declared/proxy/calls/decision_log.h"
#include "declared/proxy/settings.h"
#include "declared/routing/choice.h"
#include "http/request_target.h"
#include "runtime/http.h"

namespace cairnhollow::declared::proxy {

/// Input for the decision on a hypothetical statement.
struct ExplainContext {
  const routing::RoutingView& view;
  const routing::BackendEstimates& estimates;
  routing::ChoiceSettings settings;
  TimePoint now;
  const ProxySettings& proxy;  ///< settings of this proxy
  bool lease_valid = true;     ///< whether the domain's lease is valid
};

/// {"domain" (where named), "group", "route", "term", "candidates": [{"backend", "endpoint", "is_primary"}],
/// "passed_over": [{"backend", "code", "step", "detail"}], "refusal": {"code", "step", "peer", "detail"},
/// "forwarded_to": {"proxy", "endpoint", "detail"}}
std::string decision_json(const routing::Decision& decision);

/// Returns the decision that `target` asks for: that of a recent request (session, number) or of a
/// hypothetical statement (database, partition_key, kind, session_token, label.KEY). Returns std::nullopt
/// with kInvalidArgument or kNotFound.
std::optional<routing::Decision> explain(const http::RequestTarget& target, const DecisionLog& decisions,
                                         const ExplainContext& context, Reason& reason);

}  // namespace cairnhollow::declared::proxy

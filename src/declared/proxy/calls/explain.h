// A decision as JSON, for GET /v1/explain: the same value that the executors go by.
#pragma once

#include <optional>
#include <string>

#include "declared/proxy/calls/decision_log.h"
#include "declared/proxy/settings.h"
#include "declared/routing/choice.h"
#include "http/request_target.h"
#include "runtime/http.h"

namespace cairnhollow::declared::proxy {

/// What a hypothetical statement is decided on.
struct ExplainContext {
  const routing::RoutingView& view;
  const routing::BackendEstimates& estimates;
  routing::ChoiceSettings settings;
  TimePoint now;
  const ProxySettings& proxy;  ///< this one's
  bool lease_valid = true;     ///< of the domain
};

/// {"domain" (where named), "group", "route", "term", "candidates": [{"backend", "endpoint", "is_primary"}],
/// "passed_over": [{"backend", "code", "step", "detail"}], "refusal": {"code", "step", "peer", "detail"},
/// "forwarded_to": {"proxy", "endpoint", "detail"}}
std::string decision_json(const routing::Decision& decision);

/// The decision that `target` asks for: of a recent request (session, number) or of a hypothetical statement
/// (database, partition_key, kind, session_token, label.KEY). Empty with kInvalidArgument or kNotFound.
std::optional<routing::Decision> explain(const http::RequestTarget& target, const DecisionLog& decisions,
                                         const ExplainContext& context, Reason& reason);

}  // namespace cairnhollow::declared::proxy

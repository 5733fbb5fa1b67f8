// Readiness, metrics and explain requests of the caller API, per domain.
#include <boost/json.hpp>

#include "declared/proxy/calls/caller_api.h"
#include "declared/proxy/calls/explain.h"

namespace cairnhollow::declared::proxy {

namespace json = boost::json;

using runtime::HttpResponse;

namespace {

constexpr unsigned kOk = 200;

DomainGauges gauges_of(Domain& domain) {
  DomainGauges gauges;
  gauges.domain = domain.name();
  gauges.transactions_open = domain.transactions().open() + domain.forwarded_transactions().open();
  gauges.forwards = domain.forwarder().statistics();
  gauges.hop_connections = domain.forwarder().connections();
  gauges.retries_left = domain.budget().retries_left();
  gauges.waiting_for_change = domain.state().serving.waiting();
  gauges.reads_held = domain.state().positions.waiting();
  gauges.revision = domain.state().serving.view()->revision;
  gauges.lease_valid = domain.lease_valid();
  gauges.follow_moves = domain.follow().statistics().node_switches;
  for (const auto& [backend, admission] : domain.access().admissions()) {
    gauges.admissions.emplace(backend, admission->statistics());
  }
  return gauges;
}

}  // namespace

HttpResponse CallerApi::get_readiness() const {
  Reason reason;
  bool ready = false;
  json::array domains;
  for (const auto& domain : domains_.all()) {
    Reason not_ready;
    const bool admitted = admit(*domain, false, not_ready);
    if (!admitted) reason = not_ready;
    ready = ready || admitted;
    json::object domain_status{{"name", domain->name().value},
                               {"ready", admitted},
                               {"revision", domain->state().serving.view()->revision},
                               {"lease_valid", domain->lease_valid()}};
    if (!admitted) domain_status["reason"] = not_ready.to_string();
    domains.push_back(std::move(domain_status));
  }
  if (ready && !redirects_callers()) {
    json::object body{{"ready", true}};
    const auto& first = *domains_.all().front();
    if (first.name().empty()) {
      body["revision"] = first.state().serving.view()->revision;
    } else {
      body["domains"] = std::move(domains);
    }
    return text_answer(kOk, "application/json", json::serialize(body) + "\n");
  }
  if (ready) reason = Reason{ReasonCode::kDraining, "readiness", "", "this proxy is leaving"};
  auto refused = refuse(std::move(reason));
  set_renewal_retry(refused);
  return refusal_answer(refused, std::nullopt);
}

HttpResponse CallerApi::get_metrics() {
  ProxyGauges gauges;
  gauges.requests_in_flight = requests_.count();
  for (const auto& domain : domains_.all()) gauges.domains.push_back(gauges_of(*domain));
  return text_answer(kOk, runtime::kMetricsContentType, metrics_.render(gauges));
}

HttpResponse CallerApi::get_explain(const http::RequestTarget& target) {
  Reason reason;
  // A recent request is looked up by its id, in any domain.
  const DatabaseName database(target.parameter("database"));
  auto* domain =
      database.empty() ? domains_.all().front().get() : domains_.find_by_database(database, reason);
  if (domain == nullptr) return refusal_answer(refuse(std::move(reason)), std::nullopt);
  const auto view = domain->state().serving.view();
  const ExplainContext context{*view,
                               domain->state().estimates,
                               routing::ChoiceSettings{settings_.zone, settings_.replica_wait},
                               runtime_.now(),
                               settings_,
                               domain->lease_valid()};
  const auto decision = explain(target, decisions_, context, reason);
  if (!decision) return refusal_answer(refuse(std::move(reason)), std::nullopt);
  return text_answer(kOk, "application/json", decision_json(*decision));
}

}  // namespace cairnhollow::declared::proxy

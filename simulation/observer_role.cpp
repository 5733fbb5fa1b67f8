#include "simulation/observer_role.h"

#include <boost/json.hpp>

#include "cli/operator_client.h"
#include "declared/backend/http_backend.h"

namespace cairnhollow::simulation {

namespace {

constexpr Duration kBackendInterval = std::chrono::milliseconds(100);
constexpr Duration kProxyInterval = std::chrono::milliseconds(100);
constexpr Duration kControlInterval = std::chrono::milliseconds(500);
constexpr Duration kAnswerLimit = std::chrono::milliseconds(500);
constexpr const char* kReadinessTarget = "/readyz";

/// Reads the answer to a readiness question: one observation, or one of each domain.
std::vector<ProxyObservation> read_readiness(const runtime::HttpResponse& response,
                                             const ProxyObservation& asked) {
  constexpr unsigned kStatusOk = 200;
  if (response.status != kStatusOk) return {asked};
  const boost::json::value document = boost::json::parse(response.body);
  std::vector<ProxyObservation> observations;
  const auto* domains = document.as_object().if_contains("domains");
  if (domains == nullptr) {
    observations.push_back(asked);
    observations.back().serves = true;
    observations.back().revision = document.at("revision").to_number<std::uint64_t>();
    return observations;
  }
  for (const auto& domain : domains->as_array()) {
    observations.push_back(asked);
    observations.back().domain = DomainName(std::string(domain.at("name").as_string()));
    observations.back().serves = domain.at("ready").as_bool();
    observations.back().revision = domain.at("revision").to_number<std::uint64_t>();
  }
  return observations;
}

}  // namespace

ObserverRole::ObserverRole(runtime::Runtime& runtime, const Deployment& deployment,
                           const Scheduler& scheduler)
    : runtime_(runtime),
      deployment_(deployment),
      scheduler_(scheduler),
      connector_(declared::backend::make_http_backend_connector(
          runtime, declared::backend::ConnectionPurpose::kControl)) {}

Awaitable<bool> ObserverRole::start(Reason& /*reason*/) {
  for (const auto& settings : deployment_.databases) {
    runtime_.spawn("observe_backend", observe_backend(settings.backend, settings.endpoint));
  }
  for (const auto& settings : deployment_.proxies) {
    runtime_.spawn("observe_proxy", observe_proxy(settings.node.value, settings.caller_endpoint));
  }
  for (const auto& settings : deployment_.control_nodes) {
    const auto node = settings.node.value;
    runtime_.spawn("observe_control_node", observe_control_node(node, settings.operator_endpoint));
  }
  co_return true;
}

Awaitable<void> ObserverRole::drain() { co_return; }

Awaitable<void> ObserverRole::observe_backend(BackendName backend, Endpoint endpoint) {
  std::shared_ptr<declared::backend::BackendConnection> connection;
  while (true) {
    Reason reason;
    const TimePoint deadline = runtime_.now() + kAnswerLimit;
    if (!connection || !connection->is_open()) {
      connection = co_await connector_->open(backend, endpoint, deadline, reason);
    }
    if (connection) {
      BackendObservation observation;
      observation.asked = scheduler_.now();
      const auto status = co_await connection->status(deadline, reason);
      observation.answered = scheduler_.now();
      if (status) {
        observation.status = *status;
        take(std::move(observation));
      }
    }
    co_await runtime_.sleep_for(kBackendInterval);
  }
}

void ObserverRole::take(BackendObservation observation) {
  const declared::backend::BackendStatus& status = observation.status;
  const bool is_primary = status.role == declared::backend::BackendRole::kPrimary;
  if (is_primary && status.term > term_of(status.group)) {
    primary_changes_.push_back({status.group, status.term, status.backend, observation.answered});
  }
  backends_[status.backend] = std::move(observation);
}

std::uint64_t ObserverRole::term_of(const GroupName& group) const {
  std::uint64_t term = 0;
  for (const PrimaryChange& change : primary_changes_) {
    if (change.group == group) term = std::max(term, change.term);
  }
  return term;
}

BackendName ObserverRole::primary_of(const GroupName& group) const {
  BackendName primary;
  for (const PrimaryChange& change : primary_changes_) {
    if (change.group == group) primary = change.primary;  // terms only grow
  }
  return primary;
}

Awaitable<void> ObserverRole::observe_proxy(std::string proxy, Endpoint endpoint) {
  std::shared_ptr<runtime::HttpConnection> connection;
  while (true) {
    Reason reason;
    const TimePoint deadline = runtime_.now() + kAnswerLimit;
    if (!connection || !connection->is_open()) {
      connection = co_await runtime_.http().connect(endpoint, deadline, reason);
    }
    if (connection) {
      ProxyObservation observation;
      observation.proxy = proxy;
      observation.asked = scheduler_.now();
      runtime::HttpRequest request;
      request.target = kReadinessTarget;
      auto sent = runtime::SendState::kNotSent;
      const auto response = co_await connection->exchange(std::move(request), deadline, sent, reason);
      observation.answered = scheduler_.now();
      if (response) {
        for (auto& told : read_readiness(*response, observation)) proxies_.push_back(std::move(told));
      }
    }
    co_await runtime_.sleep_for(kProxyInterval);
  }
}

Awaitable<void> ObserverRole::observe_control_node(std::string node, Endpoint endpoint) {
  cli::OperatorClientSettings settings;
  settings.servers = {endpoint};
  cli::OperatorClient client(runtime_, settings);
  while (true) {
    Reason reason;
    const TimePoint deadline = runtime_.now() + kAnswerLimit;
    const auto status = co_await client.status(deadline, reason);
    if (status) control_nodes_[node] = {status->leader.value, status->consensus_term, status->revision};
    co_await runtime_.sleep_for(kControlInterval);
  }
}

}  // namespace cairnhollow::simulation

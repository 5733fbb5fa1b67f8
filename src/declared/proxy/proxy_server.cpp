#include "declared/proxy/proxy_server.h"

#include "declared/backend/http_backend.h"
#include "declared/proxy/calls/caller_api.h"
#include "declared/proxy/domain/domain_table.h"
#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

namespace {

/// Owns and wires the components; each member is used only by members declared after it.
class ProxyServer : public runtime::Role {
 public:
  ProxyServer(runtime::Runtime& runtime, ProxySettings settings)
      : runtime_(runtime),
        settings_(std::move(settings)),
        statement_connector_(backend::make_http_backend_connector(runtime)),
        control_connector_(
            backend::make_http_backend_connector(runtime, backend::ConnectionPurpose::kControl)),
        domains_(DomainContext{runtime, settings_, *statement_connector_, *control_connector_, decisions_}),
        api_(CallerServices{runtime, settings_, domains_, decisions_}) {}

  Awaitable<bool> start(Reason& reason) override {
    server_ = runtime_.http().serve(settings_.caller_endpoint, api_, reason);
    if (!server_) co_return false;
    for (const auto& domain : domains_.all()) domain->start();
    runtime_.spawn("report_load", report_load());
    co_return true;
  }

  Awaitable<void> drain() override {
    draining_ = true;
    api_.start_draining();
    report_load_once();
    // Connections are still accepted: new callers are told to reconnect elsewhere, and a connection with an
    // open transaction must not be closed by its next answer.
    const TimePoint drain_deadline = runtime_.now() + settings_.drain_limit;
    while (busy() && runtime_.now() < drain_deadline) co_await runtime_.sleep_for(kDrainPollInterval);
    domains_.abandon_transactions();
    const TimePoint rollback_deadline = runtime_.now() + kRollbackLimit;
    while (busy() && runtime_.now() < rollback_deadline) co_await runtime_.sleep_for(kDrainPollInterval);
    // A caller with an idle connection may be sending its next request right now. Closing the connection
    // would leave that request unanswered; instead it is answered, and the connection is closed with the
    // answer.
    while (api_.caller_connections() > 0 && runtime_.now() < drain_deadline) {
      co_await runtime_.sleep_for(kDrainPollInterval);
    }
    server_->stop_accepting();
    // Gives callers that have connected but sent nothing yet time to be told to reconnect elsewhere, and lets
    // the last answers leave.
    co_await runtime_.sleep_for(kDrainLinger);
    server_->close();
    for (const auto& domain : domains_.all()) domain->stop();
  }

 private:
  [[nodiscard]] bool busy() const { return api_.in_flight() > 0 || domains_.open_transactions() > 0; }

  void report_load_once() {
    for (const auto& domain : domains_.all()) domain->report_load(api_.in_flight(), draining_);
  }

  /// Reports this proxy's load to control with the next follow request.
  Awaitable<void> report_load() {
    while (!draining_) {
      report_load_once();
      for (const auto& domain : domains_.all()) domain->log_lease();
      co_await runtime_.sleep_for(settings_.follow_interval);
    }
  }

  runtime::Runtime& runtime_;
  ProxySettings settings_;
  std::unique_ptr<backend::BackendConnector> statement_connector_;
  std::unique_ptr<backend::BackendConnector> control_connector_;
  DecisionLog decisions_;
  DomainTable domains_;
  CallerApi api_;
  std::unique_ptr<runtime::HttpServer> server_;
  bool draining_ = false;
};

}  // namespace

std::unique_ptr<runtime::Role> make_proxy(runtime::Runtime& runtime, ProxySettings settings) {
  return std::make_unique<ProxyServer>(runtime, std::move(settings));
}

}  // namespace cairnhollow::declared::proxy

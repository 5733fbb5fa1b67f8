#include "registered/proxy/session_proxy.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>

#include "registered/proxy/callers/caller_session.h"
#include "registered/proxy/fleet/fleet_link.h"
#include "registered/proxy/fleet/fleet_view.h"
#include "registered/proxy/fleet/known_registrations.h"
#include "registered/proxy/forwarding/forward_server.h"
#include "registered/proxy/group/link_warming.h"
#include "registered/proxy/group/member_lease_keeper.h"
#include "registered/proxy/group/position_keeper.h"
#include "registered/proxy/session_metrics.h"
#include "registered/proxy/watch_tick.h"

namespace cairnhollow::registered::proxy {

using runtime::LogLevel;

namespace {

/// With less than this left of its lease a proxy is not ready for new sessions: two renewals in a row have
/// failed.
inline constexpr Duration kMinReadyLease = std::chrono::milliseconds(500);
/// Idle sessions are closed after this time without a lease, so that their callers reconnect to another
/// proxy.
inline constexpr Duration kCloseIdleAfter = std::chrono::milliseconds(2300);
/// Time after SIGTERM for which new callers may still arrive and the drain closes no session.
inline constexpr Duration kDrainIdleAfter = std::chrono::milliseconds(2300);
/// Reading of statements stops kDrainMargin before the drain limit. Statements already read are answered
/// until kDrainLastMargin before it, polled every kDrainLastTick.
inline constexpr Duration kDrainMargin = std::chrono::milliseconds(800);
inline constexpr Duration kDrainLastMargin = std::chrono::milliseconds(200);
inline constexpr Duration kDrainLastTick = std::chrono::milliseconds(20);

/// Serves readiness probes and metrics over HTTP.
class ReadinessHandler : public runtime::HttpHandler {
 public:
  ReadinessHandler(std::string path, std::function<bool()> is_ready, std::function<std::string()> render)
      : path_(std::move(path)), is_ready_(std::move(is_ready)), render_(std::move(render)) {}

  Awaitable<runtime::HttpResponse> handle(runtime::HttpRequest request,
                                          runtime::HttpConnectionId /*connection*/) override {
    runtime::HttpResponse response;
    if (request.target == path_) {
      response.status = is_ready_() ? 200 : 503;
    } else if (request.target == "/metrics") {
      response.headers.fields["content-type"] = runtime::kMetricsContentType;
      response.body = render_();
    } else {
      response.status = 404;
    }
    co_return response;
  }

 private:
  std::string path_;
  std::function<bool()> is_ready_;
  std::function<std::string()> render_;
};

/// Must live until the process ends, because the coroutines of its members refer to it.
class SessionProxy : public runtime::Role {
 public:
  SessionProxy(runtime::Runtime& runtime, SessionProxySettings settings, const SessionProtocols& protocols)
      : runtime_(runtime),
        settings_(std::move(settings)),
        callers_(protocols.make_callers()),
        dialer_(protocols.make_dialer(runtime, settings_.node)),
        view_(runtime, *dialer_, settings_),
        link_(runtime, settings_, view_),
        member_leases_(runtime, view_, metrics_),
        positions_(runtime, view_),
        forwarder_(runtime, settings_.node, settings_.zone, locality::RegionMap(settings_.zone_regions)),
        limits_(runtime, view_, forwarder_, metrics_),
        owners_(runtime, settings_.node, settings_.zone, locality::RegionMap(settings_.zone_regions),
                wire::Conversation::kBackendRoom),
        demands_(runtime, view_, owners_),
        overload_(runtime, settings_.link_rate),
        services_{runtime, view_, link_, metrics_, forwarder_, limits_, demands_, overload_, waiting_},
        forward_server_(services_),
        known_registrations_(runtime, view_, link_, metrics_),
        readiness_(
            protocols.readiness_path, [this] { return is_ready(); }, [this] { return render_metrics(); }) {
    if (protocols.make_registrations) registrations_ = protocols.make_registrations(known_registrations_);
  }

  Awaitable<bool> start(Reason& reason) override;
  Awaitable<void> drain() override;

 private:
  Awaitable<void> finish_answers(TimePoint deadline);
  Awaitable<void> accept_callers();
  Awaitable<void> serve(std::shared_ptr<runtime::LineConnection> lines);
  Awaitable<void> watch();
  Awaitable<void> warm_links();
  void watch_primaries(TimePoint now);
  void check_primary(const std::shared_ptr<GroupAccess>& group);
  Awaitable<void> dial_primary(std::shared_ptr<GroupAccess> group);
  void close_idle_sessions();
  void watch_lease(TimePoint now);
  /// Updates the metrics of the gates of all backends.
  void report_gates();
  void log_return();
  void trim_links(TimePoint now);
  void measure_owned_backends();
  /// Aborts transactions and closes backend links in evacuated zones.
  void end_evacuated_work();
  /// Turns false before the lease expires, since new callers keep arriving for a while afterwards.
  [[nodiscard]] bool is_ready() const {
    return !draining_ && runtime_.now() + kMinReadyLease < view_.lease_until();
  }
  std::string render_metrics();

  runtime::Runtime& runtime_;
  SessionProxySettings settings_;
  std::unique_ptr<CallerProtocol> callers_;
  std::unique_ptr<BackendDialer> dialer_;
  SessionMetrics metrics_;
  FleetView view_;
  FleetLink link_;
  MemberLeaseRenewer member_leases_;
  PositionRefresher positions_;
  Forwarder forwarder_;
  LimitClient limits_;
  Forwarder owners_;  ///< connections to other owners of backends
  DemandExchange demands_;
  OverloadControl overload_;
  placement::WaitingRoom waiting_;
  SessionServices services_;
  ForwardServer forward_server_;
  KnownRegistrations known_registrations_;
  std::unique_ptr<runtime::HttpHandler> registrations_;
  ReadinessHandler readiness_;
  std::unique_ptr<runtime::LineListener> listener_;
  std::unique_ptr<runtime::HttpServer> registration_server_;
  std::unique_ptr<runtime::HttpServer> readiness_server_;
  std::unique_ptr<runtime::HttpServer> metrics_server_;
  std::map<std::uint64_t, std::shared_ptr<CallerSession>> sessions_;
  std::set<GroupName> primaries_being_checked_;  ///< groups whose primary is being test-dialled
  std::uint64_t next_session_ = 1;
  bool had_lease_ = false;
  bool draining_ = false;
  bool stopped_ = false;
};

Awaitable<bool> SessionProxy::start(Reason& reason) {
  link_.start();
  member_leases_.start();
  positions_.start();
  overload_.start();
  runtime_.spawn("session_watch", watch());
  runtime_.spawn("session_warm", warm_links());
  listener_ = runtime_.lines().listen(settings_.session_endpoint, reason);
  if (!listener_) co_return false;
  runtime_.spawn("session_accept", accept_callers());
  if (!forward_server_.start(settings_.peer_endpoint, reason)) co_return false;
  if (registrations_) {
    const Endpoint endpoint = registry::registration_relay_endpoint(settings_.peer_endpoint);
    registration_server_ = runtime_.http().serve(endpoint, *registrations_, reason);
    if (!registration_server_) co_return false;
  }
  readiness_server_ = runtime_.http().serve(settings_.readiness_endpoint, readiness_, reason);
  if (!readiness_server_) co_return false;
  if (!settings_.metrics_endpoint) co_return true;
  metrics_server_ = runtime_.http().serve(*settings_.metrics_endpoint, readiness_, reason);
  co_return metrics_server_ != nullptr;
}

Awaitable<void> SessionProxy::accept_callers() {
  while (!stopped_) {
    Reason reason;
    auto lines = co_await listener_->accept(reason);
    if (!lines) co_return;
    runtime_.spawn("session", serve(std::move(lines)));
  }
}

Awaitable<void> SessionProxy::serve(std::shared_ptr<runtime::LineConnection> lines) {
  const auto caller = callers_->wrap(std::move(lines));
  const auto session = std::make_shared<CallerSession>(services_, caller);
  if (sessions_.size() >= settings_.session_limit) {
    co_await session->refuse_at_limit();
    co_return;
  }
  const std::uint64_t id = next_session_++;
  sessions_.emplace(id, session);
  co_await session->run();
  sessions_.erase(id);
}

void SessionProxy::watch_primaries(TimePoint now) {
  for (const auto& [name, group] : view_.groups()) {
    bool commits_only = false;
    if (!group->primary_health.is_silent(now, commits_only)) continue;
    link_.report_suspicion(*group, commits_only ? SuspicionKind::kCommitsStall : SuspicionKind::kSilent);
    if (!commits_only) check_primary(group);
  }
}

/// Opens a test connection to tell a slow primary from an unreachable one.
void SessionProxy::check_primary(const std::shared_ptr<GroupAccess>& group) {
  if (!primaries_being_checked_.insert(group->name).second) return;
  runtime_.spawn("check_primary", dial_primary(group));
}

Awaitable<void> SessionProxy::dial_primary(std::shared_ptr<GroupAccess> group) {
  const auto primary = group->evaluator.primary();
  bool reached = true;
  if (primary) {
    std::optional<Refusal> refusal;
    Reason reason;
    const auto link =
        co_await dialer_->open(primary->pool.address(), runtime_.now() + kDialTimeout, refusal, reason);
    reached = link || refusal;
    if (link) link->close();
  }
  if (!reached) {
    group->leadership.mark_primary_unreachable();
    link_.report_suspicion(*group, SuspicionKind::kUnreachable);
  }
  primaries_being_checked_.erase(group->name);
}

void SessionProxy::close_idle_sessions() {
  const auto sessions = sessions_;
  for (const auto& [id, session] : sessions) {
    if (session->is_idle()) session->close_session();
  }
}

void SessionProxy::watch_lease(TimePoint now) {
  const bool has_lease = view_.lease_valid();
  if (!has_lease && now - view_.lease_until() > kCloseIdleAfter && !view_.has_member_lease())
    close_idle_sessions();
  metrics_.set_lease(has_lease);
  if (has_lease == had_lease_) return;
  had_lease_ = has_lease;
  runtime_.logger().log(has_lease ? LogLevel::kInfo : LogLevel::kWarning,
                        has_lease ? "lease_held" : "lease_lost",
                        {{"revision", std::to_string(view_.revision())},
                         {"version", std::to_string(view_.document_version())}});
}

/// Logs once, after the first answer, how long each step since the start took.
void SessionProxy::log_return() {
  if (!view_.return_steps().take_completed()) return;
  const auto after_ms = [this](ReturnStep step) {
    return std::to_string(in_ms(view_.return_steps().after(step)));
  };
  runtime_.logger().log(LogLevel::kInfo, "return_completed",
                        {{"lease_ms", after_ms(ReturnStep::kLease)},
                         {"primary_ms", after_ms(ReturnStep::kPrimary)},
                         {"session_ms", after_ms(ReturnStep::kSession)},
                         {"link_ms", after_ms(ReturnStep::kLink)},
                         {"answer_ms", after_ms(ReturnStep::kAnswer)}});
}

Awaitable<void> SessionProxy::warm_links() {
  while (!stopped_) {
    // Jitter, so that proxies that start together do not open their links at the same moment.
    const Duration pause = runtime_.random().between(kWarmInterval / 2, kWarmInterval * 3 / 2);
    co_await runtime_.sleep_for(pause);
    // Without a document it is unknown which groups this proxy serves and whether links are per tenant, so
    // warming would open links to groups that other proxies serve.
    if (!is_ready() || view_.document_version() == 0 || view_.requires_keys()) continue;
    for (const auto& [name, group] : view_.groups()) {
      if (view_.forwarding_targets(name).empty() && warm_one(runtime_, *group)) break;
    }
  }
}

void SessionProxy::trim_links(TimePoint now) {
  for (const auto& [name, group] : view_.groups()) {
    // Links to groups that this proxy does not serve take connections from the proxies that do.
    const bool serves = view_.forwarding_targets(name).empty();
    // No idle link is kept per tenant, either: there are more tenants than links.
    const std::size_t kept = serves && !view_.requires_keys() ? 1 : 0;
    if (view_.requires_keys()) group->backends.refresh_link_limits();
    for (const auto& [backend, use] : group->backends.all()) use->pool.trim(now, kept);
  }
}

void SessionProxy::report_gates() {
  std::size_t running = 0;
  std::size_t waiting = 0;
  for (const auto& [name, group] : view_.groups()) {
    for (const auto& [backend, use] : group->backends.all()) {
      running += use->gate.running();
      waiting += use->gate.waiting();
    }
  }
  metrics_.set_gates(running, waiting);
  metrics_.set_overload(overload_.load(), overload_.refused_classes());
}

void SessionProxy::end_evacuated_work() {
  metrics_.set_evacuated_zones(view_.evacuated().size());
  if (view_.evacuated().size() == 0) return;
  for (const auto& [id, session] : sessions_) session->abort_evacuated_transaction();
  forward_server_.abort_evacuated_transactions();
  for (const auto& [name, group] : view_.groups()) group->backends.close_evacuated_links();
}

Awaitable<void> SessionProxy::watch() {
  while (!stopped_) {
    co_await runtime_.sleep_for(kWatchTick);
    const TimePoint now = runtime_.now();
    watch_lease(now);
    log_return();
    watch_primaries(now);
    trim_links(now);
    end_evacuated_work();
    const Duration idle_limit = view_.transaction_idle();
    if (idle_limit == Duration(0)) continue;
    for (const auto& [id, session] : sessions_) session->abort_idle_transaction(now, idle_limit);
  }
}

void SessionProxy::measure_owned_backends() {
  SessionMetrics::OwnedBackends owned;
  for (const auto& [name, group] : view_.groups()) {
    for (const auto& [backend, use] : group->backends.all()) {
      if (!use->room.is_divided() || !use->room.is_owner()) continue;
      ++owned.count;
      owned.capacity += use->gate.limit();
      owned.running += use->gate.running();
      owned.waiting += use->gate.waiting();
    }
  }
  metrics_.set_owned_backends(owned);
}

std::string SessionProxy::render_metrics() {
  report_gates();
  measure_owned_backends();
  metrics_.set_sessions(sessions_.size());
  return metrics_.render();
}

Awaitable<void> SessionProxy::drain() {
  const TimePoint started_at = runtime_.now();
  const TimePoint end = started_at + settings_.drain_limit - kDrainMargin;
  const TimePoint abort_at = started_at + settings_.drain_limit / 2;
  const TimePoint idle_end = started_at + settings_.drain_limit * 2 / 3;
  draining_ = true;
  link_.set_draining();
  co_await runtime_.sleep_for(kDrainIdleAfter);
  while (!sessions_.empty() && runtime_.now() < end) {
    for (const auto& [id, session] : sessions_) {
      session->close_after_answer();
      if (runtime_.now() > abort_at) session->abort_transaction();
    }
    if (runtime_.now() > idle_end) close_idle_sessions();
    co_await runtime_.sleep_for(kWatchTick);
  }
  stopped_ = true;
  listener_->close();
  co_await finish_answers(started_at + settings_.drain_limit - kDrainLastMargin);
  if (registration_server_) registration_server_->close();
  readiness_server_->close();
  forward_server_.stop();
  member_leases_.stop();
  positions_.stop();
  overload_.stop();
  link_.stop();
}

/// Stops all sessions from reading further statements and waits until `deadline` for their pending answers.
Awaitable<void> SessionProxy::finish_answers(TimePoint deadline) {
  const auto is_answering = [](const auto& entry) { return entry.second->is_answering(); };
  bool answering = true;
  while (answering && runtime_.now() < deadline) {
    const auto sessions = sessions_;
    for (const auto& [id, session] : sessions) session->close_session();
    answering = std::any_of(sessions_.begin(), sessions_.end(), is_answering);
    if (answering) co_await runtime_.sleep_for(kDrainLastTick);
  }
}

}  // namespace

std::unique_ptr<runtime::Role> make_session_proxy(runtime::Runtime& runtime, SessionProxySettings settings,
                                                  const SessionProtocols& protocols) {
  return std::make_unique<SessionProxy>(runtime, std::move(settings), protocols);
}

}  // namespace cairnhollow::registered::proxy

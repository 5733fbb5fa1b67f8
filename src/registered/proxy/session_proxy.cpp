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

/// A proxy that is left with less of its lease takes no new sessions: two renewals in a row have failed.
inline constexpr Duration kReadyLeaseLeft = std::chrono::milliseconds(500);
/// Without a lease for this long, idle sessions are let go: their callers find another proxy.
inline constexpr Duration kLetGoAfter = std::chrono::milliseconds(2300);
/// After SIGTERM: how long callers are still sent here, and idle sessions are kept.
inline constexpr Duration kDrainIdleAfter = std::chrono::milliseconds(2300);
/// How long before the end of the drain nothing more is read; what was read is answered until shortly before
/// the end.
inline constexpr Duration kDrainMargin = std::chrono::milliseconds(800);
inline constexpr Duration kDrainLastMargin = std::chrono::milliseconds(200);
inline constexpr Duration kDrainLastTick = std::chrono::milliseconds(20);

/// Answers whether the proxy takes sessions, and its metrics.
class ReadinessCalls : public runtime::HttpHandler {
 public:
  ReadinessCalls(std::string path, std::function<bool()> is_ready, std::function<std::string()> render)
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

/// The parts' coroutines refer to it until the process ends.
class SessionProxy : public runtime::Role {
 public:
  SessionProxy(runtime::Runtime& runtime, SessionProxySettings settings, const SessionEdge& edge)
      : runtime_(runtime),
        settings_(std::move(settings)),
        callers_(edge.make_callers()),
        dialer_(edge.make_dialer(runtime, settings_.node)),
        view_(runtime, *dialer_, settings_),
        link_(runtime, settings_, view_),
        member_leases_(runtime, view_, metrics_),
        positions_(runtime, view_),
        forwarder_(runtime, settings_.node, settings_.zone),
        limits_(runtime, view_, forwarder_, metrics_),
        services_{runtime, view_, link_, metrics_, forwarder_, limits_},
        forward_server_(services_),
        known_registrations_(runtime, view_, link_, metrics_),
        readiness_(
            edge.readiness_path, [this] { return is_ready(); }, [this] { return render_metrics(); }) {
    if (edge.make_registrations) registrations_ = edge.make_registrations(known_registrations_);
  }

  Awaitable<bool> start(Reason& reason) override;
  Awaitable<void> drain() override;

 private:
  Awaitable<void> finish_answers(TimePoint last);
  Awaitable<void> accept_callers();
  Awaitable<void> serve(std::shared_ptr<runtime::LineConnection> lines);
  Awaitable<void> watch();
  Awaitable<void> warm_links();
  void watch_primaries(TimePoint now);
  void check_primary(const std::shared_ptr<GroupAccess>& group);
  Awaitable<void> dial_primary(std::shared_ptr<GroupAccess> group);
  void let_idle_go();
  void watch_lease(TimePoint now);
  void trim_links(TimePoint now);
  /// Ends what is open in zones that are left.
  void leave_evacuated();
  /// Callers go elsewhere before the lease runs out: they are sent here for a while after this turns false.
  [[nodiscard]] bool is_ready() const {
    return !draining_ && runtime_.now() + kReadyLeaseLeft < view_.lease_until();
  }
  std::string render_metrics();

  runtime::Runtime& runtime_;
  SessionProxySettings settings_;
  std::unique_ptr<CallerProtocol> callers_;
  std::unique_ptr<BackendDialer> dialer_;
  SessionMetrics metrics_;
  FleetView view_;
  FleetLink link_;
  MemberLeaseKeeper member_leases_;
  PositionKeeper positions_;
  Forwarder forwarder_;
  LimitClient limits_;
  SessionServices services_;
  ForwardServer forward_server_;
  KnownRegistrations known_registrations_;
  std::unique_ptr<runtime::HttpHandler> registrations_;
  ReadinessCalls readiness_;
  std::unique_ptr<runtime::LineListener> listener_;
  std::unique_ptr<runtime::HttpServer> registration_server_;
  std::unique_ptr<runtime::HttpServer> readiness_server_;
  std::unique_ptr<runtime::HttpServer> metrics_server_;
  std::map<std::uint64_t, std::shared_ptr<CallerSession>> sessions_;
  std::set<GroupName> checked_;  ///< groups whose primary is being dialled to see whether it is in reach
  std::uint64_t next_session_ = 1;
  bool lease_held_ = false;
  bool draining_ = false;
  bool stopped_ = false;
};

Awaitable<bool> SessionProxy::start(Reason& reason) {
  link_.start();
  member_leases_.start();
  positions_.start();
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
  if (sessions_.size() >= settings_.session_limit) {
    co_await caller->refuse(Refusal::kBusy, "this proxy has as many sessions as it can hold");
    co_return;
  }
  const std::uint64_t id = next_session_++;
  const auto session = std::make_shared<CallerSession>(services_, caller);
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

/// Slow or out of reach: a new connection tells.
void SessionProxy::check_primary(const std::shared_ptr<GroupAccess>& group) {
  if (!checked_.insert(group->name).second) return;
  runtime_.spawn("check_primary", dial_primary(group));
}

Awaitable<void> SessionProxy::dial_primary(std::shared_ptr<GroupAccess> group) {
  const auto primary = group->standing.primary();
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
  checked_.erase(group->name);
}

void SessionProxy::let_idle_go() {
  const auto sessions = sessions_;
  for (const auto& [id, session] : sessions) {
    if (session->is_idle()) session->let_go();
  }
}

void SessionProxy::watch_lease(TimePoint now) {
  const bool held = view_.lease_valid();
  if (!held && now - view_.lease_until() > kLetGoAfter && !view_.has_member_lease()) let_idle_go();
  metrics_.set_lease(held);
  if (held == lease_held_) return;
  lease_held_ = held;
  runtime_.logger().log(held ? LogLevel::kInfo : LogLevel::kWarning, held ? "lease_held" : "lease_lost",
                        {{"revision", std::to_string(view_.revision())},
                         {"version", std::to_string(view_.document_version())}});
}

Awaitable<void> SessionProxy::warm_links() {
  while (!stopped_) {
    // Proxies that start together do not open their links together.
    const Duration pause = runtime_.random().between(kWarmInterval / 2, kWarmInterval * 3 / 2);
    co_await runtime_.sleep_for(pause);
    // Who serves what, and whether links are of one tenant each, is known with the document: before it each
    // proxy would open links to groups that others serve.
    if (!is_ready() || view_.document_version() == 0 || view_.requires_keys()) continue;
    for (const auto& [name, group] : view_.groups()) {
      if (view_.forward_to(name).empty() && warm_one(runtime_, *group)) break;
    }
  }
}

void SessionProxy::trim_links(TimePoint now) {
  for (const auto& [name, group] : view_.groups()) {
    // Links to groups that others serve take connections from those.
    const bool serves = view_.forward_to(name).empty();
    // None is kept for a tenant, either: there are more tenants than links.
    const std::size_t kept = serves && !view_.requires_keys() ? 1 : 0;
    for (const auto& [backend, use] : group->backends.all()) use->pool.trim(now, kept);
  }
}

void SessionProxy::leave_evacuated() {
  metrics_.set_evacuated_zones(view_.evacuated().size());
  if (view_.evacuated().size() == 0) return;
  for (const auto& [id, session] : sessions_) session->end_evacuated_transaction();
  forward_server_.end_evacuated_transactions();
  for (const auto& [name, group] : view_.groups()) group->backends.close_evacuated_links();
}

Awaitable<void> SessionProxy::watch() {
  while (!stopped_) {
    co_await runtime_.sleep_for(kWatchTick);
    const TimePoint now = runtime_.now();
    watch_lease(now);
    watch_primaries(now);
    trim_links(now);
    leave_evacuated();
    const Duration idle_limit = view_.transaction_idle();
    if (idle_limit == Duration(0)) continue;
    for (const auto& [id, session] : sessions_) session->end_resting_transaction(now, idle_limit);
  }
}

std::string SessionProxy::render_metrics() {
  metrics_.set_sessions(sessions_.size());
  return metrics_.render();
}

Awaitable<void> SessionProxy::drain() {
  const TimePoint begun = runtime_.now();
  const TimePoint end = begun + settings_.drain_limit - kDrainMargin;
  const TimePoint abort_at = begun + settings_.drain_limit / 2;
  const TimePoint idle_end = begun + settings_.drain_limit * 2 / 3;
  draining_ = true;
  link_.set_draining();
  co_await runtime_.sleep_for(kDrainIdleAfter);
  while (!sessions_.empty() && runtime_.now() < end) {
    for (const auto& [id, session] : sessions_) {
      session->let_go_after_answer();
      if (runtime_.now() > abort_at) session->abort_transaction();
    }
    if (runtime_.now() > idle_end) let_idle_go();
    co_await runtime_.sleep_for(kWatchTick);
  }
  stopped_ = true;
  listener_->close();
  co_await finish_answers(begun + settings_.drain_limit - kDrainLastMargin);
  if (registration_server_) registration_server_->close();
  readiness_server_->close();
  forward_server_.stop();
  member_leases_.stop();
  positions_.stop();
  link_.stop();
}

/// What was read is answered: no session reads any more, and those that answer are waited for.
Awaitable<void> SessionProxy::finish_answers(TimePoint last) {
  const auto is_answering = [](const auto& entry) { return entry.second->is_answering(); };
  bool answering = true;
  while (answering && runtime_.now() < last) {
    const auto sessions = sessions_;
    for (const auto& [id, session] : sessions) session->let_go();
    answering = std::any_of(sessions_.begin(), sessions_.end(), is_answering);
    if (answering) co_await runtime_.sleep_for(kDrainLastTick);
  }
}

}  // namespace

std::unique_ptr<runtime::Role> make_session_proxy(runtime::Runtime& runtime, SessionProxySettings settings,
                                                  const SessionEdge& edge) {
  return std::make_unique<SessionProxy>(runtime, std::move(settings), edge);
}

}  // namespace cairnhollow::registered::proxy

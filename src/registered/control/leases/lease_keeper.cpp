#include "registered/control/leases/lease_keeper.h"

#include "registered/control/leases/lease_bounds.h"
#include "registered/registry/stable_revision.h"
#include "wire/codec.h"

namespace cairnhollow::registered::control {

namespace {

/// Timeout of the quorum round that backs a lease.
constexpr Duration kLeaseBarrierTimeout = std::chrono::milliseconds(500);
/// Minimum interval between computations of the stable revision, which iterate over all proxies.
constexpr Duration kStableRevisionInterval = std::chrono::milliseconds(50);
/// Interval between announcements of the stable revision. A quarter of the shortest interval at which proxies
/// report, so that the announcement delays a new quota owner by little, and several admissions share one.
constexpr Duration kStableRevisionAnnounceInterval = std::chrono::milliseconds(100);

}  // namespace

LeaseKeeper::LeaseKeeper(runtime::Runtime& runtime, consensus::Consensus& consensus,
                         registry::FleetStateMachine& fleet, ControlNodeDirectory& directory,
                         LeaderCalls& calls, Duration serving_lease)
    : runtime_(runtime),
      consensus_(consensus),
      fleet_(fleet),
      calls_(calls),
      serving_lease_(serving_lease),
      fence_answered_(runtime),
      leader_wait_(runtime, consensus, calls),
      updates_(runtime, fleet, directory, serving_lease, [this] { return stable_revision(); }),
      leases_(serving_lease) {}

void LeaseKeeper::start() {
  updates_.start();
  runtime_.spawn("lease_lapsed", run_lapse_check());
  runtime_.spawn("stable_revision", run_stable_revision_check());
}

void LeaseKeeper::stop() {
  stopping_ = true;
  leader_wait_.stop();
  updates_.stop();
}

void LeaseKeeper::detect_new_term() {
  if (!leads() || consensus_.term() == led_term_) return;
  led_term_ = consensus_.term();
  leases_.begin_leadership(runtime_.now());
  acknowledgements_.clear();
}

Awaitable<void> LeaseKeeper::serve(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello) {
  auto follower = std::make_shared<Follower>();
  follower->connection = connection;
  follower->node = hello.node;
  follower->zone = hello.zone;
  follower->accepts_compressed = hello.conversation == wire::Conversation::kServingCompressed;
  const std::uint64_t id = updates_.add(follower);
  while (!stopping_) {
    Reason reason;
    const auto frame = co_await connection->receive(reason);
    if (!frame) break;
    auto report = wire::decode<registry::ProxyReport>(*frame, reason);
    if (!report) break;
    runtime_.spawn("lease_report", handle_report(follower, std::move(*report)));
  }
  updates_.remove(id);
  connection->close();
}

Awaitable<void> LeaseKeeper::handle_report(std::shared_ptr<Follower> follower, registry::ProxyReport report) {
  const TimePoint received = runtime_.now();
  if (!leader_wait_.knows_leader()) co_await leader_wait_.wait();
  detect_new_term();
  follower->incarnation = report.incarnation;
  follower->peer_endpoint = report.peer_endpoint;
  follower->draining = report.draining;
  if (!follower->admitted) follower->revision_sent = report.revision;
  record_acknowledgements(*follower, report.closed);
  for (const auto& suspicion : report.suspicions) {
    if (on_suspicion_) on_suspicion_(follower->node, suspicion);
  }
  Reason reason;
  const bool granted = co_await grant(follower, reason);
  if (granted) {
    leases_.grant(follower->node, follower->incarnation, report.revision, received);
    follower->admitted = true;
  }
  follower->answer_nonce = report.nonce;
  follower->grant = granted;
  follower->refusal.reset();
  if (!granted) follower->refusal = reason;
  updates_.flush(follower);
}

Awaitable<bool> LeaseKeeper::grant(std::shared_ptr<Follower> follower, Reason& reason) {
  if (!leads()) {
    const auto leader = calls_.leader_endpoint();
    reason = Reason{ReasonCode::kNotLeader, "renew_lease", leader ? leader->address : "",
                    "this control node is not the leader; lease not granted"};
    co_return false;
  }
  const bool admitted = co_await admit(follower, reason);
  if (!admitted) co_return false;
  const std::uint64_t term = led_term_;
  const auto index = co_await consensus_.read_barrier(runtime_.now() + kLeaseBarrierTimeout, reason);
  co_return index.has_value() && leads() && led_term_ == term;
}

Awaitable<bool> LeaseKeeper::admit(std::shared_ptr<Follower> follower, Reason& reason) {
  const registry::AdmittedProxy proxy{follower->node, follower->incarnation, follower->zone,
                                      follower->peer_endpoint, follower->draining};
  const registry::AdmittedProxy* held = fleet_.find_proxy(follower->node);
  if (held != nullptr && *held == proxy) co_return true;
  registry::SingleCommand command = registry::AdmitProxy{proxy};
  co_return co_await calls_.propose_batched(std::move(command), reason);
}

void LeaseKeeper::record_acknowledgements(const Follower& follower,
                                          const std::vector<registry::ClosedGroup>& closed) {
  if (closed.empty()) return;
  leases_.begin_incarnation(follower.node, follower.incarnation);
  refresh_fence_proxies();
  bool any_completed = false;
  for (const auto& group : closed) {
    const bool is_complete = acknowledgements_.record(follower.node, follower.incarnation, group);
    any_completed = any_completed || is_complete;
  }
  // Notify once for all groups, because each notification wakes the failovers of all closed groups.
  if (any_completed) fence_answered_.notify_all();
}

void LeaseKeeper::refresh_fence_proxies() {
  if (fence_proxies_revision_ == fleet_.proxies_revision()) return;
  fence_proxies_revision_ = fleet_.proxies_revision();
  acknowledgements_.set_proxies(fleet_.proxies());
}

FenceProgress LeaseKeeper::fence_progress(const GroupName& group, std::uint64_t epoch) {
  refresh_fence_proxies();
  const TimePoint now = runtime_.now();
  const auto describe_unresponsive = [this, now](const NodeName& node, std::uint64_t incarnation) {
    return FenceAcknowledgements::UnresponsiveProxy{now <= leases_.end_of(node, incarnation),
                                                    leases_.revision_of(node, incarnation)};
  };
  return acknowledgements_.progress(group, epoch, describe_unresponsive);
}

Awaitable<void> LeaseKeeper::run_lapse_check() {
  while (!stopping_) {
    co_await runtime_.sleep_for(kLapseCheckInterval);
    detect_new_term();
    if (leads()) remove_lapsed_proxies();
  }
}

void LeaseKeeper::remove_lapsed_proxies() {
  const TimePoint now = runtime_.now();
  for (const registry::AdmittedProxy& proxy : fleet_.proxies()) {
    const ProxyPresence presence = presence_after(leases_.end_of(proxy.node, proxy.incarnation), now);
    if (presence == ProxyPresence::kForgotten) {
      runtime_.spawn("proxy_lapsed", submit_removal(registry::ForgetProxy{proxy.node, proxy.incarnation},
                                                    proxy.node, "proxy_forgotten"));
    } else if (presence == ProxyPresence::kAbsent && !proxy.leaving) {
      // The proxy may return in the same incarnation, so the commits it acknowledged still count, but it no
      // longer takes part in the division of groups.
      registry::AdmittedProxy absent = proxy;
      absent.leaving = true;
      runtime_.spawn("proxy_lapsed",
                     submit_removal(registry::AdmitProxy{absent}, proxy.node, "proxy_absent"));
    }
  }
}

Awaitable<void> LeaseKeeper::submit_removal(registry::SingleCommand command, NodeName node,
                                            std::string event) {
  Reason reason;
  const bool done = co_await calls_.propose_batched(std::move(command), reason);
  if (done) runtime_.logger().log(runtime::LogLevel::kInfo, event, {{"proxy", node.value}});
}

Awaitable<void> LeaseKeeper::run_stable_revision_check() {
  while (!stopping_) {
    co_await runtime_.sleep_for(kStableRevisionAnnounceInterval);
    detect_new_term();
    if (!leads() || !fleet_.has_shared_limits()) continue;
    const bool is_final = stable_revision_ == fleet_.revision();
    updates_.announce_stable_revision(is_final ? stable_revision_ : stable_revision());
  }
}

std::uint64_t LeaseKeeper::stable_revision() {
  const TimePoint now = runtime_.now();
  if (now - stable_revision_at_ < kStableRevisionInterval) return stable_revision_;
  stable_revision_at_ = now;
  std::vector<registry::ProxyRevision> known;
  for (const registry::AdmittedProxy& proxy : fleet_.proxies()) {
    const TimePoint lease_end = leases_.end_of(proxy.node, proxy.incarnation);
    known.push_back({leases_.revision_of(proxy.node, proxy.incarnation),
                     budget_authority_end(lease_end, serving_lease_)});
  }
  stable_revision_ = registry::stable_revision(known, fleet_.revision(), now);
  return stable_revision_;
}

}  // namespace cairnhollow::registered::control

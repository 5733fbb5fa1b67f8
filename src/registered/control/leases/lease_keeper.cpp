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

}  // namespace

LeaseKeeper::LeaseKeeper(runtime::Runtime& runtime, consensus::Consensus& consensus,
                         registry::FleetStateMachine& fleet, ControlNodeDirectory& directory,
                         LeaderCalls& calls, Duration serving_lease)
    : runtime_(runtime),
      consensus_(consensus),
      fleet_(fleet),
      calls_(calls),
      serving_lease_(serving_lease),
      answered_(runtime),
      leader_wait_(runtime, consensus, calls),
      updates_(runtime, fleet, directory, serving_lease, [this] { return stable_revision(); }),
      leases_(serving_lease) {}

void LeaseKeeper::start() {
  updates_.start();
  runtime_.spawn("lease_lapsed", watch_lapsed());
}

void LeaseKeeper::stop() {
  stopping_ = true;
  leader_wait_.stop();
  updates_.stop();
}

void LeaseKeeper::watch_leadership() {
  if (!leads() || consensus_.term() == led_term_) return;
  led_term_ = consensus_.term();
  leases_.begin_lead(runtime_.now());
  acknowledgements_.clear();
}

Awaitable<void> LeaseKeeper::serve(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello) {
  auto follower = std::make_shared<Follower>();
  follower->connection = connection;
  follower->node = hello.node;
  follower->zone = hello.zone;
  follower->takes_compressed = hello.conversation == wire::Conversation::kServingCompressed;
  const std::uint64_t id = updates_.add(follower);
  while (!stopping_) {
    Reason reason;
    const auto frame = co_await connection->receive(reason);
    if (!frame) break;
    auto report = wire::decode<registry::ProxyReport>(*frame, reason);
    if (!report) break;
    runtime_.spawn("lease_report", take_report(follower, std::move(*report)));
  }
  updates_.remove(id);
  connection->close();
}

Awaitable<void> LeaseKeeper::take_report(std::shared_ptr<Follower> follower, registry::ProxyReport report) {
  const TimePoint received = runtime_.now();
  if (!leader_wait_.knows_leader()) co_await leader_wait_.wait();
  watch_leadership();
  follower->incarnation = report.incarnation;
  follower->peer_endpoint = report.peer_endpoint;
  follower->draining = report.draining;
  if (!follower->admitted) follower->revision_sent = report.revision;
  record_closed(*follower, report.closed);
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
  co_return co_await calls_.submit_gathered(std::move(command), reason);
}

void LeaseKeeper::record_closed(const Follower& follower, const std::vector<registry::ClosedGroup>& closed) {
  if (closed.empty()) return;
  leases_.begin_incarnation(follower.node, follower.incarnation);
  refresh_acknowledging();
  bool any_is_over = false;
  for (const auto& group : closed) {
    const bool is_last = acknowledgements_.record(follower.node, follower.incarnation, group);
    any_is_over = any_is_over || is_last;
  }
  // Notify once for all groups, because each notification wakes the failovers of all closed groups.
  if (any_is_over) answered_.notify_all();
}

void LeaseKeeper::refresh_acknowledging() {
  if (acknowledging_revision_ == fleet_.proxies_revision()) return;
  acknowledging_revision_ = fleet_.proxies_revision();
  acknowledgements_.set_proxies(fleet_.proxies());
}

FenceProgress LeaseKeeper::fence_progress(const GroupName& group, std::uint64_t epoch) {
  refresh_acknowledging();
  const TimePoint now = runtime_.now();
  const auto describe_silent = [this, now](const NodeName& node, std::uint64_t incarnation) {
    return FenceAcknowledgements::Silent{now <= leases_.end_of(node, incarnation),
                                         leases_.revision_of(node, incarnation)};
  };
  return acknowledgements_.progress(group, epoch, describe_silent);
}

Awaitable<void> LeaseKeeper::watch_lapsed() {
  while (!stopping_) {
    co_await runtime_.sleep_for(kLapsedTick);
    watch_leadership();
    if (leads()) take_out_lapsed();
  }
}

void LeaseKeeper::take_out_lapsed() {
  const TimePoint now = runtime_.now();
  for (const registry::AdmittedProxy& proxy : fleet_.proxies()) {
    const ProxyPresence presence = presence_after(leases_.end_of(proxy.node, proxy.incarnation), now);
    if (presence == ProxyPresence::kForgotten) {
      runtime_.spawn("proxy_lapsed", take_out(registry::ForgetProxy{proxy.node, proxy.incarnation},
                                              proxy.node, "proxy_forgotten"));
    } else if (presence == ProxyPresence::kAbsent && !proxy.leaving) {
      // The proxy may return in the same incarnation, so the commits it acknowledged still count, but it no
      // longer takes part in the division of groups.
      registry::AdmittedProxy absent = proxy;
      absent.leaving = true;
      runtime_.spawn("proxy_lapsed", take_out(registry::AdmitProxy{absent}, proxy.node, "proxy_absent"));
    }
  }
}

Awaitable<void> LeaseKeeper::take_out(registry::SingleCommand command, NodeName node, std::string event) {
  Reason reason;
  const bool done = co_await calls_.submit_gathered(std::move(command), reason);
  if (done) runtime_.logger().log(runtime::LogLevel::kInfo, event, {{"proxy", node.value}});
}

std::uint64_t LeaseKeeper::stable_revision() {
  const TimePoint now = runtime_.now();
  if (now - stable_revision_at_ < kStableRevisionInterval) return stable_revision_;
  stable_revision_at_ = now;
  std::vector<registry::ProxyKnowledge> known;
  for (const registry::AdmittedProxy& proxy : fleet_.proxies()) {
    const TimePoint lease_end = leases_.end_of(proxy.node, proxy.incarnation);
    known.push_back({leases_.revision_of(proxy.node, proxy.incarnation),
                     budget_authority_end(lease_end, serving_lease_)});
  }
  stable_revision_ = registry::stable_revision(known, fleet_.revision(), now);
  return stable_revision_;
}

}  // namespace cairnhollow::registered::control

#include "registered/control/leases/lease_keeper.h"

#include <algorithm>

#include "registered/registry/budget_authority.h"
#include "registered/registry/member_lease.h"
#include "registered/registry/settled_revision.h"
#include "wire/codec.h"
#include "wire/compression.h"

namespace cairnhollow::registered::control {

namespace {

/// How often the consensus group is asked for its leader while questions wait for one. Chosen, not measured.
constexpr Duration kLeaderCheckInterval = std::chrono::milliseconds(5);
/// Longest wait for a quorum round behind a lease. Chosen, not measured.
constexpr Duration kLeaseBarrierTimeout = std::chrono::milliseconds(500);
/// Changes are gathered for so long for each follower before they are pushed, at most for the limit; a group
/// that closed or opened waits at most for the urgent limit. With 297 proxies and each change pushed by
/// itself the leader used 0.18 of its 0.30 cores, with gathering (of registrations as well) 0.057.
constexpr Duration kPushGathering = std::chrono::milliseconds(1);
constexpr Duration kPushGatheringLimit = std::chrono::milliseconds(300);
constexpr Duration kUrgentGathering = std::chrono::microseconds(200);
constexpr Duration kUrgentGatheringLimit = std::chrono::milliseconds(100);
/// Deltas that are on their way at once, in bytes, so that a restart of all proxies does not fill the memory
/// of the leader: 297 whole tables at once took 259 MB; with the bound, and with heartbeats answered by
/// proxies, 74 MB. Small ones are sent all the same. Who waits for room is served after the tick at the
/// latest.
constexpr std::size_t kMostBytesOnTheirWay = std::size_t{12} << 20;
constexpr std::size_t kSmallDelta = std::size_t{8} << 10;
constexpr Duration kRoomTick = std::chrono::milliseconds(200);
/// Proxies ask for leases no closer together than this, as far as their leases allow. Chosen, not measured.
constexpr Duration kReportSpacing = std::chrono::milliseconds(4);
/// The lowest revision that proxies use is worked out again no more often: it costs a check of each of them.
/// Chosen, not measured.
constexpr Duration kStableRevisionInterval = std::chrono::milliseconds(50);
/// A proxy whose lease ran out this long ago serves no group until it is back. Where half of 66 proxies lose
/// power, worth is 0.556 with it and was 0.491 while they kept their share of connections for 8 s.
constexpr Duration kAbsentProxyAfter = std::chrono::milliseconds(200);
/// It is forgotten once it can't serve by leases of the groups' members any more, either.
constexpr Duration kForgetProxyAfter = registry::kServeWithoutControl + std::chrono::seconds(2);

}  // namespace

LeaseKeeper::LeaseKeeper(runtime::Runtime& runtime, consensus::Consensus& consensus,
                         registry::FleetStateMachine& fleet, ControlNodeDirectory& directory,
                         LeaderCalls& calls, Duration serving_lease)
    : runtime_(runtime),
      consensus_(consensus),
      fleet_(fleet),
      directory_(directory),
      calls_(calls),
      serving_lease_(serving_lease),
      answered_(runtime),
      leader_known_(runtime),
      room_(runtime) {}

void LeaseKeeper::start() {
  runtime_.spawn("lease_push", push_changes());
  runtime_.spawn("lease_lapsed", watch_lapsed());
}

void LeaseKeeper::stop() {
  stopping_ = true;
  fleet_.changed().notify_all();
  for (const auto& [id, follower] : followers_) follower->connection->close();
}

bool LeaseKeeper::leads() const { return consensus_.leads(); }

void LeaseKeeper::watch_leadership() {
  if (!leads() || consensus_.term() == led_term_) return;
  led_term_ = consensus_.term();
  leads_since_ = runtime_.now();
  lives_.clear();
  fence_acknowledgements_.clear();
}

Awaitable<void> LeaseKeeper::serve(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello) {
  const std::uint64_t id = next_follower_++;
  auto follower = std::make_shared<Follower>();
  follower->connection = connection;
  follower->node = hello.node;
  follower->zone = hello.zone;
  follower->takes_compressed = hello.conversation == wire::Conversation::kServingCompressed;
  followers_.emplace(id, follower);
  while (!stopping_) {
    Reason reason;
    const auto frame = co_await connection->receive(reason);
    if (!frame) break;
    auto report = wire::decode<registry::ProxyReport>(*frame, reason);
    if (!report) break;
    runtime_.spawn("lease_report", take_report(follower, std::move(*report)));
  }
  followers_.erase(id);
  connection->close();
}

Awaitable<void> LeaseKeeper::take_report(std::shared_ptr<Follower> follower, registry::ProxyReport report) {
  const TimePoint received = runtime_.now();
  if (!knows_leader()) co_await wait_for_leader();
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
  bool granted = leads();
  if (!granted) {
    const auto leader = calls_.leader_endpoint();
    reason = Reason{ReasonCode::kNotLeader, "renew_lease", leader ? leader->address : "", "does not lead"};
  }
  if (granted) granted = co_await admit(follower, reason);
  const std::uint64_t term = led_term_;
  if (granted) {
    const auto index = co_await consensus_.read_barrier(runtime_.now() + kLeaseBarrierTimeout, reason);
    granted = index.has_value() && leads() && led_term_ == term;
  }
  if (granted) {
    Life& life = lives_[follower->node];
    if (life.incarnation != follower->incarnation) life = Life{follower->incarnation, {}, 0};
    life.revision = std::max(life.revision, report.revision);
    life.lease_until = std::max(life.lease_until, received + serving_lease_);
    follower->admitted = true;
  }
  follower->answer_nonce = report.nonce;
  follower->grant = granted;
  follower->refusal.reset();
  if (!granted) follower->refusal = reason;
  flush(follower);
}

bool LeaseKeeper::knows_leader() const { return leads() || calls_.leader_endpoint().has_value(); }

Awaitable<void> LeaseKeeper::wait_for_leader() {
  if (!std::exchange(looking_for_leader_, true)) runtime_.spawn("lease_leader", look_for_leader());
  const TimePoint limit = runtime_.now() + kLeaderPatience;
  while (!stopping_ && !knows_leader() && runtime_.now() < limit) co_await leader_known_.wait_until(limit);
}

Awaitable<void> LeaseKeeper::look_for_leader() {
  while (!stopping_ && !knows_leader() && leader_known_.waiting() > 0)
    co_await runtime_.sleep_for(kLeaderCheckInterval);
  looking_for_leader_ = false;
  leader_known_.notify_all();
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
  Life& life = lives_[follower.node];
  if (life.incarnation != follower.incarnation) life = Life{follower.incarnation, {}, 0};
  refresh_answering();
  bool any_is_over = false;
  for (const auto& group : closed) {
    const bool is_last = fence_acknowledgements_.record(follower.node, follower.incarnation, group);
    any_is_over = any_is_over || is_last;
  }
  // One by one they would each wake the changes of primary of all closed groups.
  if (any_is_over) answered_.notify_all();
}

void LeaseKeeper::refresh_answering() {
  if (answering_revision_ == fleet_.proxies_revision()) return;
  answering_revision_ = fleet_.proxies_revision();
  fence_acknowledgements_.set_proxies(fleet_.proxies());
}

TimePoint LeaseKeeper::lease_bound(const NodeName& node, std::uint64_t incarnation) const {
  TimePoint bound = leads_since_ + serving_lease_;
  const auto life = lives_.find(node);
  if (life != lives_.end() && life->second.incarnation == incarnation)
    bound = std::max(bound, life->second.lease_until);
  return bound;
}

FenceProgress LeaseKeeper::fence_progress(const GroupName& group, std::uint64_t epoch) {
  refresh_answering();
  const TimePoint now = runtime_.now();
  const auto describe_silent = [this, now](const NodeName& node, std::uint64_t incarnation) {
    const auto life = lives_.find(node);
    const bool same_incarnation = life != lives_.end() && life->second.incarnation == incarnation;
    return FenceAcknowledgements::Silent{now <= lease_bound(node, incarnation),
                                         same_incarnation ? life->second.revision : 0};
  };
  return fence_acknowledgements_.progress(group, epoch, describe_silent);
}

Awaitable<void> LeaseKeeper::push_changes() {
  while (!stopping_) {
    co_await fleet_.changed().wait();
    co_await gather_changes();
    for (const auto& [id, follower] : followers_) {
      if (follower->admitted) flush(follower);
    }
  }
}

Awaitable<void> LeaseKeeper::gather_changes() {
  // Changes that come together are told together; the more followers there are, the longer they are gathered.
  const auto followers = static_cast<Duration::rep>(followers_.size());
  const TimePoint first = runtime_.now();
  const TimePoint due = first + std::min<Duration>(kPushGathering * followers, kPushGatheringLimit);
  const TimePoint urgent_due =
      first + std::min<Duration>(kUrgentGathering * followers, kUrgentGatheringLimit);
  TimePoint until = due;
  while (!stopping_ && runtime_.now() < until) {
    if (fleet_.terms_revision() > pushed_revision_) until = urgent_due;
    co_await fleet_.changed().wait_until(until);
  }
  pushed_revision_ = fleet_.revision();
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
    const TimePoint bound = lease_bound(proxy.node, proxy.incarnation);
    if (now > bound + kForgetProxyAfter) {
      runtime_.spawn("proxy_lapsed", take_out(registry::ForgetProxy{proxy.node, proxy.incarnation},
                                              proxy.node, "proxy_forgotten"));
    } else if (now > bound + kAbsentProxyAfter && !proxy.leaving) {
      // It may come back in the same incarnation: what it acknowledged still counts, but nobody waits for it
      // to serve.
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

bool LeaseKeeper::has_something_for(const Follower& follower) const {
  return follower.answer_nonce > 0 || (follower.admitted && follower.revision_sent < fleet_.revision());
}

registry::ProxyUpdate LeaseKeeper::make_update(Follower& follower, bool with_delta) {
  registry::ProxyUpdate update;
  update.nonce = std::exchange(follower.answer_nonce, 0);
  if (update.nonce > 0 && follower.grant) update.lease = serving_lease_;
  update.refusal = std::exchange(follower.refusal, std::nullopt);
  if (!follower.admitted) return update;
  const bool lacks_something = follower.revision_sent < fleet_.revision();
  // A lease is worth something only together with what is in force.
  if (lacks_something && !with_delta) update.lease = Duration(0);
  if (lacks_something && with_delta) {
    update.delta = delta_for(follower);
    follower.revision_sent = fleet_.revision();
  }
  update.report_interval = report_interval();
  if (update.lease > Duration(0) && fleet_.has_shared_limits()) update.settled_revision = settled_revision();
  if (endpoints() != follower.endpoints_sent) {
    follower.endpoints_sent = endpoints();
    update.control_endpoints = endpoints();
  }
  return update;
}

bool LeaseKeeper::has_room_for(const Follower& follower) {
  if (!follower.admitted || follower.revision_sent == fleet_.revision()) return true;
  const std::size_t size = delta_for(follower).size();
  return size <= kSmallDelta || bytes_on_their_way_ == 0 ||
         bytes_on_their_way_ + size <= kMostBytesOnTheirWay;
}

std::uint64_t LeaseKeeper::settled_revision() {
  const TimePoint now = runtime_.now();
  if (now - settled_at_ < kStableRevisionInterval) return settled_revision_;
  settled_at_ = now;
  std::vector<registry::ProxyKnowledge> known;
  for (const registry::AdmittedProxy& proxy : fleet_.proxies()) {
    const auto life = lives_.find(proxy.node);
    const bool same_incarnation = life != lives_.end() && life->second.incarnation == proxy.incarnation;
    const TimePoint confirmed_before = lease_bound(proxy.node, proxy.incarnation) - serving_lease_;
    known.push_back(
        {same_incarnation ? life->second.revision : 0, confirmed_before + registry::kBudgetAuthorityWait});
  }
  settled_revision_ = registry::settled_revision(known, fleet_.revision(), now);
  return settled_revision_;
}

const std::string& LeaseKeeper::delta_for(const Follower& follower) {
  if (deltas_to_ != fleet_.revision()) deltas_.clear();
  deltas_to_ = fleet_.revision();
  const std::uint64_t since = follower.revision_sent;
  EncodedDelta& delta = deltas_[since];
  if (delta.plain.empty())
    delta.plain =
        wire::encode_from(fleet_.delta_since(since), wire::format_with_tenants(fleet_.requires_keys()));
  if (!follower.takes_compressed) return delta.plain;
  if (delta.compressed.empty()) delta.compressed = wire::compress(delta.plain);
  return delta.compressed;
}

const std::vector<Endpoint>& LeaseKeeper::endpoints() {
  const TimePoint now = runtime_.now();
  if (endpoints_.empty() || now - endpoints_at_ > kPresenceInterval) {
    endpoints_ = directory_.serving_endpoints(now);
    endpoints_at_ = now;
  }
  return endpoints_;
}

Duration LeaseKeeper::report_interval() const {
  const Duration by_load = kReportSpacing * static_cast<Duration::rep>(followers_.size());
  return std::clamp<Duration>(by_load, serving_lease_ / 4, serving_lease_ * 2 / 5);
}

void LeaseKeeper::flush(const std::shared_ptr<Follower>& follower) {
  if (follower->sending || !has_something_for(*follower)) return;
  follower->sending = true;
  runtime_.spawn("lease_send", send_updates(follower));
}

Awaitable<void> LeaseKeeper::send_updates(std::shared_ptr<Follower> follower) {
  bool sent = true;
  while (sent && !stopping_ && has_something_for(*follower)) {
    const bool has_room = has_room_for(*follower);
    if (!has_room && follower->answer_nonce == 0) {
      co_await room_.wait_until(runtime_.now() + kRoomTick);
      continue;
    }
    const registry::ProxyUpdate update = make_update(*follower, has_room);
    const std::size_t size = update.delta.size();
    bytes_on_their_way_ += size;
    Reason reason;
    const wire::Format format = wire::format_with_tenants(update.settled_revision > 0);
    sent = co_await follower->connection->send(wire::encode(update, format), reason);
    bytes_on_their_way_ -= size;
    if (size > kSmallDelta) room_.notify_one();
  }
  follower->sending = false;
  if (!sent) follower->connection->close();
}

}  // namespace cairnhollow::registered::control

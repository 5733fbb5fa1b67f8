#include "registered/control/leases/proxy_updates.h"

#include <algorithm>
#include <utility>

#include "registered/control/leases/lease_bounds.h"
#include "wire/codec.h"
#include "wire/compression.h"

namespace cairnhollow::registered::control {

namespace {

/// Delay per follower during which changes are collected before a push, and its upper limit, so that frequent
/// changes do not cost one message each per follower. The urgent values apply when a group was closed or
/// opened.
/// With 297 proxies and one push per change, the leader used 0.18 of a core, and 0.057 with changes
/// collected.
constexpr Duration kPushDelayPerFollower = std::chrono::milliseconds(1);
constexpr Duration kMaxPushDelay = std::chrono::milliseconds(300);
constexpr Duration kUrgentPushDelayPerFollower = std::chrono::microseconds(200);
constexpr Duration kMaxUrgentPushDelay = std::chrono::milliseconds(100);
/// Limits the bytes of deltas in flight, so that a simultaneous restart of all proxies does not exhaust the
/// leader's memory. Deltas of at most kSmallDeltaBytes are exempt. A follower that waits for capacity
/// checks again at least every kInFlightRetryInterval.
/// 297 full tables at once took 259 MB.
constexpr std::size_t kMaxBytesInFlight = std::size_t{12} << 20;
constexpr std::size_t kSmallDeltaBytes = std::size_t{8} << 10;
constexpr Duration kInFlightRetryInterval = std::chrono::milliseconds(200);

}  // namespace

void ProxyUpdates::start() { runtime_.spawn("lease_push", push_changes()); }

void ProxyUpdates::stop() {
  stopping_ = true;
  fleet_.changed().notify_all();
  for (const auto& [id, follower] : followers_) follower->connection->close();
}

std::uint64_t ProxyUpdates::add(const std::shared_ptr<Follower>& follower) {
  const std::uint64_t id = next_follower_++;
  followers_.emplace(id, follower);
  return id;
}

Awaitable<void> ProxyUpdates::push_changes() {
  while (!stopping_) {
    co_await fleet_.changed().wait();
    co_await delay_push();
    for (const auto& [id, follower] : followers_) {
      if (follower->admitted) flush(follower);
    }
  }
}

Awaitable<void> ProxyUpdates::delay_push() {
  // The delay grows with the number of followers.
  const auto followers = static_cast<Duration::rep>(followers_.size());
  const TimePoint first = runtime_.now();
  const TimePoint due = first + std::min<Duration>(kPushDelayPerFollower * followers, kMaxPushDelay);
  const TimePoint urgent_due =
      first + std::min<Duration>(kUrgentPushDelayPerFollower * followers, kMaxUrgentPushDelay);
  TimePoint until = due;
  while (!stopping_ && runtime_.now() < until) {
    if (fleet_.terms_revision() > pushed_revision_) until = urgent_due;
    co_await fleet_.changed().wait_until(until);
  }
  pushed_revision_ = fleet_.revision();
}

bool ProxyUpdates::lacks_stable_revision(const Follower& follower) const {
  return fleet_.has_shared_limits() && follower.stable_revision_sent < announced_stable_revision_;
}

bool ProxyUpdates::has_pending_update(const Follower& follower) const {
  const bool lacks_news = follower.revision_sent < fleet_.revision() || lacks_stable_revision(follower);
  return follower.answer_nonce > 0 || (follower.admitted && lacks_news);
}

void ProxyUpdates::announce_stable_revision(std::uint64_t stable_revision) {
  if (stable_revision <= announced_stable_revision_) return;
  announced_stable_revision_ = stable_revision;
  for (const auto& [id, follower] : followers_) flush(follower);
}

registry::ProxyUpdate ProxyUpdates::make_update(Follower& follower, bool with_delta) {
  registry::ProxyUpdate update;
  update.nonce = std::exchange(follower.answer_nonce, 0);
  if (update.nonce > 0 && follower.grant) update.lease = serving_lease_;
  update.refusal = std::exchange(follower.refusal, std::nullopt);
  if (!follower.admitted) return update;
  const bool lacks_something = follower.revision_sent < fleet_.revision();
  // A lease must not be granted without the state in force, so it is withheld when the delta is deferred.
  if (lacks_something && !with_delta) update.lease = Duration(0);
  if (lacks_something && with_delta) {
    update.delta = delta_for(follower);
    follower.revision_sent = fleet_.revision();
  }
  update.report_interval = report_interval(followers_.size(), serving_lease_);
  if (update.lease > Duration(0) && fleet_.has_shared_limits()) update.stable_revision = stable_revision_();
  // What was announced remains true, also if this node has become leader anew and has not heard from all.
  if (lacks_stable_revision(follower))
    update.stable_revision = std::max(update.stable_revision, announced_stable_revision_);
  // Owners drop what they lost with the membership, so it must not come after the revision that settles it.
  if (lacks_something && !with_delta) update.stable_revision = 0;
  follower.stable_revision_sent = std::max(follower.stable_revision_sent, update.stable_revision);
  if (endpoints() != follower.endpoints_sent) {
    follower.endpoints_sent = endpoints();
    update.control_endpoints = endpoints();
  }
  return update;
}

bool ProxyUpdates::fits_in_flight(const Follower& follower) {
  if (!follower.admitted || follower.revision_sent == fleet_.revision()) return true;
  const std::size_t size = delta_for(follower).size();
  return size <= kSmallDeltaBytes || bytes_in_flight_ == 0 || bytes_in_flight_ + size <= kMaxBytesInFlight;
}

const std::string& ProxyUpdates::delta_for(const Follower& follower) {
  if (deltas_revision_ != fleet_.revision()) deltas_.clear();
  deltas_revision_ = fleet_.revision();
  const std::uint64_t since = follower.revision_sent;
  EncodedDelta& delta = deltas_[since];
  if (delta.plain.empty())
    delta.plain =
        wire::encode_from(fleet_.delta_since(since), wire::format_with_tenants(fleet_.requires_keys()));
  if (!follower.accepts_compressed) return delta.plain;
  if (delta.compressed.empty()) delta.compressed = wire::compress(delta.plain);
  return delta.compressed;
}

const std::vector<Endpoint>& ProxyUpdates::endpoints() {
  const TimePoint now = runtime_.now();
  if (endpoints_.empty() || now - endpoints_at_ > kPresenceInterval) {
    endpoints_ = directory_.serving_endpoints(now);
    endpoints_at_ = now;
  }
  return endpoints_;
}

void ProxyUpdates::flush(const std::shared_ptr<Follower>& follower) {
  if (follower->sending || !has_pending_update(*follower)) return;
  follower->sending = true;
  runtime_.spawn("lease_send", send(follower));
}

Awaitable<void> ProxyUpdates::send(std::shared_ptr<Follower> follower) {
  bool sent = true;
  while (sent && !stopping_ && has_pending_update(*follower)) {
    const bool has_capacity = fits_in_flight(*follower);
    if (!has_capacity && follower->answer_nonce == 0) {
      co_await capacity_freed_.wait_until(runtime_.now() + kInFlightRetryInterval);
      continue;
    }
    const registry::ProxyUpdate update = make_update(*follower, has_capacity);
    const std::size_t size = update.delta.size();
    bytes_in_flight_ += size;
    Reason reason;
    const wire::Format format = wire::format_with_tenants(update.stable_revision > 0);
    sent = co_await follower->connection->send(wire::encode(update, format), reason);
    bytes_in_flight_ -= size;
    if (size > kSmallDeltaBytes) capacity_freed_.notify_one();
  }
  follower->sending = false;
  if (!sent) follower->connection->close();
}

}  // namespace cairnhollow::registered::control

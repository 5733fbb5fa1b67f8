#include "session/fleet_link.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"
#include "wire/hello.h"

namespace cairnhollow::session {

using runtime::LogLevel;

FleetLink::FleetLink(runtime::Runtime& runtime, const SessionProxySettings& settings, FleetView& view)
    : runtime_(runtime),
      settings_(settings),
      view_(view),
      wake_(runtime),
      incarnation_(runtime.random().next() | 1U) {
  for (const Endpoint& seed : settings_.seeds) endpoints_.push_back({seed.address, settings_.control_port});
  if (!endpoints_.empty()) next_endpoint_ = runtime.random().below(endpoints_.size());
}

std::optional<Endpoint> FleetLink::registration_endpoint() const {
  if (!connected_ || draining_ || settings_.seeds.empty()) return std::nullopt;
  return Endpoint{followed_, settings_.seeds.front().port};
}

void FleetLink::start() { runtime_.spawn("fleet_link", run()); }

void FleetLink::set_draining() {
  draining_ = true;
  report_now_ = true;
  wake_.notify_all();
}

void FleetLink::stop() {
  stopping_ = true;
  wake_.notify_all();
}

Endpoint FleetLink::next_endpoint() {
  if (hinted_leader_) return *std::exchange(hinted_leader_, std::nullopt);
  return endpoints_[next_endpoint_++ % endpoints_.size()];
}

void FleetLink::note_lost(const Reason& reason, const std::string& peer) {
  if (!std::exchange(connected_, false)) return;
  runtime_.logger().log(LogLevel::kWarning, "control_lost", reason, {{"control", peer}});
}

void FleetLink::note_search(const Reason& reason, const std::string& peer) {
  const TimePoint now = runtime_.now();
  if (now - search_logged_ < kSearchLogInterval) return;
  search_logged_ = now;
  runtime_.logger().log(LogLevel::kWarning, "control_not_found", reason, {{"control", peer}});
}

Awaitable<void> FleetLink::run() {
  while (!stopping_) {
    const Endpoint endpoint = next_endpoint();
    const auto conversation = co_await open(endpoint);
    if (conversation) {
      runtime_.spawn("fleet_link_read", read_updates(conversation));
      co_await converse(conversation);
      conversation->broken = true;
      conversation->connection->close();
    }
    if (stopping_) continue;
    // Proxies that lost the leader together do not come back together.
    const Duration pause = std::min<Duration>(
        kControlRetryPause * (1 << std::min(failures_, kMaxBackoffSteps)), kControlRetryLimit);
    failures_ = hinted_leader_ ? failures_ : failures_ + 1;
    co_await runtime_.sleep_for(runtime_.random().between(pause / 2, pause));
  }
}

Awaitable<std::shared_ptr<FleetLink::Conversation>> FleetLink::open(Endpoint endpoint) {
  Reason reason;
  const TimePoint deadline = runtime_.now() + kControlConnectTimeout;
  auto connection = co_await runtime_.network().connect(endpoint, deadline, reason);
  if (!connection) note_search(reason, endpoint.to_string());
  if (!connection) co_return nullptr;
  wire::Hello hello;
  hello.conversation = wire::Conversation::kServing;
  hello.node = settings_.node;
  hello.zone = settings_.zone;
  hello.highest_version = hello.protocol_version;
  const bool greeted = co_await connection->send(wire::encode(hello), reason);
  if (!greeted) co_return nullptr;
  auto conversation = std::make_shared<Conversation>();
  conversation->connection = std::move(connection);
  conversation->endpoint = endpoint;
  co_return conversation;
}

bool FleetLink::is_stalled(Conversation& conversation) const {
  const TimePoint now = runtime_.now();
  const std::uint64_t bytes = conversation.connection->bytes_received();
  if (bytes != conversation.bytes) conversation.bytes_at = now;
  conversation.bytes = bytes;
  if (conversation.asked.empty()) return false;
  // A first answer may have to wait behind those of many others; a large one takes its time.
  const Duration limit = conversation.answered ? kReportTimeout : kFirstReportTimeout;
  return now - std::max(conversation.asked.begin()->second, conversation.bytes_at) > limit;
}

Awaitable<void> FleetLink::converse(std::shared_ptr<Conversation> conversation) {
  while (!stopping_ && !conversation->broken) {
    registry::ProxyReport report;
    report.nonce = next_nonce_++;
    report.incarnation = incarnation_;
    report.revision = view_.revision();
    report.closed = view_.closed_groups();
    report.suspicions = std::exchange(suspicions_, {});
    report.draining = draining_;
    report.peer_endpoint = settings_.peer_endpoint;
    report_now_ = false;
    const TimePoint asked_at = runtime_.now();
    conversation->asked[report.nonce] = asked_at;
    Reason reason;
    const bool sent = co_await conversation->connection->send(wire::encode(report), reason);
    if (!sent) note_lost(reason, conversation->connection->peer());
    if (!sent) co_return;
    while (!stopping_ && !conversation->broken && !report_now_ && !is_stalled(*conversation) &&
           runtime_.now() < asked_at + report_interval_) {
      co_await wake_.wait_until(asked_at + report_interval_);
    }
    if (is_stalled(*conversation)) {
      const std::string peer = conversation->connection->peer();
      note_lost(Reason{ReasonCode::kDeadlineExceeded, "renew_lease", peer, "no answer in time"}, peer);
      co_return;
    }
  }
}

Awaitable<void> FleetLink::read_updates(std::shared_ptr<Conversation> conversation) {
  while (!conversation->broken) {
    Reason reason;
    const auto frame = co_await conversation->connection->receive(reason);
    std::optional<registry::ProxyUpdate> update;
    if (frame) update = wire::decode<registry::ProxyUpdate>(*frame, reason);
    if (conversation->broken) co_return;
    if (!update) {
      note_lost(reason, conversation->connection->peer());
      conversation->broken = true;
    } else {
      take_update(*conversation, *update);
    }
    wake_.notify_all();
  }
}

void FleetLink::take_refusal(Conversation& conversation, const Reason& refusal) {
  if (!connected_) note_search(refusal, conversation.connection->peer());
  note_lost(refusal, conversation.connection->peer());
  conversation.broken = true;
  if (refusal.code == ReasonCode::kNotLeader && !refusal.peer.empty())
    hinted_leader_ = Endpoint{refusal.peer, settings_.control_port};
}

void FleetLink::take_update(Conversation& conversation, const registry::ProxyUpdate& update) {
  if (update.refusal) return take_refusal(conversation, *update.refusal);
  if (!update.control_endpoints.empty()) {
    endpoints_ = update.control_endpoints;
    for (const Endpoint& seed : settings_.seeds) {
      const Endpoint endpoint{seed.address, settings_.control_port};
      if (std::find(endpoints_.begin(), endpoints_.end(), endpoint) == endpoints_.end())
        endpoints_.push_back(endpoint);
    }
  }
  if (update.report_interval > Duration(0)) report_interval_ = update.report_interval;
  Reason reason;
  std::optional<registry::FleetDelta> delta;
  if (!update.delta.empty()) delta = wire::decode<registry::FleetDelta>(update.delta, reason);
  if (!update.delta.empty() && !delta) return take_refusal(conversation, reason);
  if (delta) {
    const auto before = view_.closed_groups().size();
    const std::uint64_t version = view_.document_version();
    view_.apply(*delta);
    // A promotion past this proxy, once it is silent, counts on the backends that it said it knows.
    report_now_ = report_now_ || view_.closed_groups().size() != before || !delta->backends.empty();
    if (version != view_.document_version()) {
      runtime_.logger().log(LogLevel::kInfo, "document_in_force",
                            {{"version", std::to_string(view_.document_version())},
                             {"before", std::to_string(version)},
                             {"revision", std::to_string(view_.revision())}});
    }
  }
  const auto asked = conversation.asked.find(update.nonce);
  if (asked == conversation.asked.end()) return;
  if (update.lease > Duration(0)) view_.extend_lease(asked->second + update.lease);
  conversation.asked.erase(conversation.asked.begin(), std::next(asked));
  conversation.answered = true;
  if (connected_) return;
  connected_ = true;
  followed_ = conversation.endpoint.address;
  failures_ = 0;
  runtime_.logger().log(LogLevel::kInfo, "control_found", {{"control", conversation.connection->peer()}});
}

void FleetLink::report_suspicion(const GroupAccess& group, SuspicionKind kind) {
  const registry::GroupTerm& term = group.term();
  if (!term.open) return;
  const TimePoint now = runtime_.now();
  auto& suspected_at = suspected_at_[{term.group, kind}];
  if (suspected_at != TimePoint{} && now - suspected_at < kSuspicionRepeat) return;
  suspected_at = now;
  const bool commits_stall = kind == SuspicionKind::kCommitsStall;
  const bool unreachable = kind == SuspicionKind::kUnreachable;
  suspicions_.push_back({term.group, term.primary, term.term, commits_stall, unreachable});
  report_now_ = true;
  runtime_.logger().log(LogLevel::kWarning, "primary_suspected",
                        {{"group", term.group.value},
                         {"primary", term.primary.value},
                         {"term", std::to_string(term.term)},
                         {"commits_stall", commits_stall ? "true" : "false"},
                         {"unreachable", unreachable ? "true" : "false"}});
  wake_.notify_all();
}

}  // namespace cairnhollow::session

#include "registered/proxy/fleet/fleet_link.h"

#include <utility>

#include "base/add_once.h"
#include "registered/registry/proxy_incarnation.h"
#include "wire/codec.h"
#include "wire/compression.h"
#include "wire/hello.h"

namespace cairnhollow::registered::proxy {

using runtime::LogLevel;

namespace {

wire::Hello make_hello(const SessionProxySettings& settings) {
  wire::Hello hello;
  hello.conversation = wire::Conversation::kServingCompressed;
  hello.node = settings.node;
  hello.zone = settings.zone;
  hello.highest_version = hello.protocol_version;
  return hello;
}

}  // namespace

FleetLink::FleetLink(runtime::Runtime& runtime, const SessionProxySettings& settings, FleetView& view)
    : runtime_(runtime),
      settings_(settings),
      view_(view),
      search_(
          runtime, make_hello(settings), settings.control_port,
          [this] {
            // A control node that is asked for the first time knows of none.
            reported_positions_.clear();
            return make_report();
          },
          [this] { view_.record_control_heard(); }),
      wake_(runtime),
      incarnation_(registry::proxy_incarnation(runtime.random().next(), settings.spread_limits)) {
  for (const Endpoint& seed : settings_.seeds) endpoints_.push_back({seed.address, settings_.control_port});
}

std::optional<Endpoint> FleetLink::registration_endpoint() const {
  if (!connected_ || draining_ || settings_.seeds.empty()) return std::nullopt;
  return Endpoint{leader_address_, settings_.seeds.front().port};
}

void FleetLink::start() { runtime_.spawn("fleet_link", run()); }

void FleetLink::set_draining() {
  draining_ = true;
  report_requested_ = true;
  wake_.notify_all();
}

void FleetLink::stop() {
  stopping_ = true;
  search_.stop();
  wake_.notify_all();
}

std::vector<Endpoint> FleetLink::candidates() {
  std::vector<Endpoint> endpoints;
  if (hinted_leader_) endpoints.push_back(*std::exchange(hinted_leader_, std::nullopt));
  for (const Endpoint& endpoint : endpoints_) add_once(endpoints, endpoint);
  return endpoints;
}

void FleetLink::mark_disconnected(const Reason& reason, const std::string& peer) {
  if (!std::exchange(connected_, false)) return;
  runtime_.logger().log(LogLevel::kWarning, "control_lost", reason, {{"control", peer}});
}

Awaitable<void> FleetLink::run() {
  while (!stopping_) {
    auto found = co_await search_.run(candidates());
    if (!found) continue;
    const ConversationPointer conversation = found->conversation;
    handle_update(*conversation, found->answer);
    runtime_.spawn("fleet_link_read", read_updates(conversation));
    co_await send_reports(conversation);
    conversation->close();
    // Jitter, so that proxies that lost the leader together do not reconnect at the same moment.
    if (!stopping_) co_await runtime_.sleep_for(runtime_.random().between(Duration(0), kControlRetryBackoff));
  }
}

registry::ProxyReport FleetLink::make_report() {
  registry::ProxyReport report;
  report.nonce = next_nonce_++;
  report.incarnation = incarnation_;
  report.revision = view_.revision();
  report.closed = view_.closed_groups();
  // If this proxy is lost, control knows which replicas cannot succeed the primary.
  for (registry::ClosedGroup& acknowledged : view_.certainly_acknowledged()) {
    Position& reported = reported_positions_[acknowledged.group];
    if (acknowledged.highest_acknowledged <= reported) continue;
    reported = acknowledged.highest_acknowledged;
    report.closed.push_back(std::move(acknowledged));
  }
  report.suspicions = suspicions_;
  report.draining = draining_;
  report.peer_endpoint = settings_.peer_endpoint;
  return report;
}

Awaitable<void> FleetLink::wait_for_next_report(ConversationPointer conversation) {
  const TimePoint due = conversation->last_report_at + report_interval_;
  while (!stopping_ && !conversation->broken && !report_requested_ && runtime_.now() < due &&
         !conversation->is_stalled(runtime_.now()))
    co_await wake_.wait_until(due);
}

Awaitable<void> FleetLink::send_reports(ConversationPointer conversation) {
  while (true) {
    co_await wait_for_next_report(conversation);
    if (stopping_ || conversation->broken) co_return;
    const std::string peer = conversation->connection->peer();
    if (conversation->is_stalled(runtime_.now())) {
      mark_disconnected(Reason{ReasonCode::kDeadlineExceeded, "renew_lease", peer, "no answer in time"},
                        peer);
      co_return;
    }
    const registry::ProxyReport report = make_report();
    suspicions_.clear();
    report_requested_ = false;
    conversation->last_report_at = runtime_.now();
    conversation->unanswered[report.nonce] = conversation->last_report_at;
    Reason reason;
    const bool sent = co_await conversation->connection->send(wire::encode(report), reason);
    if (!sent) mark_disconnected(reason, peer);
    if (!sent) co_return;
  }
}

Awaitable<void> FleetLink::read_updates(ConversationPointer conversation) {
  while (!conversation->broken) {
    Reason reason;
    const auto frame = co_await conversation->connection->receive(reason);
    std::optional<registry::ProxyUpdate> update;
    if (frame) update = wire::decode<registry::ProxyUpdate>(*frame, reason);
    if (conversation->broken) co_return;
    if (!update) {
      mark_disconnected(reason, conversation->connection->peer());
      conversation->broken = true;
    } else {
      handle_update(*conversation, *update);
    }
    wake_.notify_all();
  }
}

void FleetLink::handle_refusal(ControlConversation& conversation, const Reason& refusal) {
  mark_disconnected(refusal, conversation.connection->peer());
  conversation.broken = true;
  if (refusal.code == ReasonCode::kNotLeader && !refusal.peer.empty())
    hinted_leader_ = Endpoint{refusal.peer, settings_.control_port};
}

void FleetLink::handle_update(ControlConversation& conversation, const registry::ProxyUpdate& update) {
  if (update.refusal) return handle_refusal(conversation, *update.refusal);
  if (!update.control_endpoints.empty()) {
    endpoints_ = update.control_endpoints;
    for (const Endpoint& seed : settings_.seeds)
      add_once(endpoints_, Endpoint{seed.address, settings_.control_port});
  }
  if (update.report_interval > Duration(0)) report_interval_ = update.report_interval;
  Reason reason;
  if (!update.delta.empty()) {
    std::optional<std::string> plain = update.delta;
    if (conversation.is_compressed) plain = wire::decompress(update.delta, reason);
    std::optional<registry::FleetDelta> delta;
    if (plain) delta = wire::decode<registry::FleetDelta>(*plain, reason);
    if (!delta) return handle_refusal(conversation, reason);
    apply_delta(*delta, update.delta.size());
  }
  if (update.stable_revision > 0) view_.record_stable(update.stable_revision);
  const auto report = conversation.unanswered.find(update.nonce);
  if (report == conversation.unanswered.end()) return;
  if (update.lease > Duration(0))
    view_.extend_lease(report->second, report->second + update.lease, update.stable_revision);
  conversation.unanswered.erase(conversation.unanswered.begin(), std::next(report));
  conversation.answered = true;
  if (connected_) return;
  connected_ = true;
  leader_address_ = conversation.endpoint.address;
  runtime_.logger().log(LogLevel::kInfo, "control_found", {{"control", conversation.connection->peer()}});
}

void FleetLink::apply_delta(const registry::FleetDelta& delta, std::size_t bytes) {
  const auto closed_before = view_.closed_groups().size();
  const std::uint64_t version = view_.document_version();
  view_.apply(delta);
  // New backends are acknowledged at once: if this proxy falls silent, control decides promotions by the
  // revision that it last reported.
  report_requested_ =
      report_requested_ || view_.closed_groups().size() != closed_before || !delta.backends.empty();
  if (version == view_.document_version()) return;
  runtime_.logger().log(LogLevel::kInfo, "document_in_force",
                        {{"version", std::to_string(view_.document_version())},
                         {"before", std::to_string(version)},
                         {"bytes", std::to_string(bytes)},
                         {"revision", std::to_string(view_.revision())}});
}

void FleetLink::request_report() {
  report_requested_ = true;
  wake_.notify_all();
}

void FleetLink::report_suspicion(const GroupAccess& group, SuspicionKind kind) {
  const registry::GroupTerm& term = group.term();
  if (!term.open) return;
  const TimePoint now = runtime_.now();
  auto& suspected_at = suspected_at_[{term.group, kind}];
  if (suspected_at != TimePoint{} && now - suspected_at < kSuspicionRepeatInterval) return;
  suspected_at = now;
  const bool commits_stall = kind == SuspicionKind::kCommitsStall;
  const bool unreachable = kind == SuspicionKind::kUnreachable;
  suspicions_.push_back({term.group, term.primary, term.term, commits_stall, unreachable});
  report_requested_ = true;
  runtime_.logger().log(LogLevel::kWarning, "primary_suspected",
                        {{"group", term.group.value},
                         {"primary", term.primary.value},
                         {"term", std::to_string(term.term)},
                         {"commits_stall", commits_stall ? "true" : "false"},
                         {"unreachable", unreachable ? "true" : "false"}});
  wake_.notify_all();
}

}  // namespace cairnhollow::registered::proxy

#include "declared/control/operator/operator_service_impl.h"

#include <fmt/format.h>

#include <algorithm>

#include "declared/config/object_names.h"
#include "declared/control/follow/change_command.h"
#include "declared/control/operator/drain_events.h"
#include "declared/control/operator/fleet_status.h"

namespace cairnhollow::declared::control {

OperatorServiceImpl::OperatorServiceImpl(runtime::Runtime& runtime, NodeName node, Endpoint operator_endpoint,
                                         consensus::Consensus& consensus, const ConfigReplica& replica,
                                         OperatorSources sources)
    : OperatorService(std::move(node)),
      runtime_(runtime),
      operator_endpoint_(std::move(operator_endpoint)),
      consensus_(consensus),
      replica_(replica),
      sources_(sources) {}

Awaitable<std::optional<config::ChangeOutcome>> OperatorServiceImpl::apply(config::ChangeRequest request,
                                                                           TimePoint deadline,
                                                                           Reason& reason) {
  const std::uint64_t revision_before = replica_.revision();
  const DrainEvents drains(request, replica_.machine());
  auto command = encode_change(request, replica_.feature_level(), reason);
  if (!command) co_return std::nullopt;
  const auto index = co_await consensus_.propose(std::move(*command), deadline, reason);
  if (!index) co_return std::nullopt;
  auto outcome = replica_.outcome_at(*index);
  if (!outcome) {
    reason = Reason{
        ReasonCode::kOutcomeUnknown, "apply_change", "",
        fmt::format("the outcome of log index {} is no longer retained; resend with the same change id",
                    *index)};
  }
  // A resent change returns its original, earlier revision; its events have been recorded already.
  if (outcome && outcome->accepted && outcome->revision > revision_before) {
    for (auto& event : drains.at_revision(outcome->revision)) sources_.events.record(std::move(event));
  }
  co_return outcome;
}

Awaitable<std::optional<ObjectList>> OperatorServiceImpl::list(config::ObjectQuery query, TimePoint deadline,
                                                               Reason& reason) {
  const auto index = co_await consensus_.read_barrier(deadline, reason);
  if (!index) co_return std::nullopt;
  ObjectList list;
  list.revision = replica_.revision();
  list.objects = replica_.machine().select(query);
  co_return list;
}

Awaitable<std::optional<config::StoredObject>> OperatorServiceImpl::find(config::ObjectKey key,
                                                                         TimePoint deadline, Reason& reason) {
  const auto index = co_await consensus_.read_barrier(deadline, reason);
  if (!index) co_return std::nullopt;
  auto stored = replica_.machine().find(key);
  if (!stored) {
    reason = Reason{ReasonCode::kNotFound, "find_object", "",
                    fmt::format("there is no {}", config::to_string(key))};
  }
  co_return stored;
}

Awaitable<std::optional<FleetStatus>> OperatorServiceImpl::status(TimePoint /*deadline*/,
                                                                  Reason& /*reason*/) {
  const consensus::ConsensusStatus consensus = consensus_.status();
  FleetStatus status;
  status.answered_by = node();
  status.leader = consensus.leader;
  status.consensus_term = consensus.term;
  status.commit_index = consensus.commit_index;
  status.revision = replica_.revision();
  status.members = member_status(consensus);
  status.other_control_nodes = non_member_nodes(consensus.members, sources_.followers.control_peers());
  status.groups = sources_.groups.group_status();
  status.proxies = sources_.followers.followers();
  status.leaving = sources_.groups.leaving_machines();
  co_return status;
}

std::vector<MemberStatus> OperatorServiceImpl::member_status(
    const consensus::ConsensusStatus& consensus) const {
  const auto peers = sources_.followers.control_peers();
  std::vector<MemberStatus> members;
  for (const auto& member : consensus.members) {
    MemberStatus status;
    status.member = member;
    status.is_leader = member.node == consensus.leader;
    if (member.node == node()) {
      status.reachable = true;
      status.operator_endpoint = operator_endpoint_;
    }
    const auto peer = std::find_if(peers.begin(), peers.end(),
                                   [&](const ControlPeerStatus& each) { return each.node == member.node; });
    if (peer != peers.end()) {
      status.reachable = peer->reachable;
      if (peer->operator_endpoint.port != 0) status.operator_endpoint = peer->operator_endpoint;
    }
    members.push_back(std::move(status));
  }
  std::sort(members.begin(), members.end(),
            [](const MemberStatus& a, const MemberStatus& b) { return a.member < b.member; });
  return members;
}

Awaitable<std::optional<std::vector<FleetEvent>>> OperatorServiceImpl::events(std::uint64_t since,
                                                                              std::uint32_t limit,
                                                                              TimePoint /*deadline*/,
                                                                              Reason& /*reason*/) {
  co_return sources_.events.events_since(since, limit);
}

Awaitable<std::optional<InForceReport>> OperatorServiceImpl::in_force(TimePoint deadline, Reason& reason) {
  const auto index = co_await consensus_.read_barrier(deadline, reason);
  if (!index) co_return std::nullopt;
  co_return in_force_report();
}

InForceReport OperatorServiceImpl::in_force_report() const {
  InForceReport report;
  report.revision = replica_.revision();
  std::uint64_t least_revision = report.revision;
  const auto record = [&](ProxyStatus proxy) {
    if (proxy.revision >= report.revision) return;
    least_revision = std::min(least_revision, proxy.revision);
    report.behind.push_back(std::move(proxy));
  };
  for (auto& proxy : sources_.followers.followers()) {
    if (proxy.lease_left > Duration::zero()) record(std::move(proxy));
  }
  for (const auto& peer : sources_.followers.control_peers()) {
    ProxyStatus unnamed;
    unnamed.control_node = peer.node;
    unnamed.revision = peer.followers_serving == 0 ? peer.revision : peer.followers_least_revision;
    if (!peer.reachable) unnamed.revision = 0;
    record(std::move(unnamed));
  }
  // Lower bound that does not depend on followers' reports: a lease still running was granted after a quorum
  // round that began after the proxy's request, so the proxy has everything accepted by then.
  const std::uint64_t leased = replica_.revision_at(runtime_.now() - sources_.followers.longest_lease());
  report.least_revision = std::max(least_revision, leased);
  if (report.least_revision >= report.revision) report.behind.clear();
  return report;
}

Awaitable<bool> OperatorServiceImpl::add_member(consensus::Member member, TimePoint deadline,
                                                Reason& reason) {
  const std::string node = member.node.value;
  const bool added = co_await consensus_.add_member(std::move(member), deadline, reason);
  if (added) record("member_added", node, fmt::format("{} was added to the consensus group", node));
  co_return added;
}

Awaitable<bool> OperatorServiceImpl::remove_member(NodeName node, TimePoint deadline, Reason& reason) {
  const bool removed = co_await consensus_.remove_member(node, deadline, reason);
  if (removed)
    record("member_removed", node.value, fmt::format("{} was removed from the consensus group", node.value));
  co_return removed;
}

Awaitable<bool> OperatorServiceImpl::replace_member(NodeName lost, consensus::Member replacement,
                                                    TimePoint deadline, Reason& reason) {
  const std::string from = lost.value;
  const std::string to = replacement.node.value;
  const bool replaced =
      co_await consensus_.replace_member(std::move(lost), std::move(replacement), deadline, reason);
  if (replaced) record("member_replaced", to, fmt::format("{} replaced {} in the consensus group", to, from));
  co_return replaced;
}

Awaitable<std::optional<SwitchoverOutcome>> OperatorServiceImpl::switchover(SwitchoverRequest request,
                                                                            TimePoint deadline,
                                                                            Reason& reason) {
  auto outcome = co_await sources_.switchovers.switch_over(std::move(request), deadline, reason);
  co_return outcome;
}

std::optional<Endpoint> OperatorServiceImpl::leader_operator_endpoint() const {
  const NodeName leader = consensus_.status().leader;
  if (leader.empty() || leader == node()) return std::nullopt;
  for (const auto& peer : sources_.followers.control_peers()) {
    if (peer.node == leader && peer.operator_endpoint.port != 0) return peer.operator_endpoint;
  }
  return std::nullopt;
}

bool OperatorServiceImpl::ready(Reason& reason) const { return sources_.health.ready(reason); }

std::string OperatorServiceImpl::metrics_text() const { return sources_.health.metrics_text(); }

void OperatorServiceImpl::record(std::string kind, std::string subject, std::string message) {
  FleetEvent event;
  event.kind = std::move(kind);
  event.subject = std::move(subject);
  event.message = std::move(message);
  sources_.events.record(std::move(event));
}

}  // namespace cairnhollow::declared::control

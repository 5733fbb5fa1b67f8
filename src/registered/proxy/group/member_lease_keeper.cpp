#include "registered/proxy/group/member_lease_keeper.h"

#include <fmt/format.h>

#include <utility>

#include "registered/proxy/group/status_question.h"
#include "registered/registry/member_lease.h"

namespace cairnhollow::registered::proxy {

using runtime::LogLevel;

struct MemberLeaseRenewer::Round {
  Round(runtime::Runtime& runtime, const registry::GroupTerm& asked_term)
      : term(asked_term), answered(runtime), deadline(runtime.now() + kMemberRoundTimeout) {}

  registry::GroupTerm term;
  Position primary_position;  ///< furthest position of the primary that this proxy knows
  std::size_t unanswered = 0;
  std::string failure;  ///< empty: all answers so far allow the lease
  runtime::Signal answered;
  TimePoint deadline;
};

void MemberLeaseRenewer::start() { runtime_.spawn("member_leases", run()); }

Awaitable<void> MemberLeaseRenewer::run() {
  while (!stopping_) {
    co_await runtime_.sleep_for(kMemberLeaseTick);
    if (is_needed()) begin_rounds();
    record_changes();
  }
}

bool MemberLeaseRenewer::is_needed() const {
  const TimePoint now = runtime_.now();
  const TimePoint until = view_.lease_until();
  const bool ever_held = until != TimePoint{};
  return ever_held && now + kMemberLeaseLeadTime > until && now < until + registry::kServeWithoutControl;
}

void MemberLeaseRenewer::begin_rounds() {
  for (const auto& [name, group] : view_.groups()) {
    if (!group->term().open || !view_.forwarding_targets(name).empty()) continue;
    if (!queried_groups_.insert(name).second) continue;
    runtime_.spawn("member_lease", renew(group));
  }
}

Awaitable<void> MemberLeaseRenewer::renew(std::shared_ptr<GroupAccess> group) {
  const TimePoint asked_at = runtime_.now();
  const auto round = std::make_shared<Round>(runtime_, group->term());
  const std::uint64_t membership = group->leadership.membership();
  round->primary_position = std::max(group->positions.highest_acknowledged(),
                                     group->positions.highest_shown().value_or(Position{}));
  for (const auto& [name, member] : group->backends.all()) {
    if (name == round->term.primary) continue;
    ++round->unanswered;
    runtime_.spawn("member_lease_ask", query_member(round, member));
  }
  if (round->unanswered == 0) round->failure = "no member besides the primary could be queried";
  if (group->backends.is_primary_restarted()) round->failure = "the primary has restarted";
  bool in_time = true;
  while (round->unanswered > 0 && round->failure.empty() && in_time)
    in_time = co_await round->answered.wait_until(round->deadline);
  if (round->unanswered > 0 && round->failure.empty())
    round->failure = "a member did not answer the status query in time";
  if (round->failure.empty())
    view_.extend_member_lease(*group, round->term.epoch, membership, asked_at + registry::kMemberLease);
  refusal_reasons_[group->name] = round->failure;
  if (!round->failure.empty() && !view_.holds_lease_for(*group)) record_refused(*group, round->failure);
  queried_groups_.erase(group->name);
}

Awaitable<void> MemberLeaseRenewer::query_member(RoundPointer round, std::shared_ptr<BackendState> member) {
  Reason reason;
  const auto answer = co_await query_status(runtime_, member, round->deadline, reason);
  --round->unanswered;
  std::string refusal =
      answer ? refusal_reason(*round, *member, answer->status)
             : fmt::format("{} did not report its status: {}", member->entry.name.value, reason.to_string());
  if (!refusal.empty()) round->failure = std::move(refusal);
  round->answered.notify_all();
}

std::string MemberLeaseRenewer::refusal_reason(const Round& round, BackendState& member,
                                               const BackendStatus& status) {
  const std::string& name = member.entry.name.value;
  if (status.is_primary || status.term != round.term.term)
    return fmt::format("{} reports that it is {} in term {}, expected a replica in term {}", name,
                       status.is_primary ? "primary" : "replica", status.term, round.term.term);
  if (status.pause_term > 0) return fmt::format("{} is paused for term {}", name, status.pause_term);
  // A pause does not survive a restart, so that a restarted member may lack one that it had when it was to be
  // asked.
  if (member.entry.has_start_time() && has_lost_log(round, member, status.received))
    return fmt::format("{} has restarted: its log is empty or shorter than before", name);
  return {};
}

bool MemberLeaseRenewer::has_lost_log(const Round& round, BackendState& member, Position received) {
  const bool is_empty = received.index == 0 && round.primary_position.index > 0;
  return !member.log_regression.record(round.term.term, received) || is_empty;
}

void MemberLeaseRenewer::record_refused(const GroupAccess& group, const std::string& why) {
  std::string& logged_reason = logged_reasons_[group.name];
  if (logged_reason == why) return;
  logged_reason = why;
  runtime_.logger().log(LogLevel::kWarning, "member_lease_refused",
                        {{"group", group.name.value},
                         {"term", std::to_string(group.term().term)},
                         {"epoch", std::to_string(group.term().epoch)},
                         {"why", why}});
}

void MemberLeaseRenewer::record_changes() {
  if (view_.lease_valid()) logged_reasons_.clear();
  std::size_t serving = 0;
  for (const auto& [name, group] : view_.groups()) {
    const bool serves = !view_.lease_valid() && group->leadership.has_member_lease();
    if (serves) ++serving;
    if (serves == (serving_.count(name) > 0)) continue;
    if (serves) serving_.insert(name);
    if (!serves) serving_.erase(name);
    const std::string why = view_.lease_valid() ? "control's lease is valid again" : refusal_reasons_[name];
    runtime_.logger().log(serves ? LogLevel::kInfo : LogLevel::kWarning,
                          serves ? "member_lease_held" : "member_lease_ended",
                          {{"group", name.value},
                           {"term", std::to_string(group->term().term)},
                           {"epoch", std::to_string(group->term().epoch)},
                           {"revision", std::to_string(view_.revision())},
                           {"why", serves ? "all other members are replicas in this term" : why}});
  }
  metrics_.set_member_leases(serving);
}

}  // namespace cairnhollow::registered::proxy

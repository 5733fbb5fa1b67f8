#include "registered/proxy/group/member_lease_keeper.h"

#include <fmt/format.h>

#include <utility>

#include "registered/proxy/group/status_question.h"
#include "registered/registry/member_lease.h"

namespace cairnhollow::registered::proxy {

using runtime::LogLevel;

struct MemberLeaseKeeper::Round {
  Round(runtime::Runtime& runtime, const registry::GroupTerm& asked_term)
      : term(asked_term), answered(runtime), deadline(runtime.now() + kMemberRoundLimit) {}

  registry::GroupTerm term;
  Position primary_shows;  ///< what the primary showed last, as far as this proxy knows
  std::size_t unanswered = 0;
  std::string failure;  ///< empty: every answer so far allows the lease
  runtime::Signal answered;
  TimePoint deadline;
};

void MemberLeaseKeeper::start() { runtime_.spawn("member_leases", run()); }

Awaitable<void> MemberLeaseKeeper::run() {
  while (!stopping_) {
    co_await runtime_.sleep_for(kMemberLeaseTick);
    if (is_needed()) begin_rounds();
    record_changes();
  }
}

bool MemberLeaseKeeper::is_needed() const {
  const TimePoint now = runtime_.now();
  const TimePoint until = view_.lease_until();
  const bool ever_held = until != TimePoint{};
  return ever_held && now + kMemberLeaseHeadStart > until && now < until + registry::kServeWithoutControl;
}

void MemberLeaseKeeper::begin_rounds() {
  for (const auto& [name, group] : view_.groups()) {
    if (!group->term().open || !view_.forward_to(name).empty()) continue;
    if (!asking_.insert(name).second) continue;
    runtime_.spawn("member_lease", renew(group));
  }
}

Awaitable<void> MemberLeaseKeeper::renew(std::shared_ptr<GroupAccess> group) {
  const TimePoint asked_at = runtime_.now();
  const auto round = std::make_shared<Round>(runtime_, group->term());
  const std::uint64_t membership = group->leadership.membership();
  round->primary_shows =
      std::max(group->positions.highest_acknowledged(), group->positions.shown().value_or(Position{}));
  for (const auto& [name, member] : group->backends.all()) {
    if (name == round->term.primary) continue;
    ++round->unanswered;
    runtime_.spawn("member_lease_ask", ask(round, member));
  }
  if (round->unanswered == 0) round->failure = "no member may follow the primary";
  if (group->backends.is_primary_restarted()) round->failure = "the primary has started again";
  bool in_time = true;
  while (round->unanswered > 0 && round->failure.empty() && in_time)
    in_time = co_await round->answered.wait_until(round->deadline);
  if (round->unanswered > 0 && round->failure.empty()) round->failure = "a member did not answer in time";
  if (round->failure.empty())
    view_.extend_member_lease(*group, round->term.epoch, membership, asked_at + registry::kMemberLease);
  failed_[group->name] = round->failure;
  if (!round->failure.empty() && !view_.holds_lease_for(*group)) record_refused(*group, round->failure);
  asking_.erase(group->name);
}

Awaitable<void> MemberLeaseKeeper::ask(RoundPointer round, std::shared_ptr<BackendUse> member) {
  Reason reason;
  const auto answer = co_await ask_status(runtime_, member, round->deadline, reason);
  --round->unanswered;
  std::string objection =
      answer ? objection_of(*round, *member, answer->status)
             : fmt::format("{} gave no status: {}", member->entry.name.value, reason.to_string());
  if (!objection.empty()) round->failure = std::move(objection);
  round->answered.notify_all();
}

std::string MemberLeaseKeeper::objection_of(const Round& round, BackendUse& member,
                                            const BackendStatus& status) {
  const std::string& name = member.entry.name.value;
  if (status.is_primary || status.term != round.term.term)
    return fmt::format("{} is {} of term {}, the known term is {}", name,
                       status.is_primary ? "primary" : "replica", status.term, round.term.term);
  if (status.pause_term > 0) return fmt::format("{} is paused for term {}", name, status.pause_term);
  // Its pause, if there was one, ended with the incarnation that the round was to ask.
  if (member.entry.has_start_time() && has_lost_log(round, member, status.received))
    return fmt::format("{} shows less than it should, so that it has started again", name);
  return {};
}

bool MemberLeaseKeeper::has_lost_log(const Round& round, BackendUse& member, Position received) {
  const bool is_blank = received.index == 0 && round.primary_shows.index > 0;
  return !member.shown_log.record(round.term.term, received) || is_blank;
}

void MemberLeaseKeeper::record_refused(const GroupAccess& group, const std::string& why) {
  std::string& told = told_[group.name];
  if (told == why) return;
  told = why;
  runtime_.logger().log(LogLevel::kWarning, "member_lease_refused",
                        {{"group", group.name.value},
                         {"term", std::to_string(group.term().term)},
                         {"epoch", std::to_string(group.term().epoch)},
                         {"why", why}});
}

void MemberLeaseKeeper::record_changes() {
  if (view_.lease_valid()) told_.clear();
  std::size_t serving = 0;
  for (const auto& [name, group] : view_.groups()) {
    const bool serves = !view_.lease_valid() && group->leadership.has_member_lease();
    if (serves) ++serving;
    if (serves == (serving_.count(name) > 0)) continue;
    if (serves) serving_.insert(name);
    if (!serves) serving_.erase(name);
    const std::string why = view_.lease_valid() ? "control gives leases again" : failed_[name];
    runtime_.logger().log(serves ? LogLevel::kInfo : LogLevel::kWarning,
                          serves ? "member_lease_held" : "member_lease_ended",
                          {{"group", name.value},
                           {"term", std::to_string(group->term().term)},
                           {"epoch", std::to_string(group->term().epoch)},
                           {"revision", std::to_string(view_.revision())},
                           {"why", serves ? "all other members are replicas of this term" : why}});
  }
  metrics_.set_member_leases(serving);
}

}  // namespace cairnhollow::registered::proxy

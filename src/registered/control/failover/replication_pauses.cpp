#include "registered/control/failover/replication_pauses.h"

#include <algorithm>

#include "registered/control/leases/lease_bounds.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

using registry::BackendEntry;
using registry::BackendIncarnation;
using registry::GroupTerm;

namespace {

/// Above the closed term and not above any later one: the next term has the same number.
std::uint64_t pause_term(const GroupTerm& closed) { return closed.term + 1; }

}  // namespace

struct ReplicationPauses::PendingAnswers {
  explicit PendingAnswers(runtime::Runtime& runtime) : changed(runtime) {}
  std::size_t missing = 0;
  bool all_succeeded = true;
  runtime::Signal changed;
};

void ReplicationPauses::record_members() {
  if (recorded_revision_ == fleet_.revision()) return;
  recorded_revision_ = fleet_.revision();
  std::map<BackendIncarnation, FirstSeen> known;
  for (const auto& group : fleet_.groups()) {
    for (const BackendIncarnation& member : fleet_.incarnations_of(group.name)) {
      const auto before = first_seen_.find(member);
      const FirstSeen now{runtime_.now(), fleet_.backend_revision(member.name)};
      known.emplace(member, before == first_seen_.end() ? now : before->second);
    }
  }
  first_seen_ = std::move(known);
}

Awaitable<void> ReplicationPauses::pause(GroupTerm closed) {
  GroupPauses& pauses = paused_[closed.group];
  if (pauses.epoch != closed.epoch) pauses = GroupPauses{closed.epoch, {}};
  const auto answers = std::make_shared<PendingAnswers>(runtime_);
  for (const BackendEntry& member : fleet_.backends_of(closed.group)) {
    if (closed.is_led_by(member) || pauses.since.count(member.incarnation()) > 0) continue;
    ++answers->missing;
    runtime_.spawn("pause_member", pause_one(answers, member, closed));
  }
  while (answers->missing > 0) co_await answers->changed.wait();
}

Awaitable<void> ReplicationPauses::pause_one(std::shared_ptr<PendingAnswers> answers, BackendEntry member,
                                             GroupTerm closed) {
  Reason reason;
  const TimePoint deadline = runtime_.now() + kStatusTimeout;
  auto status = co_await prober_.pause(member, pause_term(closed), deadline, reason);
  // A member that an earlier leader paused may reject a pause with the same term, so its status decides.
  if (!status) status = co_await prober_.query(member, deadline, reason);
  const bool paused = status && status->pause_term >= pause_term(closed);
  GroupPauses& pauses = paused_[closed.group];
  if (!status && pauses.epoch == closed.epoch) pauses.has_unanswered = true;
  if (paused && pauses.epoch == closed.epoch) pauses.since[member.incarnation()] = runtime_.now();
  runtime_.logger().log(paused ? runtime::LogLevel::kInfo : runtime::LogLevel::kWarning,
                        paused ? "member_paused" : "member_not_paused", reason,
                        {{"group", closed.group.value},
                         {"backend", member.name.value},
                         {"epoch", std::to_string(closed.epoch)},
                         {"pause_term", std::to_string(pause_term(closed))},
                         {"shown_term", std::to_string(status ? status->term : 0)},
                         {"shown_pause", std::to_string(status ? status->pause_term : 0)}});
  --answers->missing;
  answers->changed.notify_all();
}

TimePoint ReplicationPauses::earliest_promotion(const BackendIncarnation& member, TimePoint paused_at,
                                                std::uint64_t min_unresponsive_revision) const {
  const auto found = first_seen_.find(member);
  const FirstSeen known =
      found == first_seen_.end() ? FirstSeen{runtime_.now(), fleet_.revision()} : found->second;
  return member_lease_end(paused_at,
                          queried_by_all_from(known.since, known.revision, min_unresponsive_revision));
}

TimePoint ReplicationPauses::earliest_promotion(const GroupTerm& closed,
                                                std::uint64_t min_unresponsive_revision) const {
  TimePoint earliest = TimePoint::max();
  const auto found = paused_.find(closed.group);
  if (found == paused_.end() || found->second.epoch != closed.epoch) return earliest;
  for (const auto& [member, since] : found->second.since) {
    const BackendEntry* entry = fleet_.find_backend(member.name);
    if (entry == nullptr || entry->incarnation() != member) continue;
    earliest = std::min(earliest, earliest_promotion(member, since, min_unresponsive_revision));
  }
  return earliest;
}

bool ReplicationPauses::fences_old_primary(const GroupTerm& closed, std::uint64_t min_unresponsive_revision,
                                           const std::vector<MemberFinding>& findings,
                                           const BackendName& candidate) const {
  const auto found = paused_.find(closed.group);
  if (found == paused_.end() || found->second.epoch != closed.epoch) return false;
  const auto still_paused = std::find_if(findings.begin(), findings.end(), [&](const MemberFinding& member) {
    return member.entry.name == candidate && member.status && member.status->pause_term >= pause_term(closed);
  });
  if (still_paused == findings.end()) return false;
  const BackendIncarnation paused_member = still_paused->entry.incarnation();
  const auto since = found->second.since.find(paused_member);
  if (since == found->second.since.end()) return false;
  return runtime_.now() >= earliest_promotion(paused_member, since->second, min_unresponsive_revision);
}

Awaitable<bool> ReplicationPauses::resume(GroupName group) {
  const auto found = paused_.find(group);
  if (found == paused_.end()) co_return true;
  const bool has_unanswered = found->second.has_unanswered;
  const std::map<BackendIncarnation, TimePoint> since = std::move(found->second.since);
  paused_.erase(found);
  std::vector<BackendEntry> members = fleet_.backends_of(group);
  std::erase_if(members, [&](const BackendEntry& member) { return since.count(member.incarnation()) == 0; });
  const bool resumed = co_await resume_members(std::move(members));
  co_return resumed && !has_unanswered;
}

Awaitable<bool> ReplicationPauses::resume_members(std::vector<BackendEntry> members) {
  const auto answers = std::make_shared<PendingAnswers>(runtime_);
  for (const BackendEntry& member : members) {
    ++answers->missing;
    runtime_.spawn("resume_member", resume_one(answers, member));
  }
  while (answers->missing > 0) co_await answers->changed.wait();
  co_return answers->all_succeeded;
}

Awaitable<void> ReplicationPauses::resume_one(std::shared_ptr<PendingAnswers> answers, BackendEntry member) {
  Reason reason;
  const TimePoint deadline = runtime_.now() + kStatusTimeout;
  const auto status = co_await prober_.resume(member, deadline, reason);
  const bool resumed = status && status->pause_term == 0;
  if (!resumed) answers->all_succeeded = false;
  runtime_.logger().log(resumed ? runtime::LogLevel::kInfo : runtime::LogLevel::kWarning,
                        resumed ? "member_resumed" : "member_not_resumed", reason,
                        {{"group", member.group.value}, {"backend", member.name.value}});
  --answers->missing;
  answers->changed.notify_all();
}

Awaitable<ReplicationPauses::PausedMembers> ReplicationPauses::find_paused(GroupName group) {
  const auto findings = co_await prober_.query_all(fleet_.backends_of(group));
  PausedMembers paused;
  paused.all_answered = true;
  for (const MemberFinding& member : findings) {
    if (!member.status) paused.all_answered = false;
    if (member.status && member.status->pause_term > 0) paused.entries.push_back(member.entry);
  }
  co_return paused;
}

}  // namespace cairnhollow::registered::control

#include "registered/control/failover/primary_suspicions.h"

namespace cairnhollow::registered::control {

namespace {

bool concerns(const registry::PrimarySuspicion& report, const registry::GroupTerm& term) {
  return report.term == term.term && report.backend == term.primary;
}

}  // namespace

int failed_checks_needed(std::size_t suspecting_proxies) {
  return suspecting_proxies >= kCorroboratingProxies ? 1 : kRequiredFailedChecks;
}

bool is_unreachable_for_proxies(std::size_t reporting, std::size_t serving) {
  return reporting >= kCorroboratingProxies &&
         reporting * kUnreachableShareDenominator >= serving * kUnreachableShareNumerator;
}

void PrimarySuspicions::record(const NodeName& proxy, const registry::PrimarySuspicion& report,
                               TimePoint now) {
  Suspicion& current = suspicions_[report.group];
  const bool same = current.report.backend == report.backend && current.report.term == report.term;
  if (!same) current.proxies.clear();
  current.report = report;
  current.at = now;
  current.proxies[proxy] = now;
  std::erase_if(current.proxies, [&](const auto& entry) { return now - entry.second > kSuspicionExpiry; });
  UnableToConnect& unable = unable_[report.group];
  if (unable.term != report.term) unable = UnableToConnect{report.term, {}};
  if (report.unreachable) unable.proxies[proxy] = now;
  std::erase_if(unable.proxies,
                [&](const auto& entry) { return now - entry.second > kUnreachableReportExpiry; });
}

std::optional<PrimarySuspicions::Suspected> PrimarySuspicions::take(const registry::GroupTerm& term,
                                                                    TimePoint now) {
  const auto found = suspicions_.find(term.group);
  if (found == suspicions_.end()) return std::nullopt;
  const Suspicion suspected = std::move(found->second);
  suspicions_.erase(found);
  if (!concerns(suspected.report, term) || now - suspected.at >= kSuspicionExpiry) return std::nullopt;
  return Suspected{suspected.report.commits_stall, suspected.proxies.size()};
}

std::size_t PrimarySuspicions::count_suspecting(const registry::GroupTerm& term) const {
  const auto found = suspicions_.find(term.group);
  return found != suspicions_.end() && concerns(found->second.report, term) ? found->second.proxies.size()
                                                                            : 0;
}

bool PrimarySuspicions::reports_stalled_commits(const registry::GroupTerm& term, TimePoint now) const {
  const auto found = suspicions_.find(term.group);
  if (found == suspicions_.end() || !concerns(found->second.report, term)) return false;
  return found->second.report.commits_stall && now - found->second.at < kSuspicionExpiry;
}

std::size_t PrimarySuspicions::count_unable_to_connect(const GroupName& group) const {
  const auto found = unable_.find(group);
  return found == unable_.end() ? 0 : found->second.proxies.size();
}

}  // namespace cairnhollow::registered::control

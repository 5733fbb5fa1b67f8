#include "registered/control/failover/primary_suspicions.h"

namespace cairnhollow::registered::control {

namespace {

bool is_of(const registry::PrimarySuspicion& said, const registry::GroupTerm& term) {
  return said.term == term.term && said.backend == term.primary;
}

}  // namespace

int dead_checks_needed(std::size_t suspecting_proxies) {
  return suspecting_proxies >= kSuspectingProxies ? 1 : kDeadChecks;
}

bool is_out_of_reach(std::size_t saying, std::size_t serving) {
  return saying >= kSuspectingProxies && saying * kOutOfReachWhole >= serving * kOutOfReachPart;
}

void PrimarySuspicions::record(const NodeName& proxy, const registry::PrimarySuspicion& said, TimePoint now) {
  Suspicion& held = suspicions_[said.group];
  const bool same = held.said.backend == said.backend && held.said.term == said.term;
  if (!same) held.proxies.clear();
  held.said = said;
  held.at = now;
  held.proxies[proxy] = now;
  std::erase_if(held.proxies, [&](const auto& entry) { return now - entry.second > kSuspicionLapse; });
  UnableToConnect& unable = unable_[said.group];
  if (unable.term != said.term) unable = UnableToConnect{said.term, {}};
  if (said.unreachable) unable.proxies[proxy] = now;
  std::erase_if(unable.proxies, [&](const auto& entry) { return now - entry.second > kOutOfReachLapse; });
}

std::optional<PrimarySuspicions::Suspected> PrimarySuspicions::take(const registry::GroupTerm& term,
                                                                    TimePoint now) {
  const auto found = suspicions_.find(term.group);
  if (found == suspicions_.end()) return std::nullopt;
  const Suspicion suspected = std::move(found->second);
  suspicions_.erase(found);
  if (!is_of(suspected.said, term) || now - suspected.at >= kSuspicionLapse) return std::nullopt;
  return Suspected{suspected.said.commits_stall, suspected.proxies.size()};
}

std::size_t PrimarySuspicions::suspecting(const registry::GroupTerm& term) const {
  const auto found = suspicions_.find(term.group);
  return found != suspicions_.end() && is_of(found->second.said, term) ? found->second.proxies.size() : 0;
}

std::size_t PrimarySuspicions::unable_to_connect(const GroupName& group) const {
  const auto found = unable_.find(group);
  return found == unable_.end() ? 0 : found->second.proxies.size();
}

}  // namespace cairnhollow::registered::control

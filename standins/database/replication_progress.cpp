#include "standins/database/replication_progress.h"

#include <algorithm>

namespace cairnhollow::standins::database {

ReplicationProgress::ReplicationProgress(const BackendName& self, const std::vector<BackendName>& members) {
  for (const auto& member : members) {
    if (member != self) replicas_.emplace(member, Replica{});
  }
}

bool ReplicationProgress::is_replica(const BackendName& replica) const {
  return replicas_.count(replica) > 0;
}

void ReplicationProgress::heard(const BackendName& replica, TimePoint now, std::uint64_t round) {
  auto& entry = replicas_.at(replica);
  entry.heard_at = now;
  entry.round = std::max(entry.round, round);
}

void ReplicationProgress::matched(const BackendName& replica, std::uint64_t index) {
  replicas_.at(replica).matched = index;
}

std::uint64_t ReplicationProgress::majority_index(std::uint64_t own_index) const {
  std::vector<std::uint64_t> held{own_index};
  for (const auto& [name, replica] : replicas_) held.push_back(replica.matched);
  std::sort(held.begin(), held.end());
  // Of n members sorted upwards, floor(n/2)+1 hold at least the one at place ceil(n/2)-1.
  return held[(held.size() - 1) / 2];
}

template <class Predicate>
bool ReplicationProgress::majority(Predicate predicate) const {
  std::size_t agreeing = 1;
  for (const auto& [name, replica] : replicas_) agreeing += predicate(replica) ? 1 : 0;
  return agreeing > (replicas_.size() + 1) / 2;
}

bool ReplicationProgress::majority_heard(TimePoint since) const {
  return majority([since](const Replica& replica) { return replica.heard_at >= since; });
}

bool ReplicationProgress::majority_confirmed(std::uint64_t round) const {
  return majority([round](const Replica& replica) { return replica.round >= round; });
}

bool ReplicationProgress::all_heard_hold(std::uint64_t index, TimePoint since) const {
  return std::all_of(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
    return entry.second.heard_at < since || entry.second.matched >= index;
  });
}

}  // namespace cairnhollow::standins::database

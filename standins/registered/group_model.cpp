#include "standins/registered/group_model.h"

#include <algorithm>

namespace cairnhollow::standins::registered {

namespace {

/// An old primary becomes a replica this long after it reaches the new one.
constexpr Duration kOldPrimaryLife = std::chrono::seconds(1);

}  // namespace

GroupModel::GroupModel(GroupName name, std::vector<BackendName> members, Duration lag)
    : name_(std::move(name)) {
  for (const BackendName& member : members) members_[member].lag = lag;
  members_.at(members.front()).primary = true;
}

bool GroupModel::reaches(const BackendName& one, const BackendName& other) const {
  return members_.at(one).running && members_.at(other).running && cuts_.count({one, other}) == 0 &&
         cuts_.count({other, one}) == 0;
}

std::uint64_t GroupModel::append(const BackendName& name, std::string record, std::string token,
                                 TimePoint now) {
  MemberState& member = members_.at(name);
  member.log.push_back({member.term, std::move(record), std::move(token)});
  member.applied_at.push_back(now);
  return member.log.size();
}

bool GroupModel::is_replicated(const BackendName& primary, std::uint64_t index) const {
  const MemberState& from = members_.at(primary);
  if (from.log.size() < index) return false;
  return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
    const MemberState& to = entry.second;
    return entry.first != primary && to.log.size() >= index && to.log[index - 1] == from.log[index - 1];
  });
}

void GroupModel::replicate(const BackendName& name, TimePoint now) {
  MemberState& member = members_.at(name);
  if (!member.running) return;
  const MemberState* source = nullptr;
  for (const auto& [other, state] : members_) {
    if (other == name || !state.primary || !reaches(name, other)) continue;
    if (source == nullptr || state.term > source->term) source = &state;
  }
  if (source == nullptr || source->term < member.term) return;
  if (member.primary) {
    if (source->term == member.term) return;
    if (!member.old_since) member.old_since = now;
    if (now - *member.old_since < kOldPrimaryLife) return;
    member.primary = false;
  }
  member.old_since.reset();
  if (member.deaf || member.pause_term > 0) return;
  std::size_t common = 0;
  while (common < member.log.size() && common < source->log.size() &&
         member.log[common] == source->log[common])
    ++common;
  member.log.resize(common);
  member.applied_at.resize(common);
  member.term = source->term;
  for (std::size_t index = common; index < source->log.size(); ++index) {
    member.log.push_back(source->log[index]);
    member.applied_at.push_back(now + member.lag);
  }
}

void GroupModel::promote(const BackendName& name, TimePoint now) {
  MemberState& member = members_.at(name);
  if (!member.running || is_present_primary(name)) return;
  member.primary = true;
  member.pause_term = 0;
  member.term = ++newest_term_;
  for (auto& at : member.applied_at) at = std::min(at, now);
  ++promotions_;
}

bool GroupModel::is_present_primary(const BackendName& name) const {
  const MemberState& member = members_.at(name);
  return member.primary && member.term == newest_term_;
}

void GroupModel::demote(const BackendName& name, std::uint64_t term) {
  MemberState& member = members_.at(name);
  if (member.term < term) member.primary = false;
}

void GroupModel::pause(const BackendName& name, std::uint64_t term) {
  MemberState& member = members_.at(name);
  if (!member.primary && term > newest_term_) member.pause_term = term;
}

void GroupModel::forget(const BackendName& name) {
  const Duration lag = members_.at(name).lag;
  members_[name] = MemberState{};
  members_[name].lag = lag;
}

std::uint64_t GroupModel::applied(const BackendName& name, TimePoint now) const {
  const MemberState& member = members_.at(name);
  std::uint64_t count = 0;
  while (count < member.log.size() && member.applied_at[count] <= now) ++count;
  return count;
}

std::string GroupModel::read(const BackendName& name, const std::string& record, TimePoint now) const {
  const MemberState& member = members_.at(name);
  const std::uint64_t count = applied(name, now);
  std::string tokens;
  for (std::uint64_t index = 0; index < count; ++index) {
    if (member.log[index].record != record) continue;
    if (!tokens.empty()) tokens += ',';
    tokens += member.log[index].token;
  }
  return tokens;
}

bool GroupModel::holds(const BackendName& name, Position position, TimePoint now) const {
  const MemberState& member = members_.at(name);
  if (position.index == 0) return true;
  return applied(name, now) >= position.index && member.log[position.index - 1].term == position.term;
}

const BackendName* GroupModel::leader() const {
  const BackendName* leader = nullptr;
  for (const auto& [name, member] : members_) {
    if (!member.running || !member.primary) continue;
    if (leader == nullptr || member.term > members_.at(*leader).term) leader = &name;
  }
  return leader;
}

}  // namespace cairnhollow::standins::registered

#include "consensus/configuration.h"

#include <algorithm>

namespace cairnhollow::consensus {
namespace {

template <class Predicate>
const Member* find_if(const Configuration& configuration, Predicate matches) {
  for (const auto* list : {&configuration.next_members, &configuration.members}) {
    const auto found = std::find_if(list->begin(), list->end(), matches);
    if (found != list->end()) return &*found;
  }
  return nullptr;
}

bool list_has_quorum(const std::vector<Member>& members, bool formed,
                     const std::function<bool(const Member&)>& agrees) {
  std::size_t voters = 0;
  std::size_t agreeing = 0;
  for (const Member& member : members) {
    if (member.role != MemberRole::kVoter) continue;
    ++voters;
    if (agrees(member)) ++agreeing;
  }
  const std::size_t needed = formed ? voters / 2 + 1 : voters;
  return voters > 0 && agreeing >= needed;
}

}  // namespace

const Member* Configuration::find(const NodeName& node) const {
  return find_if(*this, [&](const Member& member) { return member.node == node; });
}

const Member* Configuration::find(const MemberKey& key) const {
  return find_if(*this, [&](const Member& member) { return key_of(member) == key; });
}

bool Configuration::is_member(const MemberKey& key) const {
  return formed ? find(key) != nullptr : find(key.node) != nullptr;
}

bool Configuration::is_voter(const MemberKey& key) const {
  const Member* voter = find_if(*this, [&](const Member& member) {
    const bool same = formed ? key_of(member) == key : member.node == key.node;
    return same && member.role == MemberRole::kVoter;
  });
  return voter != nullptr;
}

std::vector<Member> Configuration::all() const {
  if (!is_joint()) {
    std::vector<Member> sorted = members;
    std::sort(sorted.begin(), sorted.end(),
              [](const Member& left, const Member& right) { return key_of(left) < key_of(right); });
    return sorted;
  }
  std::map<MemberKey, Member> by_key;
  for (const Member& member : next_members) by_key.emplace(key_of(member), member);
  for (const Member& member : members) by_key.emplace(key_of(member), member);
  std::vector<Member> all_members;
  all_members.reserve(by_key.size());
  for (auto& [key, member] : by_key) all_members.push_back(std::move(member));
  return all_members;
}

bool Configuration::has_quorum(const std::function<bool(const Member&)>& agrees) const {
  if (!list_has_quorum(members, formed, agrees)) return false;
  return !is_joint() || list_has_quorum(next_members, formed, agrees);
}

void ConfigurationHistory::reset(std::uint64_t index, Configuration configuration) {
  by_index_.clear();
  by_index_.emplace(index, std::move(configuration));
}

void ConfigurationHistory::append(std::uint64_t index, Configuration configuration) {
  by_index_.insert_or_assign(index, std::move(configuration));
}

void ConfigurationHistory::truncate_after(std::uint64_t index) {
  by_index_.erase(by_index_.upper_bound(index), by_index_.end());
}

void ConfigurationHistory::compact_to(std::uint64_t index) {
  const auto in_effect = std::prev(by_index_.upper_bound(index));
  by_index_.erase(by_index_.begin(), in_effect);
}

const Configuration& ConfigurationHistory::at(std::uint64_t index) const {
  return std::prev(by_index_.upper_bound(index))->second;
}

}  // namespace cairnhollow::consensus

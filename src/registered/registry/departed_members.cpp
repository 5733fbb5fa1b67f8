#include "registered/registry/departed_members.h"

#include <algorithm>
#include <utility>

namespace cairnhollow::registered::registry {

const std::vector<DepartedMember>& DepartedMembers::of(const GroupName& group) const {
  static const std::vector<DepartedMember> none;
  const auto found = departed_.find(group);
  return found == departed_.end() ? none : found->second;
}

std::size_t DepartedMembers::size() const {
  std::size_t size = 0;
  for (const auto& [group, members] : departed_) size += members.size();
  return size;
}

std::vector<GroupName> DepartedMembers::groups() const {
  std::vector<GroupName> groups;
  groups.reserve(departed_.size());
  for (const auto& [group, members] : departed_) groups.push_back(group);
  return groups;
}

void DepartedMembers::record(const GroupName& group, DepartedMember departed) {
  std::vector<DepartedMember>& members = departed_[group];
  members.push_back(std::move(departed));
  merge_ended(members);
}

void DepartedMembers::record_registration(const BackendEntry& entry, std::uint64_t revision) {
  for (auto& [group, members] : departed_) {
    const bool is_same_group = group == entry.group;
    const bool is_successor = is_same_group && !entry.has_start_time();
    std::erase_if(members, [&](const DepartedMember& departed) {
      const bool passes_log = is_successor && departed.endpoint == entry.endpoint && !departed.has_ended &&
                              departed.incarnation.start_time_ms == 0;
      // The same incarnation has registered again, with its log.
      const bool is_back =
          is_same_group && departed.incarnation == entry.incarnation() && !departed.has_ended;
      return passes_log || is_back;
    });
    for (DepartedMember& departed : members) {
      if (departed.has_ended || departed.endpoint != entry.endpoint) continue;
      departed.has_ended = true;
      departed.revision = revision;
    }
    merge_ended(members);
  }
  std::erase_if(departed_, [](const auto& entry) { return entry.second.empty(); });
}

void DepartedMembers::settle(const GroupName& group, const std::vector<DepartedMember>& settled) {
  const auto found = departed_.find(group);
  if (found == departed_.end()) return;
  std::erase_if(found->second, [&](const DepartedMember& departed) {
    return std::find(settled.begin(), settled.end(), departed) != settled.end();
  });
  if (found->second.empty()) departed_.erase(found);
}

void DepartedMembers::merge_ended(std::vector<DepartedMember>& members) {
  std::uint64_t latest_term = 0;
  std::uint64_t latest_revision = 0;
  for (const DepartedMember& member : members) latest_term = std::max(latest_term, member.led_term);
  const auto is_merged = [&](const DepartedMember& member) {
    return member.has_ended && (member.led_term == 0 || member.led_term < latest_term);
  };
  for (const DepartedMember& member : members) {
    if (is_merged(member)) latest_revision = std::max(latest_revision, member.revision);
  }
  bool is_kept = false;
  std::erase_if(members, [&](const DepartedMember& member) {
    return is_merged(member) && (member.revision != latest_revision || std::exchange(is_kept, true));
  });
  for (DepartedMember& member : members) {
    if (is_merged(member)) member.led_term = 0;
  }
}

}  // namespace cairnhollow::registered::registry

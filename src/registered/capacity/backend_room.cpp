#include "registered/capacity/backend_room.h"

#include <algorithm>
#include <utility>

namespace cairnhollow::registered::capacity {

using scheduling::SlotDemand;

std::size_t BackendRoom::set_owners(std::uint32_t slots, std::vector<subset::ProxyPointer> owners,
                                    const NodeName& self) {
  const auto previous = std::exchange(owners_, std::move(owners));
  slots_ = slots;
  self_.reset();
  for (std::size_t index = 0; index < owners_.size(); ++index) {
    if (owners_[index]->name == self) self_ = index;
  }
  std::erase_if(told_, [this](const auto& entry) { return !is_owner(entry.first); });
  return static_cast<std::size_t>(
      std::count_if(previous.begin(), previous.end(),
                    [this](const subset::ProxyPointer& owner) { return !is_owner(owner->name); }));
}

bool BackendRoom::is_owner(const NodeName& proxy) const {
  return std::any_of(owners_.begin(), owners_.end(),
                     [&proxy](const subset::ProxyPointer& owner) { return owner->name == proxy; });
}

void BackendRoom::record(const NodeName& owner, const SlotDemand& demand, TimePoint as_of) {
  if (is_owner(owner)) told_[owner] = Told{demand, as_of};
}

bool BackendRoom::has_news(TimePoint now) const {
  return std::any_of(told_.begin(), told_.end(),
                     [now](const auto& entry) { return now - entry.second.as_of < kDemandLifetime; });
}

std::uint32_t BackendRoom::static_part(std::size_t owner) const {
  const auto count = static_cast<std::uint32_t>(owners_.size());
  return std::max(slots_ / count + (owner < slots_ % count ? 1 : 0), 1U);
}

const SlotDemand* BackendRoom::demand_of(const NodeName& owner, TimePoint now) const {
  const auto found = told_.find(owner);
  if (found == told_.end() || now - found->second.as_of >= kDemandLifetime) return nullptr;
  return &found->second.demand;
}

std::uint32_t BackendRoom::capacity(const SlotDemand& own, TimePoint now) const {
  if (!self_) return kGuestStatements;
  std::uint32_t taken = 0;  // by owners of which nothing is known
  std::vector<SlotDemand> known;
  std::size_t own_index = 0;
  for (std::size_t index = 0; index < owners_.size(); ++index) {
    const SlotDemand* demand = index == *self_ ? &own : demand_of(owners_[index]->name, now);
    if (index == *self_) own_index = known.size();
    if (demand != nullptr) known.push_back(*demand);
    if (demand == nullptr) taken += static_part(index);
  }
  const std::uint32_t left = slots_ > taken ? slots_ - taken : 0;
  return scheduling::divide_slots(left, known, own_index) + kBacklogPerOwner;
}

}  // namespace cairnhollow::registered::capacity

#include "registered/scheduling/slot_shares.h"

#include <algorithm>
#include <vector>

namespace cairnhollow::registered::scheduling {

namespace {

/// What the owners still want and have been given.
class Division {
 public:
  explicit Division(std::uint32_t slots, std::size_t owners) : left_(slots), given_(owners, 0) {}

  [[nodiscard]] std::uint32_t given(std::size_t owner) const { return given_[owner]; }
  [[nodiscard]] std::uint32_t left() const { return left_; }

  /// Gives the slots that are left to owners that want more of them, one each in turn.
  void fill(std::vector<std::uint32_t> wanted) {
    bool is_wanted = true;
    while (left_ > 0 && is_wanted) {
      is_wanted = false;
      for (std::size_t owner = 0; owner < wanted.size() && left_ > 0; ++owner) {
        if (wanted[owner] == 0) continue;
        --wanted[owner];
        ++given_[owner];
        --left_;
        is_wanted = true;
      }
    }
  }
  void add(std::size_t owner, std::uint32_t slots) { given_[owner] += slots; }

 private:
  std::uint32_t left_;
  std::vector<std::uint32_t> given_;
};

bool has_demand(const SlotDemand& demand) { return demand.running > 0 || demand.total_waiting() > 0; }

/// Takes the slot that each owner is given before any class counts from the highest class that wants one.
void take_first(SlotDemand& demand) {
  for (std::uint32_t& waiting : demand.waiting) {
    if (waiting == 0) continue;
    --waiting;
    return;
  }
  if (demand.running > 0) --demand.running;
}

}  // namespace

std::uint32_t divide_slots(std::uint32_t slots, std::span<const SlotDemand> demands, std::size_t self) {
  std::vector<SlotDemand> open(demands.begin(), demands.end());
  Division division(slots, open.size());
  std::vector<std::uint32_t> wanted(open.size());
  for (std::size_t owner = 0; owner < open.size(); ++owner) wanted[owner] = has_demand(open[owner]) ? 1 : 0;
  division.fill(wanted);
  for (SlotDemand& demand : open) take_first(demand);
  for (std::size_t priority = 0; priority < kDemandClasses; ++priority) {
    // What runs needs its slot until it ends, but has no claim on the next before waiting statements.
    const bool is_last = priority + 1 == kDemandClasses;
    for (std::size_t owner = 0; owner < open.size(); ++owner)
      wanted[owner] = open[owner].waiting[priority] + (is_last ? open[owner].running : 0);
    division.fill(wanted);
  }
  const auto owners = static_cast<std::uint32_t>(open.size());
  const std::uint32_t even = division.left() / owners;
  const std::uint32_t remainder = division.left() % owners;
  division.add(self, even + (self < remainder ? 1 : 0));
  return std::max(division.given(self), 1U);
}

}  // namespace cairnhollow::registered::scheduling

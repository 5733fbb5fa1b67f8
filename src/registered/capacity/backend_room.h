// This proxy's part of a backend's slots, computed from the demands that the backend's owners have reported
// to each other. Pure: the caller passes the time.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "registered/capacity/backend_owners.h"
#include "registered/scheduling/slot_shares.h"

namespace cairnhollow::registered::capacity {

/// Shortest interval between two messages from one owner to another about the same backend. Half of
/// kDemandLifetime, so that one lost message changes nothing: a message and its answer take some 400 bytes of
/// the machines' links, which statements need.
inline constexpr Duration kDemandInterval = std::chrono::milliseconds(50);
/// An owner that has reported nothing for this long counts with its static part. Two lost messages in a row,
/// and as long as a healthy process may be stopped by CPU throttling.
inline constexpr Duration kDemandLifetime = std::chrono::milliseconds(100);
/// Statements that an owner sends beyond its part, so that a slot is not idle while answers and the next
/// statements are on their way, and a burst does not wait until the others have reported their demands.
inline constexpr std::uint32_t kBacklogPerOwner = 2;
/// Statements that a proxy that owns no part of the backend may run there at once.
inline constexpr std::uint32_t kGuestStatements = 2;

class BackendRoom {
 public:
  /// `slots`: of the backend; 0: unknown. `owners`: in the order of owners_of(). What owners that stay have
  /// told is kept. Returns how many owners of before own it no longer.
  std::size_t set_owners(std::uint32_t slots, std::vector<subset::ProxyPointer> owners, const NodeName& self);
  /// For a backend whose slots are not divided among owners.
  void clear() { *this = {}; }
  /// Whether the backend's slots are known and divided among owners.
  [[nodiscard]] bool is_divided() const { return slots_ > 0 && !owners_.empty(); }
  [[nodiscard]] bool is_owner() const { return self_.has_value(); }
  [[nodiscard]] bool is_owner(const NodeName& proxy) const;
  [[nodiscard]] const std::vector<subset::ProxyPointer>& owners() const { return owners_; }
  /// Records the demand that another owner had at `as_of`. Ignored from a proxy that is no owner.
  void record(const NodeName& owner, const scheduling::SlotDemand& demand, TimePoint as_of);
  /// Whether another owner's demand is younger than kDemandLifetime.
  [[nodiscard]] bool has_news(TimePoint now) const;
  /// Number of statements that this proxy may have at the backend at once. `own`: its demand.
  [[nodiscard]] std::uint32_t capacity(const scheduling::SlotDemand& own, TimePoint now) const;

 private:
  struct Told {
    scheduling::SlotDemand demand;
    TimePoint as_of{};
  };

  /// The owner's part of the slots when nothing is known of any demand. The parts add up to the slots.
  [[nodiscard]] std::uint32_t static_part(std::size_t owner) const;
  [[nodiscard]] const scheduling::SlotDemand* demand_of(const NodeName& owner, TimePoint now) const;

  std::uint32_t slots_ = 0;
  std::vector<subset::ProxyPointer> owners_;
  std::optional<std::size_t> self_;  ///< index of this proxy in owners_
  std::map<NodeName, Told> told_;    ///< by other owners
};

}  // namespace cairnhollow::registered::capacity

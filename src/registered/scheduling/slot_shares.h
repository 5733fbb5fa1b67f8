// Divides a backend's slots among the proxies that own it, in proportion to what each of them needs now.
//
// Every owner computes the division from the demands that the owners have told each other. Pure functions:
// owners with the same demands compute the same division.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace cairnhollow::registered::scheduling {

/// Number of priority classes that the division distinguishes; lower priorities share the last one.
inline constexpr std::size_t kDemandClasses = 4;

/// Demand of one owner for the slots of one backend.
struct SlotDemand {
  std::uint32_t running = 0;                            ///< statements and handshakes at the backend
  std::array<std::uint32_t, kDemandClasses> waiting{};  ///< by class, the highest priority first
  bool operator==(const SlotDemand&) const = default;
  [[nodiscard]] std::uint32_t total_waiting() const {
    std::uint32_t total = 0;
    for (const std::uint32_t count : waiting) total += count;
    return total;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(running, waiting);
  }
};

/// Returns how many statements the owner at `self` may run at once at a backend with `slots` slots.
/// `demands`: of all owners, in the same order at each of them. The sum over all owners is at least `slots`
/// while the demand reaches it, so that no slot is idle while a statement waits, and exceeds it by at most
/// the number of owners: each owner may always run one statement.
std::uint32_t divide_slots(std::uint32_t slots, std::span<const SlotDemand> demands, std::size_t self);

}  // namespace cairnhollow::registered::scheduling

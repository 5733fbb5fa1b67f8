// Queue of the statements that wait for one backend, ordered by priority class, then deadline, then arrival.
// A plain data structure: the caller resumes the waiting statements.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>

#include "base/types.h"

namespace cairnhollow::admission {

/// The highest priority class; its statements may borrow slots (urgent_allowance.h).
inline constexpr std::uint8_t kUrgentClass = 0;

/// Sort key of a queued statement; lower keys are admitted first.
struct AdmissionKey {
  std::uint8_t priority_class = kUrgentClass;
  TimePoint deadline;
  std::uint64_t arrival = 0;
  [[nodiscard]] bool is_urgent() const { return priority_class == kUrgentClass; }
  auto operator<=>(const AdmissionKey&) const = default;
};

template <class Waiter>
class AdmissionQueue {
 public:
  using WaiterPointer = std::shared_ptr<Waiter>;
  using Entries = std::map<AdmissionKey, WaiterPointer>;

  /// Returns the key of a statement that arrives now.
  AdmissionKey make_key(std::uint8_t priority_class, TimePoint deadline) {
    return {priority_class, deadline, next_arrival_++};
  }
  void insert(const AdmissionKey& key, WaiterPointer waiter) {
    const bool is_new = entries_.emplace(key, std::move(waiter)).second;
    if (is_new && key.is_urgent()) ++urgent_;
  }
  void erase(const AdmissionKey& key) {
    const bool was_present = entries_.erase(key) != 0;
    if (was_present && key.is_urgent()) --urgent_;
  }
  /// Number of waiters admitted before `key`.
  [[nodiscard]] std::size_t ahead_of(const AdmissionKey& key) const {
    return static_cast<std::size_t>(std::distance(entries_.begin(), entries_.lower_bound(key)));
  }
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  /// Number of waiters of the urgent class.
  [[nodiscard]] std::size_t urgent() const { return urgent_; }
  [[nodiscard]] bool empty() const { return entries_.empty(); }
  /// In order of admission.
  [[nodiscard]] const Entries& entries() const { return entries_; }

 private:
  Entries entries_;
  std::size_t urgent_ = 0;
  std::uint64_t next_arrival_ = 0;
};

}  // namespace cairnhollow::admission

// Finds backends that fail part of their statements, by comparison with their peers in the group, and decides
// for how long reads prefer the others. Pure: the caller passes outcomes and the time.
//
// Health checks do not show such failures, and one zone alone may see them, so each proxy judges by the
// outcomes that it sees. Modelled on the outlier detection of Envoy (success rate, consecutive ejections).
// Slow backends need no rule here: their latency is part of the cost of a read.
#pragma once

#include <bitset>
#include <chrono>
#include <cstddef>

#include "base/types.h"

namespace cairnhollow::registered::balancing {

/// Outcomes per backend that are compared: the latest ones.
inline constexpr std::size_t kOutcomeWindow = 32;
/// Outcomes, of them failures, before a backend is judged: fewer would let chance decide.
inline constexpr std::size_t kMinOutcomes = 10;
inline constexpr std::size_t kMinFailures = 3;
/// A backend is an outlier if its share of failures exceeds that of all its peers together by more than this,
/// and by more than kOutlierDeviations standard deviations of that difference: so neither failures that all
/// backends of the group have alike, such as lost packets or faulty statements, nor chance make it one.
inline constexpr double kOutlierShare = 0.2;
inline constexpr double kOutlierDeviations = 3;
/// Time for which an outlier is passed over. Doubled if it ends less than kEjectionMemory before the next, up
/// to kMaxEjectionTime. Between two of them the backend is judged by at least kMinOutcomes new outcomes, so a
/// failing one gets a small part of the reads, and a recovered one is used again soon.
inline constexpr Duration kEjectionTime = std::chrono::seconds(1);
inline constexpr Duration kMaxEjectionTime = std::chrono::seconds(8);
inline constexpr Duration kEjectionMemory = std::chrono::seconds(10);

/// Numbers of outcomes of one backend or of several together.
struct OutcomeCounts {
  std::size_t outcomes = 0;
  std::size_t failures = 0;
  /// 0 without outcomes.
  [[nodiscard]] double failure_share() const {
    return outcomes == 0 ? 0 : static_cast<double>(failures) / static_cast<double>(outcomes);
  }
  OutcomeCounts& operator+=(const OutcomeCounts& other) {
    outcomes += other.outcomes;
    failures += other.failures;
    return *this;
  }
};

/// The latest outcomes at one backend.
class OutcomeHistory {
 public:
  /// `failed`: the backend ran the statement badly, or gave no answer.
  void record(bool failed);
  void clear() { *this = OutcomeHistory(); }
  [[nodiscard]] OutcomeCounts counts() const { return {count_, failed_.count()}; }

 private:
  std::bitset<kOutcomeWindow> failed_;
  std::size_t next_ = 0;
  std::size_t count_ = 0;
};

/// Whether the backend fails distinctly more often than its peers together. False without outcomes of peers:
/// then there is nothing to compare with.
bool is_outlier(const OutcomeCounts& backend, const OutcomeCounts& peers);
/// Whether one more backend of a group of `members` backends may be passed over while `ejected` of them are:
/// at least half of the group stays in use.
bool may_eject(std::size_t ejected, std::size_t members);

/// Until when a backend is passed over.
class Ejection {
 public:
  [[nodiscard]] bool is_active(TimePoint now) const { return now < until_; }
  /// Begins one; it lasts longer the sooner it follows the last.
  void begin(TimePoint now);
  [[nodiscard]] TimePoint until() const { return until_; }

 private:
  TimePoint until_{};
  Duration length_{0};
};

}  // namespace cairnhollow::registered::balancing

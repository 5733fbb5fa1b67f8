// Decides which classes of new work a proxy refuses while its machine is overloaded: the lowest first, as
// small a part as keeps the load below saturation. Pure: the caller passes load and time.
//
// Priority admission by measured load as in "Overload Control for Scaling WeChat Microservices" (Zhou et al.,
// 2018), with a level that moves in proportion to how far the load is off.
#pragma once

#include <cstdint>
#include <map>

#include "base/types.h"

namespace cairnhollow::registered::overload {

/// Interval between two measurements of the load. Several statements long, and short against the target
/// latencies of callers.
inline constexpr Duration kLoadInterval = std::chrono::milliseconds(100);
/// Above this load the queue for the link, and with it each statement's latency, grows several times.
inline constexpr double kHighLoad = 0.8;
/// Below this load more work is admitted again.
inline constexpr double kLowLoad = 0.65;
/// How much of a class the refused part grows by for each measurement, per part of the link above kHighLoad,
/// and shrinks by, per part below kLowLoad: in proportion, so that it settles between both.
inline constexpr double kRefuseGain = 1.5;
inline constexpr double kAdmitGain = 1.0;
/// Longest step upwards, in classes: a class is refused whole within half a second. Messages that were queued
/// at once may show many times the link's rate.
inline constexpr double kMaxRefuseStep = 0.2;
/// Part of the highest class that is admitted whatever the load: only answers show that the load has ended.
inline constexpr double kAlwaysAdmitted = 0.1;
/// A class counts as present for this long after its last statement.
inline constexpr Duration kClassMemory = std::chrono::seconds(2);

class ClassAdmission {
 public:
  /// Moves the refused part by the load of the last interval, 0 to 1 and above.
  void update(double load, TimePoint now);
  /// Whether a new statement or transaction of this priority (0 is the highest) is admitted. Counts it.
  bool admits(std::uint64_t priority, TimePoint now);
  /// The classes that are refused, counted from the lowest: 1.5 is the lowest class and half of the next.
  [[nodiscard]] double refused_classes() const { return refused_; }

 private:
  struct ClassState {
    TimePoint last_seen{};
    double credit = 0;  ///< admitted parts of statements; a statement is admitted at 1
  };

  /// Part of the class that is refused, 0 to 1.
  [[nodiscard]] double refused_part(std::uint64_t priority) const;

  std::map<std::uint64_t, ClassState> classes_;
  double refused_ = 0;
};

}  // namespace cairnhollow::registered::overload

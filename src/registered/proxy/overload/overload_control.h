// Measures the load of this proxy's machine and refuses new work of the lowest classes while it is
// overloaded.
#pragma once

#include <cstdint>
#include <optional>

#include "registered/overload/class_admission.h"
#include "registered/overload/link_load.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::proxy {

/// Shortest interval between two log lines about a machine that stays overloaded.
inline constexpr Duration kOverloadLogInterval = std::chrono::seconds(1);

/// `runtime` is not owned and must outlive this object, which lives until the process ends.
class OverloadControl {
 public:
  /// `link_rate`: rate of the machine's link in megabits a second; 0: not known, and everything is admitted.
  OverloadControl(runtime::Runtime& runtime, double link_rate);

  void start();
  void stop() { stopping_ = true; }
  /// Whether new work of this priority (0 is the highest) is admitted now.
  bool admits(std::uint64_t priority);
  /// Used part of the link in the last interval.
  [[nodiscard]] double load() const { return load_; }
  [[nodiscard]] double refused_classes() const { return admission_.refused_classes(); }

 private:
  Awaitable<void> run();
  void log_if_due(double refused_before);

  runtime::Runtime& runtime_;
  std::optional<overload::LinkLoad> link_;
  overload::ClassAdmission admission_;
  double load_ = 0;
  std::uint64_t refused_statements_ = 0;  ///< since the last log line
  TimePoint logged_at_{};
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::proxy

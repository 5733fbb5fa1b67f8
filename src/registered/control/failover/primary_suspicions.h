// Failover phase "suspect": collects proxies' reports about the primaries of groups, and decides when they
// require a check. Pure: no I/O, and the caller passes the time.
//
// Two counts are kept. Suspicions trigger a check of the primary (primary_check.h) and expire soon. Reports
// that no connection to the primary can be opened last longer, as they replace a primary that answers control
// but that most proxies serving the group cannot use.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "base/types.h"
#include "registered/registry/messages.h"
#include "registered/registry/model.h"

namespace cairnhollow::registered::control {

/// A suspicion expires this long after it was last reported.
inline constexpr Duration kSuspicionExpiry = std::chrono::milliseconds(600);
/// Number of proxies suspecting the same primary that replaces one of the two checks.
/// A second check that only repeated what five proxies had reported took 0.36 s of a failover.
inline constexpr std::size_t kCorroboratingProxies = 2;
/// Consecutive failed checks needed to replace a primary that fewer proxies suspect.
inline constexpr int kRequiredFailedChecks = 2;
/// A primary that at least kUnreachableShareNumerator of kUnreachableShareDenominator of the proxies serving
/// its group cannot use is replaced, even if it answers control.
inline constexpr std::size_t kUnreachableShareNumerator = 3;
inline constexpr std::size_t kUnreachableShareDenominator = 5;
/// A proxy's report that it cannot open connections expires after this time.
inline constexpr Duration kUnreachableReportExpiry = std::chrono::milliseconds(1500);

/// Returns the number of consecutive failed checks needed to replace the primary.
int failed_checks_needed(std::size_t suspecting_proxies);
/// Whether `reporting` of `serving` proxies suffice to replace a primary that answers control.
bool is_unreachable_for_proxies(std::size_t reporting, std::size_t serving);

class PrimarySuspicions {
 public:
  /// The suspicion that triggers a check.
  struct Suspected {
    bool commits_stall = false;
    std::size_t proxies = 0;  ///< number that reported the same within kSuspicionExpiry
  };

  void record(const NodeName& proxy, const registry::PrimarySuspicion& report, TimePoint now);
  /// Removes and returns the suspicion of the term's primary. Returns std::nullopt if there is none, it
  /// concerns another primary or term, or it has expired.
  std::optional<Suspected> take(const registry::GroupTerm& term, TimePoint now);
  [[nodiscard]] bool any() const { return !suspicions_.empty(); }
  /// Returns the number of proxies that have suspected the term's primary since the last take().
  [[nodiscard]] std::size_t count_suspecting(const registry::GroupTerm& term) const;
  /// Whether a proxy has reported within kSuspicionExpiry, and since the last take(), that commits at the
  /// term's primary are not answered.
  [[nodiscard]] bool reports_stalled_commits(const registry::GroupTerm& term, TimePoint now) const;
  /// Returns the number of proxies that reported that they cannot open connections to the group's primary.
  [[nodiscard]] std::size_t count_unable_to_connect(const GroupName& group) const;
  /// Discards reports on connections to the former primary. Called when the group gets another primary.
  void clear_unable_to_connect(const GroupName& group) { unable_.erase(group); }

 private:
  using LastReports = std::map<NodeName, TimePoint>;
  struct Suspicion {
    registry::PrimarySuspicion report;
    TimePoint at{};
    LastReports proxies;  ///< proxies that reported the same
  };
  struct UnableToConnect {
    std::uint64_t term = 0;
    LastReports proxies;
  };

  std::map<GroupName, Suspicion> suspicions_;
  std::map<GroupName, UnableToConnect> unable_;
};

}  // namespace cairnhollow::registered::control

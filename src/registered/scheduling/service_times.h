// Expected time for which a statement holds its slot, by class, from the statements that have ended.
#pragma once

#include <array>

#include "registered/scheduling/slot_request.h"
#include "registered/scheduling/slot_shares.h"

namespace cairnhollow::registered::scheduling {

/// Weight of the newest sample, as one part in this number (RFC 6298, smoothed round-trip time).
inline constexpr int kServiceSmoothing = 8;
/// A class without a newer sample is assumed to be unknown again: the backend may have recovered meanwhile,
/// and a class that is expected to be slow gets few samples.
inline constexpr Duration kServiceMemory = std::chrono::seconds(1);
/// Assumed for an unknown class: about the shortest execution time of a statement, so that an unknown class
/// is admitted and sampled.
inline constexpr Duration kAssumedService = std::chrono::milliseconds(8);
/// Lower bound of an expectation, so that each statement counts for something.
inline constexpr Duration kShortestService = std::chrono::milliseconds(1);

/// Returns the demand class of a waiting statement: its route's priority, statements of open transactions in
/// the highest.
std::size_t demand_class(const SlotRequest& request);

class ServiceTimes {
 public:
  /// Records that such a statement has ended after holding its slot for `held`.
  void record(const SlotRequest& request, Duration held, TimePoint now);
  /// Records that such a statement was given up without an answer after `held`: a lower bound.
  void record_unanswered(const SlotRequest& request, Duration held, TimePoint now);
  [[nodiscard]] Duration expected(const SlotRequest& request, TimePoint now) const;
  /// Mean over the statements of all classes.
  [[nodiscard]] Duration mean(TimePoint now) const { return all_.value(now); }

 private:
  struct Average {
    void add(Duration sample, TimePoint now);
    [[nodiscard]] Duration value(TimePoint now) const;
    Duration smoothed{0};  ///< 0: no sample yet
    TimePoint sampled_at{};
  };
  /// Separate averages for statements of open transactions, and for those outside of transactions.
  using ByClass = std::array<Average, kDemandClasses>;

  std::array<ByClass, 2> by_class_;
  Average all_;
};

}  // namespace cairnhollow::registered::scheduling

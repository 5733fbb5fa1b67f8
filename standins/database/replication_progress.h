// What a primary knows of its replicas in its term. Pure bookkeeping.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/types.h"

namespace cairnhollow::standins::database {

/// The primary itself counts towards each majority.
class ReplicationProgress {
 public:
  /// `members` holds all of the group, `self` included.
  ReplicationProgress(const BackendName& self, const std::vector<BackendName>& members);

  [[nodiscard]] bool is_replica(const BackendName& replica) const;
  /// A pull arrived that echoes `round`. Rounds never go down.
  void heard(const BackendName& replica, TimePoint now, std::uint64_t round);
  /// The replica durably holds this primary's log up to `index`.
  void matched(const BackendName& replica, std::uint64_t index);

  /// The highest index that a majority holds, given what the primary itself has durably.
  [[nodiscard]] std::uint64_t majority_index(std::uint64_t own_index) const;
  /// A majority was heard at or after `since`.
  [[nodiscard]] bool majority_heard(TimePoint since) const;
  /// A majority echoed `round` or a later one: it still followed after that round began.
  [[nodiscard]] bool majority_confirmed(std::uint64_t round) const;
  /// Every replica heard since then holds `index`.
  [[nodiscard]] bool all_heard_hold(std::uint64_t index, TimePoint since) const;

 private:
  struct Replica {
    TimePoint heard_at = TimePoint::min();
    std::uint64_t round = 0;
    std::uint64_t matched = 0;
  };

  template <class Predicate>
  [[nodiscard]] bool majority(Predicate predicate) const;

  std::map<BackendName, Replica> replicas_;
};

}  // namespace cairnhollow::standins::database

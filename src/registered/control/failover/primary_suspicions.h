// Phase "suspect" of a change of primary: what proxies say of groups' primaries, and when that calls for a
// check. Pure: no I/O, and the caller gives the time.
//
// Two counts are kept. Suspicions start a check of the primary (primary_check.h) and lapse soon. Word that no
// connection to the primary can be opened lasts longer, since it replaces a primary that answers control:
// where most proxies that serve the group can't use it, nobody is served by it.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "base/types.h"
#include "registered/registry/messages.h"
#include "registered/registry/model.h"

namespace cairnhollow::registered::control {

/// A suspicion counts for this long after it was last said. Chosen, not measured.
inline constexpr Duration kSuspicionLapse = std::chrono::milliseconds(600);
/// So many proxies that suspect the same stand for one check of the primary. A second check that repeated
/// what five proxies had said took 0.36 s of a failover of 1.7 s.
inline constexpr std::size_t kSuspectingProxies = 2;
/// Checks in a row that must find a primary dead which fewer proxies suspect.
inline constexpr int kDeadChecks = 2;
/// A primary that this part of the proxies that serve its group can't use is replaced, alive or not. On a day
/// on which no proxy reached a primary that answered control, worth was 0.955 and 0.943 on two deployments,
/// and 0.673 and 0.854 without this rule.
inline constexpr std::size_t kOutOfReachPart = 3;
inline constexpr std::size_t kOutOfReachWhole = 5;
/// A proxy's word that it can't open connections counts for this long. Chosen, not measured.
inline constexpr Duration kOutOfReachLapse = std::chrono::milliseconds(1500);

/// Checks in a row that must find the primary dead, by how many proxies suspect it.
int dead_checks_needed(std::size_t suspecting_proxies);
/// Whether `saying` of `serving` proxies are enough to replace a primary that answers control.
bool is_out_of_reach(std::size_t saying, std::size_t serving);

class PrimarySuspicions {
 public:
  /// What a check is begun for.
  struct Suspected {
    bool commits_stall = false;
    std::size_t proxies = 0;  ///< that said the same within kSuspicionLapse
  };

  void record(const NodeName& proxy, const registry::PrimarySuspicion& said, TimePoint now);
  /// The suspicion of the term's primary, which is forgotten with the call. Empty: there is none, it is of an
  /// earlier primary, or it has lapsed.
  std::optional<Suspected> take(const registry::GroupTerm& term, TimePoint now);
  [[nodiscard]] bool any() const { return !suspicions_.empty(); }
  /// Proxies that came to suspect the term's primary since the last take().
  [[nodiscard]] std::size_t suspecting(const registry::GroupTerm& term) const;
  /// Proxies that said that they can't open connections to the group's primary.
  [[nodiscard]] std::size_t unable_to_connect(const GroupName& group) const;
  /// The group has another primary: what was said of connections to the former one counts no more.
  void forget_unable_to_connect(const GroupName& group) { unable_.erase(group); }

 private:
  using LastSaid = std::map<NodeName, TimePoint>;
  struct Suspicion {
    registry::PrimarySuspicion said;
    TimePoint at{};
    LastSaid proxies;  ///< who said the same
  };
  struct UnableToConnect {
    std::uint64_t term = 0;
    LastSaid proxies;
  };

  std::map<GroupName, Suspicion> suspicions_;
  std::map<GroupName, UnableToConnect> unable_;
};

}  // namespace cairnhollow::registered::control

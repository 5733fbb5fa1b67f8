// Start-time fair queueing (Goyal, Vin and Cheng 1996) among the tenants of one level: each tenant's next
// statement has a start tag, the lowest tag goes first, and a statement advances its tenant's tag by its
// cost. A tenant that asks for more than its share delays its own statements only.
#pragma once

#include <map>

#include "base/types.h"
#include "registered/scheduling/slot_request.h"

namespace cairnhollow::registered::scheduling {

/// Statements of one level compete by their tenants' shares; lower levels in the sense of the order go first.
struct ShareLevel {
  bool outside_transaction = true;
  std::uint64_t route_priority = 0;
  std::uint64_t tenant_priority = 0;
  auto operator<=>(const ShareLevel&) const = default;
};

ShareLevel level_of(const SlotRequest& request);

/// Bounded by the tenants of statements that wait: a level is forgotten when nothing waits in it.
class FairShares {
 public:
  /// The start tag of the tenant's next statement, as a time on the level's virtual clock.
  [[nodiscard]] Duration start_tag(const ShareLevel& level, const TenantName& tenant) const;
  /// Records that a statement of the tenant with this cost begins.
  void charge(const ShareLevel& level, const TenantName& tenant, Duration cost);
  /// Takes a charge back: the statement did not begin after all.
  void refund(const ShareLevel& level, const TenantName& tenant, Duration cost);
  /// To be called when no statement of the level waits any more.
  void forget(const ShareLevel& level) { levels_.erase(level); }
  [[nodiscard]] std::size_t levels() const { return levels_.size(); }

 private:
  struct Level {
    Duration clock{0};                      ///< start tag of the statement that began last
    std::map<TenantName, Duration> next{};  ///< start tags, of tenants whose tag is ahead of the clock
  };

  std::map<ShareLevel, Level> levels_;
};

}  // namespace cairnhollow::registered::scheduling

// Who follows this control node: revision, lease and load of each proxy as its last question said.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/types.h"
#include "declared/follow/messages.h"

namespace cairnhollow::declared::control {

struct FollowerStatus {
  NodeName node;
  ZoneName zone;
  std::uint64_t revision = 0;  ///< held by the proxy for certain: it named it in a question
  TimePoint lease_until{};     ///< the lease given here has lapsed by then for certain
  std::uint64_t in_flight = 0;
  bool draining = false;
  [[nodiscard]] bool may_serve(TimePoint now) const { return now < lease_until; }
};

/// Keeps a proxy until a while after its lease has lapsed.
class FollowerRegistry {
 public:
  explicit FollowerRegistry(Duration serving_lease) : serving_lease_(serving_lease) {}

  void record_question(const NodeName& node, const ZoneName& zone, const follow::FollowRequest& request);
  /// A lease was given for a question that arrived at `arrived`.
  void record_lease(const NodeName& node, TimePoint arrived);
  /// Forgets proxies whose lease lapsed long ago.
  void forget_lapsed(TimePoint now);

  [[nodiscard]] std::vector<FollowerStatus> list() const;
  /// Proxies that may serve now.
  [[nodiscard]] std::size_t serving(TimePoint now) const;
  /// Least revision over the proxies that may serve now; empty when there are none.
  [[nodiscard]] std::optional<std::uint64_t> least_revision(TimePoint now) const;

 private:
  Duration serving_lease_;
  std::map<NodeName, FollowerStatus> followers_;
};

/// How long after a question's arrival its lease has lapsed on the proxy's clock too, which may be slower.
Duration lease_with_drift(Duration serving_lease);

}  // namespace cairnhollow::declared::control

// Builds the facts about each backend of a group from which src/registered/placement chooses one for a
// statement. Makes no decision itself.
#pragma once

#include <boost/container/small_vector.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <utility>

#include "registered/placement/backend_choice.h"
#include "registered/proxy/group/cold_limit.h"
#include "registered/proxy/group/group_backends.h"
#include "registered/proxy/group/read_need.h"

namespace cairnhollow::registered::proxy {

/// Longest time for which a leaving primary is still used.
inline constexpr Duration kLeavingPrimaryGrace = std::chrono::seconds(5);

/// The statement for which facts are built. Members that are not set do not affect them.
struct PlacementRequest {
  const ReadNeed* need = nullptr;
  const std::set<BackendName>* tried = nullptr;
  const locality::PermittedRegions* allowed = nullptr;  ///< null: no restriction
};

/// Facts about the backends of one group, ordered by name. Most groups have fewer than eight.
using GroupFacts = boost::container::small_vector<placement::BackendFacts, 8>;

/// References are not owned and must outlive this object.
class BackendEvaluator {
 public:
  /// `zone`: zone of this proxy.
  BackendEvaluator(runtime::Runtime& runtime, const Leadership& leadership, const GroupBackends& backends,
                   const ColdLimit& cold, ZoneName zone)
      : runtime_(runtime),
        leadership_(leadership),
        backends_(backends),
        cold_(cold),
        zone_(std::move(zone)) {}

  /// Current facts about `backend` for this request.
  [[nodiscard]] placement::BackendFacts facts_of(const BackendState& backend,
                                                 const PlacementRequest& request) const;
  /// Current facts about all backends, in the order of GroupBackends::all().
  [[nodiscard]] GroupFacts facts(const PlacementRequest& request) const;
  /// Returns the open term's primary, or null if there is none that may be used, for example because another
  /// incarnation has registered under its name.
  [[nodiscard]] std::shared_ptr<BackendState> primary() const;
  /// Whether a backend other than `backend` is likely to serve this read now.
  [[nodiscard]] bool has_other_reader(const ReadNeed& need, const BackendState& backend) const;
  /// The same, among the backends that `request` does not exclude.
  [[nodiscard]] bool has_other_reader(const PlacementRequest& request, const BackendState& backend) const;
  /// Records that a statement of this group took `took` at `backend`.
  void record_latency(BackendState& backend, Duration took);
  /// Records whether a statement failed at `backend`. Reads prefer other backends for a while if it fails
  /// distinctly more often than they do.
  void record_outcome(BackendState& backend, bool failed);

 private:
  /// Passes over `backend` for a while if at least half of the group stays in use.
  void eject(BackendState& backend, const balancing::OutcomeCounts& peers);
  /// Cost of a read at `backend`, in milliseconds.
  [[nodiscard]] double cost_of(const BackendState& backend) const;

  runtime::Runtime& runtime_;
  const Leadership& leadership_;
  const GroupBackends& backends_;
  const ColdLimit& cold_;
  ZoneName zone_;
  GroupLatency group_latency_;
};

}  // namespace cairnhollow::registered::proxy

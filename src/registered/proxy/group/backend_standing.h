// How each backend of a group stands to a statement now: makes the facts that src/registered/placement
// decides by, from the parts that own them. Decides nothing itself.
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

/// A backend that leaves as primary is used no longer than this. Chosen, not measured.
inline constexpr Duration kLeavingPrimaryUse = std::chrono::seconds(5);
/// A read goes to another zone when the backends of its own are slower by this. Bytes between zones cost
/// money and a round trip there 2 ms. With 8, 100 proxies and 60 backends sent an eighth more bytes between
/// zones at the same latencies (0.018 against 0.016 GB in 50 s); 100 saves no more.
inline constexpr double kOtherZoneCostMs = 30.0;
/// A read goes to the primary when the replicas are slower by this. Chosen, not measured.
inline constexpr double kPrimaryReadCostMs = 12.0;

/// The statement of which the facts of a backend are asked. What it does not name plays no part in them.
struct PlacementRequest {
  const ReadNeed* need = nullptr;
  const std::set<BackendName>* tried = nullptr;
  const locality::PermittedRegions* allowed = nullptr;  ///< null: anywhere
};

/// Of the backends of one group, by name. Most groups have fewer than eight.
using GroupFacts = boost::container::small_vector<placement::BackendFacts, 8>;

/// What is named outlives it.
class BackendStanding {
 public:
  /// `zone`: this proxy's.
  BackendStanding(runtime::Runtime& runtime, const Leadership& leadership, const GroupBackends& backends,
                  const ColdLimit& cold, ZoneName zone)
      : runtime_(runtime),
        leadership_(leadership),
        backends_(backends),
        cold_(cold),
        zone_(std::move(zone)) {}

  /// A backend as it stands to the statement now.
  [[nodiscard]] placement::BackendFacts facts_of(const BackendUse& backend,
                                                 const PlacementRequest& question) const;
  /// The same of all, in the order of the group's backends.
  [[nodiscard]] GroupFacts facts(const PlacementRequest& question) const;
  /// The open term's primary; null while there is none that may be used, as when another incarnation has its
  /// name.
  [[nodiscard]] std::shared_ptr<BackendUse> primary() const;
  /// Whether a backend beside `backend` is likely to serve such a read now.
  [[nodiscard]] bool has_other_reader(const ReadNeed& need, const BackendUse& backend) const;
  /// A statement of this group took so long at a backend.
  void record_latency(BackendUse& backend, Duration took);

 private:
  /// Of a read there, in milliseconds.
  [[nodiscard]] double cost_of(const BackendUse& backend) const;

  runtime::Runtime& runtime_;
  const Leadership& leadership_;
  const GroupBackends& backends_;
  const ColdLimit& cold_;
  ZoneName zone_;
  UsualLatency usual_latency_;
};

}  // namespace cairnhollow::registered::proxy

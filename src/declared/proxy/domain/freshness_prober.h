// Probes the members of database groups for their positions at a low rate, so that the freshness of replicas
// without current reads is known too. With many groups, probes only those this proxy serves reads of, and at
// a rate limited to a share of one core (probe_schedule.h).
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "declared/proxy/domain/probe_schedule.h"
#include "declared/proxy/statement/attempt.h"

namespace cairnhollow::declared::proxy {

class FreshnessProber {
 public:
  /// The arguments are not owned and must outlive the prober, which lives until the process ends. `connector`
  /// opens connections that do not count against a backend's statement connections.
  FreshnessProber(ProxyState& state, backend::BackendConnector& connector)
      : state_(state), connector_(connector), stopped_(state.runtime) {}

  /// Runs probe rounds until stop().
  Awaitable<void> run();
  void stop();
  /// Called when a backend answers a probe after it failed to answer the previous one.
  void on_recovered(std::function<void(const BackendName&)> callback) { on_recovered_ = std::move(callback); }

 private:
  struct Probe {
    std::shared_ptr<backend::BackendConnection> connection;
    bool in_flight = false;
    bool last_failed = false;           ///< the last probe was not answered
    std::uint64_t round = 0;            ///< the last round in which its group was active
    std::optional<TimePoint> began_at;  ///< start of the last probe
  };
  using ProbePointer = std::shared_ptr<Probe>;

  void start_round();
  /// The members that may be probed now: those of the groups to be probed without a probe in flight.
  std::vector<ProbeCandidate> candidates(const routing::RoutingView& view, TimePoint now);
  void add_members(const routing::GroupView& group, Duration since_read,
                   std::vector<ProbeCandidate>& candidates);
  void start_probe(const ProbeCandidate& candidate, TimePoint now);
  /// Closes the connections to members whose groups are no longer active.
  void drop_idle_probes();
  void learn(const GroupName& group, std::uint32_t ordinal, const backend::BackendStatus& status,
             TimePoint sent_at);
  Awaitable<void> probe(ProbePointer probe, GroupName group, routing::BackendView backend);

  ProxyState& state_;
  backend::BackendConnector& connector_;
  std::map<BackendName, ProbePointer> probes_;
  runtime::Signal stopped_;
  std::function<void(const BackendName&)> on_recovered_;
  std::uint64_t round_ = 0;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::proxy

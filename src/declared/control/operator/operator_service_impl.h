// Operator service of a control node: changes and reads the replicated configuration through consensus, and
// gets everything else from the node's OperatorSources.
#pragma once

#include <memory>
#include <string>

#include "declared/control/follow/config_replica.h"
#include "declared/control/operator/operator_sources.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::control {

/// References passed to the constructor are not owned and must outlive this object.
class OperatorServiceImpl : public OperatorService {
 public:
  /// `operator_endpoint` is the address of this node's operator API.
  OperatorServiceImpl(runtime::Runtime& runtime, NodeName node, Endpoint operator_endpoint,
                      consensus::Consensus& consensus, const ConfigReplica& replica, OperatorSources sources);

  Awaitable<std::optional<config::ChangeOutcome>> apply(config::ChangeRequest request, TimePoint deadline,
                                                        Reason& reason) override;
  Awaitable<std::optional<ObjectList>> list(config::ObjectQuery query, TimePoint deadline,
                                            Reason& reason) override;
  Awaitable<std::optional<config::StoredObject>> find(config::ObjectKey key, TimePoint deadline,
                                                      Reason& reason) override;
  Awaitable<std::optional<FleetStatus>> status(TimePoint deadline, Reason& reason) override;
  Awaitable<std::optional<std::vector<FleetEvent>>> events(std::uint64_t since, std::uint32_t limit,
                                                           TimePoint deadline, Reason& reason) override;
  Awaitable<std::optional<InForceReport>> in_force(TimePoint deadline, Reason& reason) override;
  Awaitable<bool> add_member(consensus::Member member, TimePoint deadline, Reason& reason) override;
  Awaitable<bool> remove_member(NodeName node, TimePoint deadline, Reason& reason) override;
  Awaitable<bool> replace_member(NodeName lost, consensus::Member replacement, TimePoint deadline,
                                 Reason& reason) override;
  Awaitable<std::optional<SwitchoverOutcome>> switchover(SwitchoverRequest request, TimePoint deadline,
                                                         Reason& reason) override;
  [[nodiscard]] std::optional<Endpoint> leader_operator_endpoint() const override;
  [[nodiscard]] bool ready(Reason& reason) const override;
  [[nodiscard]] std::string metrics_text() const override;

 private:
  [[nodiscard]] std::vector<MemberStatus> member_status(const consensus::ConsensusStatus& consensus) const;
  [[nodiscard]] InForceReport in_force_report() const;
  void record(std::string kind, std::string subject, std::string message);

  runtime::Runtime& runtime_;
  Endpoint operator_endpoint_;
  consensus::Consensus& consensus_;
  const ConfigReplica& replica_;
  OperatorSources sources_;
};

}  // namespace cairnhollow::declared::control

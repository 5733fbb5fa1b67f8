#include "declared/control/operator/operator_service.h"

namespace cairnhollow::declared::control {

Reason OperatorService::no_log_refusal(std::string step) const {
  return Reason{ReasonCode::kNotLeader, std::move(step), node_.value,
                "this node does not hold the configuration log; send the request to a voter"};
}

Awaitable<std::optional<config::ChangeOutcome>> OperatorService::apply(config::ChangeRequest /*request*/,
                                                                       TimePoint /*deadline*/,
                                                                       Reason& reason) {
  reason = no_log_refusal("apply_change");
  co_return std::nullopt;
}

Awaitable<std::optional<ObjectList>> OperatorService::list(config::ObjectQuery /*query*/,
                                                           TimePoint /*deadline*/, Reason& reason) {
  reason = no_log_refusal("list_objects");
  co_return std::nullopt;
}

Awaitable<std::optional<config::StoredObject>> OperatorService::find(config::ObjectKey /*key*/,
                                                                     TimePoint /*deadline*/, Reason& reason) {
  reason = no_log_refusal("find_object");
  co_return std::nullopt;
}

Awaitable<std::optional<InForceReport>> OperatorService::in_force(TimePoint /*deadline*/, Reason& reason) {
  reason = no_log_refusal("in_force");
  co_return std::nullopt;
}

Awaitable<bool> OperatorService::add_member(consensus::Member /*member*/, TimePoint /*deadline*/,
                                            Reason& reason) {
  reason = no_log_refusal("add_member");
  co_return false;
}

Awaitable<bool> OperatorService::remove_member(NodeName /*node*/, TimePoint /*deadline*/, Reason& reason) {
  reason = no_log_refusal("remove_member");
  co_return false;
}

Awaitable<bool> OperatorService::replace_member(NodeName /*lost*/, consensus::Member /*replacement*/,
                                                TimePoint /*deadline*/, Reason& reason) {
  reason = no_log_refusal("replace_member");
  co_return false;
}

}  // namespace cairnhollow::declared::control

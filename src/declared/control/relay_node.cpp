#include "declared/control/relay_node.h"

#include "declared/control/control_core.h"
#include "declared/control/failover/node_health.h"
#include "declared/control/follow/followed_config.h"
#include "declared/control/operator/operator_api.h"
#include "declared/control/operator/relay_operator_service.h"

namespace cairnhollow::declared::control {

namespace {

follow::FollowClientSettings follow_settings(const ControlSettings& settings) {
  follow::FollowClientSettings follow;
  follow.node = settings.node;
  follow.zone = settings.zone;
  follow.control_endpoints = settings.control_endpoints;
  return follow;
}

/// Must live until the process ends, because the coroutines of its components refer to it.
class RelayNode : public runtime::Role {
 public:
  RelayNode(runtime::Runtime& runtime, ControlSettings settings)
      : runtime_(runtime),
        settings_(std::move(settings)),
        client_(runtime, follow_settings(settings_)),
        configuration_(runtime, client_, settings_.feature_level),
        barrier_(client_),
        core_(runtime, settings_, configuration_, barrier_,
              [](PeerStatusMessage& message) { message.sender.role = consensus::MemberRole::kLearner; }),
        health_(
            runtime, configuration_, core_.follow_server(), core_.groups(),
            [this](Reason& reason) { return has_valid_lease(reason); }, [](runtime::Metrics& /*metrics*/) {}),
        operator_service_(runtime, settings_.node, core_, configuration_, health_),
        operator_api_(make_operator_api(runtime, operator_service_)) {}

  Awaitable<bool> start(Reason& reason) override {
    client_.on_change([this](const follow::AnswerEffect& effect) { apply_change(effect); });
    client_.start();
    core_.start();
    if (!core_.listen(reason)) co_return false;
    operator_server_ = runtime_.http().serve(settings_.operator_endpoint, *operator_api_, reason);
    if (!operator_server_) co_return false;
    health_.set_started();
    core_.events().record("relay_started", settings_.node.value, "relay started");
    co_return true;
  }

  Awaitable<void> drain() override {
    core_.events().record("relay_stopping", settings_.node.value, "planned shutdown started");
    health_.set_stopping();
    operator_server_->stop_accepting();
    core_.stop();
    client_.stop();
    core_.stop_peer_exchange();
    co_return;
  }

 private:
  void apply_change(const follow::AnswerEffect& effect) {
    configuration_.record_answer(effect);
    if (effect.groups) {
      for (const auto& [group, state] : client_.current().groups) core_.directory().learn(state);
    }
    if (effect.leaving) core_.directory().set_leaving(client_.current().leaving);
  }

  bool has_valid_lease(Reason& reason) const {
    if (client_.lease_valid(runtime_.now())) return true;
    reason = client_.last_failure();
    if (!reason.failed())
      reason = Reason{ReasonCode::kNoQuorum, "ready", "", "no control node has answered yet"};
    return false;
  }

  runtime::Runtime& runtime_;
  ControlSettings settings_;
  follow::FollowClient client_;
  FollowedConfig configuration_;
  FollowBarrier barrier_;
  ControlCore core_;
  NodeHealth health_;
  RelayOperatorService operator_service_;
  std::unique_ptr<runtime::HttpHandler> operator_api_;
  std::unique_ptr<runtime::HttpServer> operator_server_;
};

}  // namespace

std::unique_ptr<runtime::Role> make_relay_node(runtime::Runtime& runtime, ControlSettings settings) {
  return std::make_unique<RelayNode>(runtime, std::move(settings));
}

}  // namespace cairnhollow::declared::control

#include "declared/proxy/domain/domain.h"

namespace cairnhollow::declared::proxy {

namespace {

follow::FollowClientSettings follow_settings(const ProxySettings& settings, const DomainSettings& domain) {
  follow::FollowClientSettings follow;
  follow.node = settings.node;
  follow.zone = settings.zone;
  follow.control_endpoints = domain.control_endpoints;
  follow.follow_interval = settings.follow_interval;
  follow.follow_timeout = settings.follow_timeout;
  return follow;
}

}  // namespace

Domain::Domain(DomainContext context, DomainSettings settings)
    : context_(context),
      settings_(std::move(settings)),
      follow_(context.runtime, follow_settings(context.settings, settings_)),
      feed_(follow_),
      serving_(context.runtime, feed_, context.settings.node, settings_.name),
      access_(context.runtime, context.statement_connector),
      resolve_access_(context.runtime, context.control_connector),
      positions_(context.runtime),
      state_{context.runtime, context.settings, serving_, access_, estimates_, activity_, positions_},
      resolve_state_{context.runtime, context.settings, serving_,  resolve_access_,
                     estimates_,      activity_,        positions_},
      prober_(state_, context.control_connector),
      resolver_(resolve_state_),
      reads_(state_, budget_, context.decisions),
      writes_(state_, budget_, context.decisions, resolver_),
      transactions_(state_, budget_, resolver_),
      forwarder_(state_, budget_, context.decisions),
      forwarded_transactions_(state_, forwarder_) {
  prober_.on_recovered([this](const BackendName& backend) { access_.backend_returned(backend); });
  follow_.on_change([this](const follow::AnswerEffect& effect) { apply_change(effect); });
}

void Domain::start() {
  follow_.start();
  context_.runtime.spawn("backend_pools", access_.run(serving_));
  context_.runtime.spawn("freshness_prober", prober_.run());
  context_.runtime.spawn("idle_transactions", transactions_.run());
  context_.runtime.spawn("hop_watch", forwarder_.run());
  context_.runtime.spawn("forwarding_upkeep", forwarded_transactions_.run());
}

void Domain::stop() {
  access_.stop();
  prober_.stop();
  transactions_.stop();
  forwarded_transactions_.stop();
  forwarder_.stop();
  follow_.stop();
}

void Domain::apply_change(const follow::AnswerEffect& effect) {
  serving_.refresh(effect);
  access_.prepare(*serving_.view());
  if (!effect.configuration) return;
  context_.runtime.logger().log(
      runtime::LogLevel::kInfo, "configuration_in_force",
      {{"revision", std::to_string(serving_.view()->revision)}, {"domain", name().value}});
}

void Domain::log_lease() {
  const bool valid = lease_valid();
  if (valid == lease_was_valid_) return;
  lease_was_valid_ = valid;
  const auto level = valid ? runtime::LogLevel::kInfo : runtime::LogLevel::kWarning;
  context_.runtime.logger().log(level, valid ? "serving_lease_gained" : "serving_lease_lost",
                                {{"domain", name().value}});
}

}  // namespace cairnhollow::declared::proxy

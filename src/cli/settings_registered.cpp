#include "cli/settings_registered.h"

#include "cli/settings_limits.h"
#include "registered/registry/model.h"

namespace cairnhollow::cli {

namespace {

constexpr Range<std::uint32_t> kPortRange{1, 65535};
constexpr Range<double> kOvershootRange{0, 10};
constexpr Range<double> kSlackRange{0, 1'000'000};
constexpr Range<double> kLinkRateRange{0, 1'000'000};
constexpr Range<std::uint32_t> kToleranceRange{0, 3};
constexpr Range<double> kPromotionRateRange{0, 10'000};

std::optional<Endpoint> read_optional_endpoint(SettingsReader& reader, const std::string& key) {
  Endpoint endpoint;
  reader.read(key, endpoint);
  if (endpoint.address.empty()) return std::nullopt;
  return endpoint;
}

/// Registrations that say nothing new come in on the port after the peers'; it has no key of its own, since
/// all proxies of a fleet must agree on it.
void check_registration_port(SettingsReader& reader,
                             const registered::proxy::SessionProxySettings& settings) {
  const Endpoint taken = registered::registry::registration_relay_endpoint(settings.peer_endpoint);
  const std::string reason = "is taken: the port after peer_endpoint's is for registrations";
  if (settings.session_endpoint == taken) reader.report("session_endpoint", reason);
  if (settings.readiness_endpoint == taken) reader.report("readiness_endpoint", reason);
  if (settings.metrics_endpoint == taken) reader.report("metrics_endpoint", reason);
  if (settings.peer_endpoint.port == kPortRange.highest)
    reader.report("peer_endpoint", "must leave a port after it for registrations");
}

}  // namespace

FleetKind read_fleet_kind(SettingsReader& reader) {
  const auto choice = reader.read_choice("fleet", {"declared", "registered"});
  return choice == 1U ? FleetKind::kRegistered : FleetKind::kDeclared;
}

registered::proxy::SessionProxySettings read_session_proxy_settings(SettingsReader& reader) {
  registered::proxy::SessionProxySettings settings;
  std::uint32_t control_port = 0;
  reader.read("node", settings.node, Presence::kRequired);
  reader.read("zone", settings.zone, Presence::kRequired);
  reader.read("session_endpoint", settings.session_endpoint, Presence::kRequired);
  reader.read("readiness_endpoint", settings.readiness_endpoint, Presence::kRequired);
  reader.read("seeds", settings.seeds, Presence::kRequired);
  reader.read("peer_endpoint", settings.peer_endpoint, Presence::kRequired);
  reader.read("control_port", control_port, kPortRange);
  reader.read("session_limit", settings.session_limit, kConnectionRange);
  reader.read("drain_limit", settings.drain_limit, kIntervalRange);
  Duration key_bound{0};
  reader.read("key_bound", key_bound, kIntervalRange);
  if (key_bound > Duration(0)) settings.key_bound = key_bound;
  reader.read("limit_window", settings.limit_window.window, kIntervalRange);
  reader.read("limit_overshoot", settings.limit_window.overshoot, kOvershootRange);
  reader.read("limit_slack", settings.limit_window.slack, kSlackRange);
  reader.read("spread_limits", settings.spread_limits);
  reader.read("zone_regions", settings.zone_regions);
  reader.read("evacuation_bound", settings.evacuation_bound, kDelayRange);
  reader.read("cold_overshoot", settings.cold_overshoot, kOvershootRange);
  reader.read("cold_slack", settings.cold_slack, kSlackRange);
  reader.read("link_rate", settings.link_rate, kLinkRateRange);
  Duration change_bound{0};
  reader.read("change_bound", change_bound, kIntervalRange);
  // The other half is for the way of the change to this proxy.
  settings.limit_window.lowering_grace_period = change_bound / 2;
  settings.metrics_endpoint = read_optional_endpoint(reader, "metrics_endpoint");
  settings.control_port = static_cast<std::uint16_t>(control_port);
  if (control_port == 0) reader.report("control_port", "is missing");
  check_registration_port(reader, settings);
  return settings;
}

registered::control::RegisteredControlSettings read_registered_control_settings(SettingsReader& reader) {
  registered::control::RegisteredControlSettings settings;
  reader.read("node", settings.node, Presence::kRequired);
  reader.read("zone", settings.zone, Presence::kRequired);
  reader.read("peer_endpoint", settings.peer_endpoint, Presence::kRequired);
  reader.read("operator_endpoint", settings.operator_endpoint, Presence::kRequired);
  reader.read("seeds", settings.seeds, Presence::kRequired);
  reader.read("first_start", settings.first_start);
  reader.read("promotion_endpoint", settings.promotion_endpoint, Presence::kRequired);
  reader.read("promotion_rate", settings.promotion_rate, kPromotionRateRange);
  reader.read("lost_disks_tolerated", settings.lost_disks_tolerated, kToleranceRange);
  reader.read("serving_lease", settings.serving_lease, kIntervalRange);
  reader.read("election_timeout", settings.election_timeout, kIntervalRange);
  reader.read("heartbeat_interval", settings.heartbeat_interval, kIntervalRange);
  reader.read("zone_regions", settings.zone_regions);
  settings.metrics_endpoint = read_optional_endpoint(reader, "metrics_endpoint");
  return settings;
}

}  // namespace cairnhollow::cli

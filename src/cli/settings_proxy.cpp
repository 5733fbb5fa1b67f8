#include "cli/settings_proxy.h"

#include <map>
#include <set>

#include "cli/settings_limits.h"

namespace cairnhollow::cli {

namespace {

/// What the domains before this one hold already.
struct DomainsSeen {
  std::set<DomainName> names;
  std::map<DatabaseName, DomainName> databases;  ///< and whose it is
  std::map<Endpoint, DomainName> control_endpoints;
};

/// A database is decided in one place, and a control process belongs to one domain.
void check_domain(SettingsReader& item, const declared::proxy::DomainSettings& domain, DomainsSeen& seen) {
  if (!domain.name.empty() && !seen.names.insert(domain.name).second) {
    item.report("name", "names a domain twice: " + domain.name.value);
  }
  for (const auto& database : domain.databases) {
    const auto [owner, is_new] = seen.databases.emplace(database, domain.name);
    if (!is_new)
      item.report("databases", database.value + " belongs to domain " + owner->second.value + " already");
  }
  for (const auto& endpoint : domain.control_endpoints) {
    const auto [owner, is_new] = seen.control_endpoints.emplace(endpoint, domain.name);
    if (is_new) continue;
    item.report("control_endpoints",
                endpoint.to_string() + " belongs to domain " + owner->second.value + " already");
  }
}

declared::proxy::DomainSettings read_domain(SettingsReader& item, DomainsSeen& seen) {
  declared::proxy::DomainSettings domain;
  std::vector<std::string> databases;
  item.read("name", domain.name, Presence::kRequired);
  item.read("control_endpoints", domain.control_endpoints, Presence::kRequired);
  item.read("databases", databases, Presence::kRequired);
  for (auto& database : databases) domain.databases.emplace_back(std::move(database));
  check_domain(item, domain, seen);
  return domain;
}

void read_control(SettingsReader& reader, declared::proxy::ProxySettings& settings) {
  DomainsSeen seen;
  reader.read_list("domains",
                   [&](SettingsReader& item) { settings.domains.push_back(read_domain(item, seen)); });
  const auto presence = settings.domains.empty() ? Presence::kRequired : Presence::kOptional;
  reader.read("control_endpoints", settings.control_endpoints, presence);
  if (settings.domains.empty() || settings.control_endpoints.empty()) return;
  reader.report("control_endpoints", "must be left out when domains are named");
}

}  // namespace

declared::proxy::ProxySettings read_proxy_settings(SettingsReader& reader) {
  declared::proxy::ProxySettings settings;
  reader.read("node", settings.node, Presence::kRequired);
  reader.read("zone", settings.zone, Presence::kRequired);
  reader.read("caller_endpoint", settings.caller_endpoint, Presence::kRequired);
  read_control(reader, settings);
  reader.read("follow_interval", settings.follow_interval, kIntervalRange);
  reader.read("follow_timeout", settings.follow_timeout, kIntervalRange);
  reader.read("freshness_probe_interval", settings.freshness_probe_interval, kIntervalRange);
  reader.read("default_statement_deadline", settings.default_statement_deadline, kIntervalRange);
  reader.read("transaction_idle_limit", settings.transaction_idle_limit, kIntervalRange);
  reader.read("replica_wait", settings.replica_wait, kDelayRange);
  reader.read("drain_limit", settings.drain_limit, kIntervalRange);
  reader.read("queue_limit_per_backend", settings.queue_limit_per_backend, kQueueRange);
  return settings;
}

}  // namespace cairnhollow::cli

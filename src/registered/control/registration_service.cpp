#include "registered/control/registration_service.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "registered/registry/validation.h"

namespace cairnhollow::registered::control {

namespace {

/// Outdated incarnations remembered so that each is logged only once. When the limit is reached the set is
/// cleared and they are logged again.
/// More than start within an hour when 500 machines are replaced a day.
constexpr std::size_t kMaxLoggedOutdated = 1024;
/// Minimum interval between rebuilds of the proxy endpoints that backends are referred to.
constexpr Duration kRelayRefreshInterval = std::chrono::milliseconds(200);
/// Time after start during which requests are refused while the consensus group lacks voters.
constexpr Duration kFormationTimeout = std::chrono::seconds(6);

}  // namespace

using runtime::LogLevel;

Awaitable<bool> RegistrationService::confirm(Reason& reason) {
  const auto index = co_await consensus_.read_barrier(runtime_.now() + kCommitTimeout, reason);
  co_return index.has_value();
}

bool RegistrationService::may_acknowledge(const char* step, Reason& reason) const {
  if (voters_.has_required_voters() || runtime_.now() > started_at_ + kFormationTimeout) return true;
  reason = Reason{ReasonCode::kNoQuorum, step, "",
                  "the consensus group does not have all its voters yet; request refused"};
  return false;
}

Awaitable<bool> RegistrationService::begin_evacuation(ZoneName zone, Reason& reason) {
  if (!may_acknowledge("evacuate_zone", reason)) co_return false;
  co_return co_await evacuations_.execute(std::move(zone), true, reason);
}

Awaitable<bool> RegistrationService::end_evacuation(ZoneName zone, Reason& reason) {
  if (!may_acknowledge("evacuate_zone", reason)) co_return false;
  co_return co_await evacuations_.execute(std::move(zone), false, reason);
}

Awaitable<bool> RegistrationService::replace_document(registry::ConfigurationDocument document,
                                                      Reason& reason) {
  const std::string version = std::to_string(document.version);
  const std::vector<std::string> faults = registry::find_faults(document);
  if (!faults.empty()) {
    reason = Reason{ReasonCode::kInvalidArgument, "replace_document", "",
                    fmt::format("{}", fmt::join(faults, "; "))};
    runtime_.logger().log(LogLevel::kInfo, "document_refused", reason, {{"version", version}});
    co_return false;
  }
  if (!may_acknowledge("replace_document", reason)) co_return false;
  bool done = false;
  if (document.version <= fleet_.document_version()) {
    done = co_await confirm(reason);
  } else {
    registry::Command command = registry::ReplaceDocument{std::move(document)};
    done = co_await calls_.submit(std::move(command), reason);
  }
  runtime_.logger().log(done ? LogLevel::kInfo : LogLevel::kWarning,
                        done ? "document_acknowledged" : "document_not_acknowledged", reason,
                        {{"version", version}, {"held", std::to_string(fleet_.document_version())}});
  co_return done;
}

Awaitable<std::optional<std::string>> RegistrationService::read_document(Reason& reason) {
  const bool confirmed = co_await confirm(reason);
  if (!confirmed) co_return std::nullopt;
  if (fleet_.document_version() > 0) co_return fleet_.document_text();
  reason = Reason{ReasonCode::kNotFound, "read_document", "", "no configuration document is stored yet"};
  co_return std::nullopt;
}

void RegistrationService::refresh_relay_endpoints() {
  const TimePoint now = runtime_.now();
  if (relay_endpoints_revision_ == fleet_.revision() || now - relay_endpoints_at_ < kRelayRefreshInterval)
    return;
  relay_endpoints_revision_ = fleet_.revision();
  relay_endpoints_at_ = now;
  relay_endpoints_.clear();
  for (const registry::AdmittedProxy& proxy : fleet_.proxies()) {
    if (!proxy.leaving)
      relay_endpoints_[proxy.zone].push_back(registry::registration_relay_endpoint(proxy.peer_endpoint));
  }
}

registry::Registration RegistrationService::assign_relay(const BackendName& name, const ZoneName& zone) {
  refresh_relay_endpoints();
  const auto relays = relay_endpoints_.find(zone);
  if (relays == relay_endpoints_.end()) return {};
  return {relays->second[std::hash<BackendName>{}(name) % relays->second.size()]};
}

void RegistrationService::record_refused(const registry::RefusedRegistration& refused) {
  refused_.count(refused.fault);
  registry::log_refused_registration(runtime_.logger(), refused);
}

bool RegistrationService::is_group_known(const registry::BackendEntry& entry) const {
  if (fleet_.find_group(entry.group) != nullptr) return true;
  const registry::BackendEntry* held = fleet_.find_backend(entry.name);
  return held != nullptr && held->group == entry.group;
}

Awaitable<bool> RegistrationService::ensure_group_exists(registry::BackendEntry entry, Reason& reason) {
  if (is_group_known(entry)) co_return true;
  const bool confirmed = co_await confirm(reason);
  if (!confirmed) co_return false;
  if (fleet_.document_version() == 0 || is_group_known(entry)) co_return true;
  reason = Reason{ReasonCode::kNotFound, "register_backend", "",
                  fmt::format("group: {} is not in the configuration document of version {}",
                              registry::printable_name(entry.group.value), fleet_.document_version())};
  record_refused({registry::RegistrationFault::kUnknownGroup, entry.name.value, reason});
  co_return false;
}

Awaitable<bool> RegistrationService::another_backend_answers(registry::BackendEntry entry) {
  const registry::BackendEntry* address_holder = fleet_.find_backend_at(entry.endpoint);
  if (address_holder == nullptr || address_holder->name == entry.name) co_return false;
  co_return co_await prober_.is_address_reused(std::move(entry), runtime_.now() + kStatusTimeout);
}

bool RegistrationService::is_from_earlier_incarnation(const registry::BackendEntry& entry) const {
  if (fleet_.is_deregistered(entry.name, entry.start_time_ms)) return true;
  const registry::BackendEntry* held = fleet_.find_backend(entry.name);
  if (held != nullptr && entry.is_older_incarnation_than(*held)) return true;
  const registry::BackendEntry* address_holder = fleet_.find_backend_at(entry.endpoint);
  return address_holder != nullptr && address_holder->name != entry.name &&
         entry.is_older_incarnation_than(*address_holder);
}

void RegistrationService::record_outdated(const registry::BackendEntry& entry) {
  ++counts_.outdated;
  if (logged_outdated_.size() >= kMaxLoggedOutdated) logged_outdated_.clear();
  if (!logged_outdated_.insert(entry.incarnation()).second) return;
  const registry::BackendEntry* held = fleet_.find_backend(entry.name);
  if (held == nullptr) held = fleet_.find_backend_at(entry.endpoint);
  const std::uint64_t held_start_time_ms =
      held != nullptr ? held->start_time_ms : fleet_.ended_start_time_ms(entry.name);
  runtime_.logger().log(LogLevel::kInfo, "registration_outdated",
                        {{"backend", entry.name.value},
                         {"group", entry.group.value},
                         {"born", std::to_string(entry.start_time_ms)},
                         {"held", held != nullptr ? held->name.value : "none"},
                         {"held_born", std::to_string(held_start_time_ms)}});
}

Awaitable<std::optional<registry::Registration>> RegistrationService::register_backend(
    registry::BackendEntry entry, Reason& reason) {
  const bool group_exists = co_await ensure_group_exists(entry, reason);
  if (!group_exists) co_return std::nullopt;
  const registry::BackendEntry* held = fleet_.find_backend(entry.name);
  const registry::Registration registration = assign_relay(entry.name, entry.zone);
  // The log already contains newer state that every node honors, so the registration can be acknowledged.
  if (is_from_earlier_incarnation(entry)) {
    record_outdated(entry);
    co_return registration;
  }
  if (held != nullptr && !entry.supersedes(*held)) co_return registration;
  const std::uint64_t former_start_time_ms = held == nullptr ? 0 : held->start_time_ms;
  const bool replaces = held != nullptr && held->start_time_ms != entry.start_time_ms;
  const bool conflicting = co_await another_backend_answers(entry);
  if (conflicting) {
    reason = Reason{ReasonCode::kConflict, "register_backend", entry.endpoint.to_string(),
                    "another backend answers at this address; registration refused"};
    refused_.count(registry::RegistrationFault::kAddressInUse);
    runtime_.logger().log(LogLevel::kWarning, "backend_not_registered", reason,
                          {{"backend", entry.name.value}, {"group", entry.group.value}});
    co_return std::nullopt;
  }
  const registry::BackendEntry registered_entry = entry;
  registry::SingleCommand command = registry::RegisterBackend{std::move(entry)};
  const bool done = co_await calls_.submit_batched(std::move(command), reason);
  runtime_.logger().log(done ? LogLevel::kInfo : LogLevel::kWarning,
                        done ? "backend_registered" : "backend_not_registered", reason,
                        {{"backend", registered_entry.name.value},
                         {"group", registered_entry.group.value},
                         {"born", std::to_string(registered_entry.start_time_ms)},
                         {"leaving", registered_entry.leaving ? "true" : "false"}});
  if (!done) co_return std::nullopt;
  if (replaces) {
    ++counts_.replaced;
    runtime_.logger().log(LogLevel::kInfo, "incarnation_replaced",
                          {{"backend", registered_entry.name.value},
                           {"group", registered_entry.group.value},
                           {"former_born", std::to_string(former_start_time_ms)},
                           {"born", std::to_string(registered_entry.start_time_ms)}});
  }
  co_return registration;
}

Awaitable<bool> RegistrationService::deregister_backend(BackendName name, Reason& reason) {
  if (fleet_.find_backend(name) == nullptr && fleet_.is_deregistered(name)) co_return true;
  // Deregister only the current incarnation: one that registers before this command commits must remain.
  const bool confirmed = co_await confirm(reason);
  if (!confirmed) co_return false;
  const std::string text = name.value;
  const registry::BackendEntry* held = fleet_.find_backend(name);
  const std::uint64_t registered_start_time_ms = held == nullptr ? 0 : held->start_time_ms;
  registry::SingleCommand command = registry::DeregisterBackend{std::move(name), registered_start_time_ms};
  const bool done = co_await calls_.submit_batched(std::move(command), reason);
  runtime_.logger().log(done ? LogLevel::kInfo : LogLevel::kWarning,
                        done ? "backend_deregistered" : "backend_not_deregistered", reason,
                        {{"backend", text}});
  co_return done;
}

}  // namespace cairnhollow::registered::control

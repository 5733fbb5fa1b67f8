#include "registered/control/registration_service.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "registered/registry/validation.h"

namespace cairnhollow::registered::control {

namespace {

/// Outdated incarnations remembered so that each is logged only once. When the limit is reached the set is
/// cleared and they are logged again.
constexpr std::size_t kMostToldOutdated = 1024;
/// Minimum interval between rebuilds of the proxy endpoints that backends are referred to.
constexpr Duration kTakersInterval = std::chrono::milliseconds(200);
/// Time after start during which requests are refused while the consensus group lacks voters.
constexpr Duration kFormationPatience = std::chrono::seconds(6);

}  // namespace

using runtime::LogLevel;

Awaitable<bool> RegistrationService::confirm(Reason& reason) {
  const auto index = co_await consensus_.read_barrier(runtime_.now() + kCommitTimeout, reason);
  co_return index.has_value();
}

bool RegistrationService::may_acknowledge(const char* step, Reason& reason) const {
  if (voters_.is_complete() || runtime_.now() > begun_ + kFormationPatience) return true;
  reason = Reason{ReasonCode::kNoQuorum, step, "",
                  "the consensus group does not have all its voters yet; request refused"};
  return false;
}

Awaitable<bool> RegistrationService::begin_evacuation(ZoneName zone, Reason& reason) {
  if (!may_acknowledge("evacuate_zone", reason)) co_return false;
  co_return co_await evacuations_.take(std::move(zone), true, reason);
}

Awaitable<bool> RegistrationService::end_evacuation(ZoneName zone, Reason& reason) {
  if (!may_acknowledge("evacuate_zone", reason)) co_return false;
  co_return co_await evacuations_.take(std::move(zone), false, reason);
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
  reason =
      Reason{ReasonCode::kNotFound, "read_document", "", "no configuration document has been submitted yet"};
  co_return std::nullopt;
}

void RegistrationService::refresh_takers() {
  const TimePoint now = runtime_.now();
  if (takers_revision_ == fleet_.revision() || now - takers_at_ < kTakersInterval) return;
  takers_revision_ = fleet_.revision();
  takers_at_ = now;
  takers_.clear();
  for (const registry::AdmittedProxy& proxy : fleet_.proxies()) {
    if (!proxy.leaving) takers_[proxy.zone].push_back(registry::registrations_at(proxy.peer_endpoint));
  }
}

registry::Registration RegistrationService::place(const BackendName& name, const ZoneName& zone) {
  refresh_takers();
  const auto takers = takers_.find(zone);
  if (takers == takers_.end()) return {};
  return {takers->second[std::hash<BackendName>{}(name) % takers->second.size()]};
}

void RegistrationService::record_refused(const registry::RefusedRegistration& refused) {
  refused_.count(refused.fault);
  registry::log_refused_registration(runtime_.logger(), refused);
}

bool RegistrationService::belongs_here(const registry::BackendEntry& entry) const {
  if (fleet_.find_group(entry.group) != nullptr) return true;
  const registry::BackendEntry* held = fleet_.find_backend(entry.name);
  return held != nullptr && held->group == entry.group;
}

Awaitable<bool> RegistrationService::is_named(registry::BackendEntry entry, Reason& reason) {
  if (belongs_here(entry)) co_return true;
  const bool confirmed = co_await confirm(reason);
  if (!confirmed) co_return false;
  if (fleet_.document_version() == 0 || belongs_here(entry)) co_return true;
  reason = Reason{ReasonCode::kNotFound, "register_backend", "",
                  fmt::format("group: {} is not in the configuration document of version {}",
                              registry::printable_name(entry.group.value), fleet_.document_version())};
  record_refused({registry::RegistrationFault::kUnknownGroup, entry.name.value, reason});
  co_return false;
}

Awaitable<bool> RegistrationService::is_outdated(registry::BackendEntry entry) {
  const registry::BackendEntry* neighbour = fleet_.find_backend_at(entry.endpoint);
  if (neighbour == nullptr || neighbour->name == entry.name) co_return false;
  co_return co_await prober_.is_another(std::move(entry), runtime_.now() + kStatusTimeout);
}

bool RegistrationService::is_of_former_incarnation(const registry::BackendEntry& entry) const {
  if (fleet_.is_deregistered(entry.name, entry.born_ms)) return true;
  const registry::BackendEntry* held = fleet_.find_backend(entry.name);
  if (held != nullptr && entry.is_of_earlier_incarnation_than(*held)) return true;
  const registry::BackendEntry* neighbour = fleet_.find_backend_at(entry.endpoint);
  return neighbour != nullptr && neighbour->name != entry.name &&
         entry.is_of_earlier_incarnation_than(*neighbour);
}

void RegistrationService::mark_outdated(const registry::BackendEntry& entry) {
  ++counts_.outdated;
  if (told_outdated_.size() >= kMostToldOutdated) told_outdated_.clear();
  if (!told_outdated_.insert(entry.incarnation()).second) return;
  const registry::BackendEntry* held = fleet_.find_backend(entry.name);
  if (held == nullptr) held = fleet_.find_backend_at(entry.endpoint);
  const std::uint64_t held_born = held != nullptr ? held->born_ms : fleet_.ended_birth(entry.name);
  runtime_.logger().log(LogLevel::kInfo, "registration_outdated",
                        {{"backend", entry.name.value},
                         {"group", entry.group.value},
                         {"born", std::to_string(entry.born_ms)},
                         {"held", held != nullptr ? held->name.value : "none"},
                         {"held_born", std::to_string(held_born)}});
}

Awaitable<std::optional<registry::Registration>> RegistrationService::register_backend(
    registry::BackendEntry entry, Reason& reason) {
  const bool named = co_await is_named(entry, reason);
  if (!named) co_return std::nullopt;
  const registry::BackendEntry* held = fleet_.find_backend(entry.name);
  const registry::Registration registration = place(entry.name, entry.zone);
  // The log already contains newer state that every node honors, so the registration can be acknowledged.
  if (is_of_former_incarnation(entry)) {
    mark_outdated(entry);
    co_return registration;
  }
  if (held != nullptr && !entry.supersedes(*held)) co_return registration;
  const std::uint64_t former_born = held == nullptr ? 0 : held->born_ms;
  const bool replaces = held != nullptr && held->born_ms != entry.born_ms;
  const bool outdated = co_await is_outdated(entry);
  if (outdated) {
    reason = Reason{ReasonCode::kConflict, "register_backend", entry.endpoint.to_string(),
                    "another backend answers at this address; registration refused"};
    refused_.count(registry::RegistrationFault::kAddressInUse);
    runtime_.logger().log(LogLevel::kWarning, "backend_not_registered", reason,
                          {{"backend", entry.name.value}, {"group", entry.group.value}});
    co_return std::nullopt;
  }
  const registry::BackendEntry said = entry;
  registry::SingleCommand command = registry::RegisterBackend{std::move(entry)};
  const bool done = co_await calls_.submit_gathered(std::move(command), reason);
  runtime_.logger().log(done ? LogLevel::kInfo : LogLevel::kWarning,
                        done ? "backend_registered" : "backend_not_registered", reason,
                        {{"backend", said.name.value},
                         {"group", said.group.value},
                         {"born", std::to_string(said.born_ms)},
                         {"leaving", said.leaving ? "true" : "false"}});
  if (!done) co_return std::nullopt;
  if (replaces) {
    ++counts_.replaced;
    runtime_.logger().log(LogLevel::kInfo, "incarnation_replaced",
                          {{"backend", said.name.value},
                           {"group", said.group.value},
                           {"former_born", std::to_string(former_born)},
                           {"born", std::to_string(said.born_ms)}});
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
  const std::uint64_t born = held == nullptr ? 0 : held->born_ms;
  registry::SingleCommand command = registry::DeregisterBackend{std::move(name), born};
  const bool done = co_await calls_.submit_gathered(std::move(command), reason);
  runtime_.logger().log(done ? LogLevel::kInfo : LogLevel::kWarning,
                        done ? "backend_deregistered" : "backend_not_deregistered", reason,
                        {{"backend", text}});
  co_return done;
}

}  // namespace cairnhollow::registered::control

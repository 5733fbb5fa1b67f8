// RegisteredFleet's part for backends: their lives, and what the leader holds of them.
#include "registered/control/registered_control_node.h"
#include "simulation/registered_fleet.h"
#include "simulation/registered_fleet_ports.h"
#include "standins/registered/document_text.h"

namespace cairnhollow::simulation {

using namespace standins::registered;

void RegisteredFleet::restart_empty(const std::string& name) {
  if (world_.running(name)) kill(name);
  const auto& [model, backend] = members_.at(name);
  model->forget(backend);
  world_.restart(name);
}

bool RegisteredFleet::is_registered(const BackendName& backend) {
  const std::string name = leader();
  return !name.empty() && registered::control::fleet_of(world_.role(name)).find_backend(backend) != nullptr;
}

std::uint64_t RegisteredFleet::registered_birth(const BackendName& backend) {
  const std::string name = leader();
  if (name.empty()) return 0;
  const auto* entry = registered::control::fleet_of(world_.role(name)).find_backend(backend);
  return entry == nullptr ? 0 : entry->start_time_ms;
}

bool RegisteredFleet::is_leaving(const BackendName& backend) {
  const std::string name = leader();
  if (name.empty()) return false;
  const auto* entry = registered::control::fleet_of(world_.role(name)).find_backend(backend);
  return entry != nullptr && entry->leaving;
}

bool RegisteredFleet::deliver_late_heartbeat(const std::string& place, const BackendName& former) {
  return deliver("control-1", place, former, {}) == 200;
}

unsigned RegisteredFleet::deliver_heartbeat(const std::string& node, const std::string& place,
                                            const Heartbeat& heartbeat) {
  return deliver(node, place, members_.at(place).second, heartbeat);
}

unsigned RegisteredFleet::deliver(const std::string& node, const std::string& place,
                                  const BackendName& backend, const Heartbeat& heartbeat) {
  DatabaseSettings settings;
  settings.backend = backend;
  settings.endpoint = {address_of(place), kDatabasePort};
  settings.zone = zone_of(place);
  const bool at_proxy = node.starts_with("proxy");
  const std::uint16_t port = at_proxy ? kPeerPort + 1 : kOperatorPort;
  const GroupName& group = members_.at(place).first->name();
  return ask({address_of(node), port}, standins::registered::print_heartbeat(settings, group, heartbeat));
}

ZoneName RegisteredFleet::zone_of(const std::string& place) {
  return ZoneName(kZones[static_cast<std::size_t>(place.back() - '1') % kZones.size()]);
}

}  // namespace cairnhollow::simulation

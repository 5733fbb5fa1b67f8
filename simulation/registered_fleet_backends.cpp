// RegisteredFleet's part for backends: their lives, and what the leader holds of them.
#include "registered/control/registered_control_node.h"
#include "simulation/registered_fleet.h"
#include "simulation/registered_fleet_ports.h"
#include "standins/registered/document_text.h"

namespace cairnhollow::simulation {

using namespace standins::registered;

void RegisteredFleet::start_database(GroupModel& model, const BackendName& backend) {
  const std::string name = backend.value;
  DatabaseSettings database;
  database.backend = backend;
  database.endpoint = {address_of(name), kDatabasePort};
  database.zone = zone_of(name);
  database.control_endpoints = control_endpoints(kOperatorPort);
  database.lost_answers = settings_.lost_answers;
  database.work = settings_.work;
  database.tenants = &tenant_history_;
  database.tells_birth = settings_.backends_tell_birth;
  database.zones = &zone_history_;
  database.regions = &region_history_;
  members_[name] = {&model, backend};
  world_.start({name, address_of(name), database.zone},
               [this, &model, database, name](runtime::Runtime& runtime) {
                 auto role = make_database(runtime, model, database);
                 databases_[name] = role.get();
                 return role;
               });
}

void RegisteredFleet::join_unregistered(const std::string& name) {
  GroupModel& model = *models_.front();
  model.add_member(BackendName(name), settings_.replica_lag);
  start_database(model, BackendName(name));
  cut_from_all_control(name);
}

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

#include "simulation/regions.h"

namespace cairnhollow::simulation {

namespace {

using declared::config::ObjectKind;

const std::string kPrefix = "south-";
const std::string kServiceLabel = "service";
const std::string kGroupLabel = "group";

std::string southern(const std::string& name) { return kPrefix + name; }

template <class Tag>
Name<Tag> southern(const Name<Tag>& name) {
  return Name<Tag>(southern(name.value));
}

/// 10.0.Z.H becomes 10.3.Z.H.
Endpoint southern(Endpoint endpoint) {
  endpoint.address.replace(0, 5, "10.3.");
  return endpoint;
}

/// Labels and selectors that tell the regions' machines apart where one log holds both.
void rename(LabelSet& labels) {
  for (const auto& key : {kServiceLabel, kGroupLabel}) {
    const auto found = labels.entries.find(key);
    if (found != labels.entries.end()) found->second = southern(found->second);
  }
}

declared::config::Object southern(declared::config::Object object) {
  if (object.kind() != ObjectKind::kRoute) object.name = southern(object.name);
  rename(object.labels);
  if (auto* proxy = std::get_if<declared::config::ProxySpec>(&object.spec)) {
    proxy->zone = southern(proxy->zone);
    proxy->endpoint = southern(proxy->endpoint);
  } else if (auto* backend = std::get_if<declared::config::BackendSpec>(&object.spec)) {
    backend->zone = southern(backend->zone);
    backend->endpoint = southern(backend->endpoint);
  } else if (auto* group = std::get_if<declared::config::DatabaseGroupSpec>(&object.spec)) {
    rename(group->backend_selector.match_labels);
  } else if (auto* route = std::get_if<declared::config::RouteSpec>(&object.spec)) {
    rename(route->group_selector.match_labels);
  }
  return object;
}

standins::database::DatabaseSettings southern(standins::database::DatabaseSettings settings) {
  settings.backend = southern(settings.backend);
  settings.group = southern(settings.group);
  settings.zone = southern(settings.zone);
  settings.endpoint = southern(settings.endpoint);
  for (auto& member : settings.initial_members) {
    member.backend = southern(member.backend);
    member.endpoint = southern(member.endpoint);
  }
  return settings;
}

declared::control::ControlSettings southern(declared::control::ControlSettings settings) {
  settings.node = southern(settings.node);
  settings.zone = southern(settings.zone);
  settings.peer_endpoint = southern(settings.peer_endpoint);
  settings.operator_endpoint = southern(settings.operator_endpoint);
  for (auto& member : settings.initial_members) {
    member.node = southern(member.node);
    member.endpoint = southern(member.endpoint);
    member.zone = southern(member.zone);
  }
  return settings;
}

declared::proxy::ProxySettings southern(declared::proxy::ProxySettings settings) {
  settings.node = southern(settings.node);
  settings.zone = southern(settings.zone);
  settings.caller_endpoint = southern(settings.caller_endpoint);
  for (auto& endpoint : settings.control_endpoints) endpoint = southern(endpoint);
  return settings;
}

/// The region's objects: all but the other region's route.
std::vector<declared::config::Object> objects_of(const DomainName& region, const Deployment& deployment) {
  const auto database = database_of(region, deployment.profile).value;
  std::vector<declared::config::Object> objects;
  for (const auto& object : deployment.objects) {
    if (object.kind() == ObjectKind::kRoute && object.name != database) continue;
    objects.push_back(region == kSouth ? southern(object) : object);
  }
  return objects;
}

template <class Settings>
void add_southern(std::vector<Settings>& all) {
  const std::vector<Settings> northern = all;
  for (const auto& settings : northern) all.push_back(southern(settings));
}

/// Adds the southern machines; what their control nodes are, and the objects, are left to the caller.
void add_southern_machines(Deployment& deployment) {
  add_southern(deployment.zones);
  add_southern(deployment.control_nodes);
  add_southern(deployment.proxies);
  add_southern(deployment.databases);
}

std::vector<Endpoint> operator_endpoints(const Deployment& deployment, bool south) {
  std::vector<Endpoint> endpoints;
  for (const auto& node : deployment.control_nodes) {
    if (is_south(node.zone) == south) endpoints.push_back(node.operator_endpoint);
  }
  return endpoints;
}

}  // namespace

bool is_south(const ZoneName& zone) { return zone.value.starts_with(kPrefix); }

DatabaseName database_of(const DomainName& region, standins::callers::Profile profile) {
  const bool study_card = profile == standins::callers::Profile::kStudyCard;
  if (region == kSouth) return DatabaseName(study_card ? "deck" : "vehicle");
  return DatabaseName(study_card ? "learner" : "trip");
}

void make_two_domains(Deployment& deployment) {
  const auto northern = objects_of(kNorth, deployment);
  const auto southern = objects_of(kSouth, deployment);
  deployment.objects.clear();
  add_southern_machines(deployment);
  const std::size_t proxies = deployment.proxies.size() / 2;
  for (std::size_t place = 0; place < proxies; ++place) {
    const auto north = deployment.proxies[place].control_endpoints;
    const auto south = deployment.proxies[proxies + place].control_endpoints;
    const std::vector<declared::proxy::DomainSettings> domains{
        {kNorth, north, {database_of(kNorth, deployment.profile)}},
        {kSouth, south, {database_of(kSouth, deployment.profile)}}};
    for (auto* settings : {&deployment.proxies[place], &deployment.proxies[proxies + place]}) {
      settings->control_endpoints.clear();
      settings->domains = domains;
    }
  }
  deployment.domains = {{kNorth, operator_endpoints(deployment, false), northern},
                        {kSouth, operator_endpoints(deployment, true), southern}};
}

void make_one_domain(Deployment& deployment) {
  auto objects = objects_of(kNorth, deployment);
  for (auto& object : objects_of(kSouth, deployment)) objects.push_back(std::move(object));
  deployment.objects = std::move(objects);
  add_southern_machines(deployment);
  auto members = deployment.control_nodes.front().initial_members;
  for (auto member : deployment.control_nodes.back().initial_members) {
    member.role = consensus::MemberRole::kLearner;
    members.push_back(std::move(member));
  }
  for (auto& node : deployment.control_nodes) node.initial_members = members;
  // The own region's control nodes first, then the other's.
  const std::size_t proxies = deployment.proxies.size() / 2;
  for (std::size_t place = 0; place < proxies; ++place) {
    auto& north = deployment.proxies[place].control_endpoints;
    auto& south = deployment.proxies[proxies + place].control_endpoints;
    const auto northern = north;
    north.insert(north.end(), south.begin(), south.end());
    south.insert(south.end(), northern.begin(), northern.end());
  }
}

}  // namespace cairnhollow::simulation

#include "simulation/deployment.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <stdexcept>

namespace cairnhollow::simulation {

namespace {

using standins::callers::Profile;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint16_t kPeerPort = 4000;
constexpr std::uint16_t kOperatorPort = 8080;
constexpr std::uint16_t kCallerPort = 8000;
constexpr std::uint16_t kDatabasePort = 5432;
constexpr std::uint16_t kPlatformPort = 9000;
constexpr std::size_t kVoters = 3;
constexpr std::uint32_t kGroups = 3;
constexpr std::uint32_t kBackendsPerGroup = 3;

// Last number of a machine's address, by its role; the third number is the zone's.
constexpr unsigned kControlHost = 10;
constexpr unsigned kProxyHost = 20;
constexpr unsigned kFirstDatabaseHost = 100;

/// What differs between the profiles.
struct Sizes {
  std::string service;
  std::string region;
  std::vector<ZoneName> zones;
  Duration to_clients;
  std::uint32_t connections;
  std::uint32_t slots;
  Duration connection_opening_delay;
};

Sizes sizes_of(Profile profile) {
  if (profile == Profile::kStudyCard) {
    return {"study-records", "wellington", {ZoneName("kelburn"), ZoneName("petone"), ZoneName("porirua")},
            milliseconds(1), 35,           5,
            milliseconds(10)};
  }
  return {"fleet-core",
          "is-south",
          {ZoneName("hafn-a"), ZoneName("kop-b"), ZoneName("grof-c"), ZoneName("mos-d")},
          milliseconds(3),
          60,
          4,
          milliseconds(30)};
}

std::string address(std::size_t zone, unsigned host) { return fmt::format("10.0.{}.{}", zone, host); }

class Builder {
 public:
  explicit Builder(Profile profile) : sizes_(sizes_of(profile)) {
    deployment_.profile = profile;
    deployment_.zones = sizes_.zones;
  }

  Deployment build() {
    set_latency();
    deployment_.platform.endpoint = Endpoint{address(deployment_.zones.size(), 1), kPlatformPort};
    add_control_nodes();
    add_proxies();
    for (std::uint32_t group = 0; group < kGroups; ++group) add_group(group);
    add_routes();
    return std::move(deployment_);
  }

 private:
  void set_latency() {
    deployment_.latency.between_zones = microseconds(1500);
    deployment_.latency.to_zone[kClientZone] = sizes_.to_clients;
  }

  void add_control_nodes() {
    std::vector<consensus::Member> members;
    for (std::size_t zone = 0; zone < sizes_.zones.size(); ++zone) {
      consensus::Member member;
      member.node = NodeName(fmt::format("control-{}", zone + 1));
      member.endpoint = Endpoint{address(zone, kControlHost), kPeerPort};
      member.zone = sizes_.zones[zone];
      member.role = zone < kVoters ? consensus::MemberRole::kVoter : consensus::MemberRole::kLearner;
      members.push_back(member);
    }
    for (const consensus::Member& member : members) {
      declared::control::ControlSettings settings;
      settings.node = member.node;
      settings.zone = member.zone;
      settings.peer_endpoint = member.endpoint;
      settings.operator_endpoint = Endpoint{member.endpoint.address, kOperatorPort};
      settings.initial_members = members;
      settings.platform_endpoint = deployment_.platform.endpoint;
      deployment_.control_nodes.push_back(settings);
    }
  }

  void add_proxies() {
    for (std::size_t zone = 0; zone < sizes_.zones.size(); ++zone) {
      declared::proxy::ProxySettings settings;
      settings.node = NodeName(fmt::format("proxy-{}", zone + 1));
      settings.zone = sizes_.zones[zone];
      settings.caller_endpoint = Endpoint{address(zone, kProxyHost), kCallerPort};
      for (std::size_t step = 0; step < sizes_.zones.size(); ++step) {
        const std::size_t nearest = (zone + step) % sizes_.zones.size();
        settings.control_endpoints.push_back(deployment_.control_nodes[nearest].peer_endpoint);
      }
      const LabelSet labels{{{"region", sizes_.region}, {"zone", settings.zone.value}}};
      const declared::config::ProxySpec spec{settings.zone, settings.caller_endpoint, false};
      deployment_.objects.push_back({settings.node.value, labels, spec});
      deployment_.proxies.push_back(settings);
    }
  }

  void add_group(std::uint32_t group) {
    const std::string name = fmt::format("{}-{}", sizes_.service, group + 1);
    std::vector<standins::database::DatabaseSettings> members;
    for (std::uint32_t member = 0; member < kBackendsPerGroup; ++member) {
      members.push_back(make_database(name, group, member));
    }
    for (auto& settings : members) {
      for (const auto& other : members) {
        settings.initial_members.push_back({other.backend, other.endpoint});
      }
      const LabelSet labels{{{"group", name}, {"service", sizes_.service}, {"zone", settings.zone.value}}};
      const declared::config::BackendSpec spec{settings.zone, settings.endpoint, false};
      deployment_.objects.push_back({settings.backend.value, labels, spec});
      deployment_.databases.push_back(settings);
    }
    deployment_.objects.push_back({name, LabelSet{{{"service", sizes_.service}}}, group_spec(name, group)});
  }

  standins::database::DatabaseSettings make_database(const std::string& group_name, std::uint32_t group,
                                                     std::uint32_t member) {
    // Groups begin in different zones, so that no zone holds all first members.
    const std::size_t zone = (group + member) % sizes_.zones.size();
    standins::database::DatabaseSettings settings;
    settings.group = GroupName(group_name);
    settings.zone = sizes_.zones[zone];
    settings.backend = BackendName(fmt::format("{}-{}", group_name, settings.zone.value));
    settings.endpoint = Endpoint{address(zone, kFirstDatabaseHost + group), kDatabasePort};
    settings.connections = sizes_.connections;
    settings.slots = sizes_.slots;
    settings.connection_opening_delay = sizes_.connection_opening_delay;
    return settings;
  }

  [[nodiscard]] declared::config::DatabaseGroupSpec group_spec(const std::string& name,
                                                               std::uint32_t group) const {
    declared::config::DatabaseGroupSpec spec;
    spec.backend_selector.match_labels = LabelSet{{{"group", name}}};
    const std::uint32_t share = declared::config::kHashSlots / kGroups;
    spec.hash_slots.first = group * share;
    spec.hash_slots.last = group + 1 == kGroups ? declared::config::kHashSlots - 1 : (group + 1) * share - 1;
    spec.connections_per_backend = sizes_.connections;
    spec.slots_per_backend = sizes_.slots;
    return spec;
  }

  void add_routes() {
    if (deployment_.profile == Profile::kStudyCard) {
      add_route("learner", 100, milliseconds(2000), milliseconds(200));
      add_route("deck", 100, milliseconds(30000), milliseconds(200));
    } else {
      add_route("trip", 100, milliseconds(1000), milliseconds(50));
      add_route("vehicle", 50, milliseconds(5000), milliseconds(50));
    }
  }

  void add_route(const std::string& database, std::uint32_t precedence, milliseconds staleness,
                 milliseconds replica_wait) {
    declared::config::RouteSpec spec;
    spec.precedence = precedence;
    spec.statement_selector.match_labels = LabelSet{{{"database", database}}};
    spec.group_selector.match_labels = LabelSet{{{"service", sizes_.service}}};
    spec.max_staleness_milliseconds = static_cast<std::uint64_t>(staleness.count());
    spec.replica_wait_milliseconds = static_cast<std::uint64_t>(replica_wait.count());
    deployment_.objects.push_back({database, LabelSet{{{"service", sizes_.service}}}, spec});
  }

  Sizes sizes_;
  Deployment deployment_;
};

}  // namespace

std::vector<Endpoint> Deployment::caller_endpoints() const {
  std::vector<Endpoint> endpoints;
  for (const auto& settings : proxies) endpoints.push_back(settings.caller_endpoint);
  return endpoints;
}

std::vector<Endpoint> Deployment::operator_endpoints() const {
  std::vector<Endpoint> endpoints;
  for (const auto& settings : control_nodes) endpoints.push_back(settings.operator_endpoint);
  return endpoints;
}

std::vector<GroupName> Deployment::groups() const {
  std::set<GroupName> names;
  for (const auto& settings : databases) names.insert(settings.group);
  return {names.begin(), names.end()};
}

std::vector<BackendName> Deployment::members_of(const GroupName& group) const {
  std::vector<BackendName> members;
  for (const auto& settings : databases) {
    if (settings.group == group) members.push_back(settings.backend);
  }
  return members;
}

const standins::database::DatabaseSettings& Deployment::database(const BackendName& backend) const {
  const auto found = std::find_if(databases.begin(), databases.end(),
                                  [&](const auto& settings) { return settings.backend == backend; });
  if (found == databases.end()) throw std::invalid_argument("no database named " + backend.value);
  return *found;
}

Deployment make_deployment(Profile profile) { return Builder(profile).build(); }

std::string profile_name(Profile profile) {
  return profile == Profile::kStudyCard ? "study-card" : "scooter-fleet";
}

}  // namespace cairnhollow::simulation

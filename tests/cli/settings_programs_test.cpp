// The settings of each program, and that docs/CONFIGURATION.md lists exactly the keys that are read.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "cli/settings_control.h"
#include "cli/settings_proxy.h"
#include "cli/settings_registered.h"
#include "standins/database/settings_file.h"
#include "standins/platform/settings_file.h"

namespace cairnhollow::cli {

using std::chrono::milliseconds;

namespace {

constexpr const char* kProxy = R"(
node: proxy-1
zone: kelburn
caller_endpoint: 127.0.0.1:7000
control_endpoints: ["127.0.0.1:7100", "127.0.0.1:7101"]
)";
constexpr const char* kProxyOfDomains = R"(
node: proxy-1
zone: kelburn
caller_endpoint: 127.0.0.1:7000
domains:
- {name: north, control_endpoints: ["127.0.0.1:7100"], databases: [decks]}
)";
std::string joined(const std::string& settings, const std::string& more) {
  std::string whole = settings;
  whole.append(more);
  return whole;
}

constexpr const char* kControl = R"(
node: control-1
zone: kelburn
peer_endpoint: 127.0.0.1:7100
operator_endpoint: 127.0.0.1:7200
initial_members:
- {node: control-1, endpoint: "127.0.0.1:7100", zone: kelburn}
- {node: control-2, endpoint: "127.0.0.1:7101", zone: petone, role: learner}
)";
constexpr const char* kDatabase = R"(
backend: records-a-1
group: records-a
zone: kelburn
endpoint: 127.0.0.1:7300
initial_members:
- {backend: records-a-1, endpoint: "127.0.0.1:7300"}
- {backend: records-a-2, endpoint: "127.0.0.1:7301"}
)";

/// The names in the first column of the tables of one section of the page.
std::set<std::string> documented_keys(const std::string& heading) {
  const auto page = std::filesystem::path(CAIRNHOLLOW_SOURCE_FOLDER) / "docs/CONFIGURATION.md";
  std::ifstream stream(page);
  CPPUNIT_ASSERT_MESSAGE(page.string(), stream.good());
  std::set<std::string> keys;
  bool inside = false;
  for (std::string line; std::getline(stream, line);) {
    if (line.starts_with("## ")) inside = line.starts_with("## " + heading);
    if (inside && line.starts_with("| `")) keys.insert(line.substr(3, line.find('`', 3) - 3));
  }
  return keys;
}

}  // namespace

class SettingsProgramsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsProgramsTest);
  CPPUNIT_TEST(a_proxy_needs_name_zone_and_endpoints);
  CPPUNIT_TEST(a_proxy_follows_several_domains);
  CPPUNIT_TEST(faults_of_domains_name_field_and_line);
  CPPUNIT_TEST(a_control_node_needs_name_zone_and_endpoints);
  CPPUNIT_TEST(members_of_the_cluster_are_read);
  CPPUNIT_TEST(heartbeats_come_well_before_an_election);
  CPPUNIT_TEST(a_founder_names_itself_and_a_joiner_nobody);
  CPPUNIT_TEST(a_database_is_a_member_of_its_group);
  CPPUNIT_TEST(a_backend_stands_once_in_its_group);
  CPPUNIT_TEST(empty_settings_name_every_required_key);
  CPPUNIT_TEST(a_registered_fleets_programs_need_their_endpoints);
  CPPUNIT_TEST(a_deployments_zones_are_read_with_their_regions);
  CPPUNIT_TEST(a_deployment_without_places_binds_nothing);
  CPPUNIT_TEST(zones_that_are_no_names_are_faults);
  CPPUNIT_TEST(the_port_of_registrations_is_kept_free);
  CPPUNIT_TEST(the_page_lists_exactly_the_keys_that_are_read);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_proxy_needs_name_zone_and_endpoints() {
    SettingsReader reader = read(kProxy);
    const declared::proxy::ProxySettings settings = read_proxy_settings(reader);
    reader.finish();
    assert_no_faults();
    CPPUNIT_ASSERT_EQUAL(std::string("proxy-1"), settings.node.value);
    CPPUNIT_ASSERT(settings.control_endpoints.at(1) == (Endpoint{"127.0.0.1", 7101}));
    CPPUNIT_ASSERT(settings.follow_interval == declared::proxy::ProxySettings{}.follow_interval);
  }

  void a_proxy_follows_several_domains() {
    SettingsReader reader = read(joined(kProxyOfDomains, R"(
- {name: south, control_endpoints: ["127.0.0.1:7200"], databases: [maps, tiles]}
)"));
    const auto settings = read_proxy_settings(reader);
    reader.finish();
    assert_no_faults();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings.domains.size());
    CPPUNIT_ASSERT_EQUAL(std::string("south"), settings.domains[1].name.value);
    CPPUNIT_ASSERT(settings.domains[1].control_endpoints.at(0) == (Endpoint{"127.0.0.1", 7200}));
    CPPUNIT_ASSERT_EQUAL(std::string("tiles"), settings.domains[1].databases.at(1).value);
  }

  void faults_of_domains_name_field_and_line() {
    SettingsReader reader = read(joined(kProxyOfDomains, R"(
- name: north
  control_endpoints: ["127.0.0.1:7100"]
  databases: [decks]
- {name: east, control_endpoints: [], databases: []}
control_endpoints: ["127.0.0.1:7300"]
)"));
    read_proxy_settings(reader);
    reader.finish();
    std::vector<std::string> faults;
    for (const auto& fault : faults_) faults.push_back(fault.to_string());
    const std::vector<std::string> expected{
        "a.yaml:8: domains[1].name: names a domain twice: north",
        "a.yaml:10: domains[1].databases: decks belongs to domain north already",
        "a.yaml:9: domains[1].control_endpoints: 127.0.0.1:7100 belongs to domain north already",
        "a.yaml:11: domains[2].control_endpoints: must not be empty",
        "a.yaml:11: domains[2].databases: must not be empty",
        "a.yaml:12: control_endpoints: must be left out when domains are named"};
    CPPUNIT_ASSERT_EQUAL(fmt::format("{}", fmt::join(expected, "\n")),
                         fmt::format("{}", fmt::join(faults, "\n")));
  }

  void a_control_node_needs_name_zone_and_endpoints() {
    SettingsReader reader = read(joined(kControl, "serving_lease: 3s\n"));
    const declared::control::ControlSettings settings = read_control_settings(reader);
    reader.finish();
    assert_no_faults();
    CPPUNIT_ASSERT(settings.serving_lease == milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, settings.platform_endpoint.port);
  }

  void members_of_the_cluster_are_read() {
    SettingsReader reader = read(kControl);
    const auto members = read_control_settings(reader).initial_members;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, members.size());
    CPPUNIT_ASSERT(members[0].role == consensus::MemberRole::kVoter);
    CPPUNIT_ASSERT(members[1].role == consensus::MemberRole::kLearner);
    CPPUNIT_ASSERT_EQUAL(std::string("petone"), members[1].zone.value);
  }

  void heartbeats_come_well_before_an_election() {
    SettingsReader reader = read(joined(kControl, "heartbeat_interval: 200ms\n"));
    read_control_settings(reader);
    assert_fault("heartbeat_interval", "must be at most half of election_timeout");
  }

  void a_founder_names_itself_and_a_joiner_nobody() {
    SettingsReader founder = read(kControl);
    founder.apply({"--node", "node", "control-9", OverrideForm::kText});
    read_control_settings(founder);
    assert_fault("initial_members", "must name this node: control-9");
    faults_.clear();
    SettingsReader joiner = read(joined(kControl, "join: true\n"));
    read_control_settings(joiner);
    assert_fault("initial_members", "must be left out when join is true");
  }

  void a_database_is_a_member_of_its_group() {
    SettingsReader reader = read(joined(kDatabase, "slots: 4\nconnection_opening_delay: 30ms\n"));
    const auto settings = standins::database::read_database_settings(reader);
    reader.finish();
    assert_no_faults();
    CPPUNIT_ASSERT_EQUAL(4U, settings.slots);
    CPPUNIT_ASSERT_EQUAL(std::string("records-a-2"), settings.initial_members.at(1).backend.value);
    SettingsReader stranger = read(kDatabase);
    stranger.apply({"--set backend", "backend", "records-b-1"});
    standins::database::read_database_settings(stranger);
    assert_fault("initial_members", "must name this backend: records-b-1");
  }

  void a_backend_stands_once_in_its_group() {
    SettingsReader reader =
        read(joined(kDatabase, "- {backend: records-a-1, endpoint: \"127.0.0.1:7302\"}\n"));
    standins::database::read_database_settings(reader);
    assert_fault("initial_members", "names a backend twice: records-a-1");
  }

  void empty_settings_name_every_required_key() {
    SettingsReader reader = read("{}");
    read_control_settings(reader);
    std::vector<std::string> fields;
    for (const SettingsFault& fault : faults_) fields.push_back(fault.field);
    CPPUNIT_ASSERT_EQUAL(std::string("node zone peer_endpoint operator_endpoint"),
                         fmt::format("{}", fmt::join(fields, " ")));
  }

  void a_registered_fleets_programs_need_their_endpoints() {
    SettingsReader proxy = read(
        "{fleet: registered, node: p-1, zone: a, session_endpoint: '127.0.0.1:1', readiness_endpoint: "
        "'127.0.0.1:2', "
        "peer_endpoint: '127.0.0.1:3', seeds: ['127.0.0.1:4'], control_port: 5}");
    CPPUNIT_ASSERT(read_fleet_kind(proxy) == FleetKind::kRegistered);
    const auto settings = read_session_proxy_settings(proxy);
    proxy.finish();
    assert_no_faults();
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{5}, settings.control_port);
    CPPUNIT_ASSERT(!settings.metrics_endpoint);
    SettingsReader control = read("{node: c-1, zone: a}");
    read_registered_control_settings(control);
    std::vector<std::string> fields;
    for (const SettingsFault& fault : faults_) fields.push_back(fault.field);
    CPPUNIT_ASSERT_EQUAL(std::string("peer_endpoint operator_endpoint seeds promotion_endpoint"),
                         fmt::format("{}", fmt::join(fields, " ")));
  }

  void a_deployments_zones_are_read_with_their_regions() {
    const std::string places = "zone_regions: { a: north, b: south }\n";
    const std::string bounds = "evacuation_bound: 5000ms\ncold_overshoot: 1.5\ncold_slack: 5\n";
    SettingsReader proxy = read(joined(places, bounds));
    const auto settings = read_session_proxy_settings(proxy);
    faults_.clear();
    SettingsReader control = read(places);
    const auto control_settings = read_registered_control_settings(control);
    const std::map<ZoneName, RegionName> expected = {{ZoneName("a"), RegionName("north")},
                                                     {ZoneName("b"), RegionName("south")}};
    CPPUNIT_ASSERT(settings.zone_regions == expected);
    CPPUNIT_ASSERT(control_settings.zone_regions == expected);
    CPPUNIT_ASSERT(settings.evacuation_bound == milliseconds(5000));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, settings.cold_overshoot, 0.0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, settings.cold_slack, 0.0);
  }

  void a_deployment_without_places_binds_nothing() {
    SettingsReader proxy = read("zone_regions: {  }\n");
    const auto settings = read_session_proxy_settings(proxy);
    CPPUNIT_ASSERT(settings.zone_regions.empty());
    CPPUNIT_ASSERT(settings.evacuation_bound == Duration(0));
    CPPUNIT_ASSERT(settings.cold_overshoot == 0 && settings.cold_slack == 0);
  }

  void zones_that_are_no_names_are_faults() {
    for (const std::string places :
         {"[a, b]", "{ a: [north] }", "{ a: north, A!: south }", "{ a: '' }", "{ a: north, a: south }"}) {
      faults_.clear();
      SettingsReader control = read("zone_regions: " + places);
      read_registered_control_settings(control);
      const bool found = std::any_of(faults_.begin(), faults_.end(), [](const SettingsFault& fault) {
        return fault.field == "zone_regions";
      });
      CPPUNIT_ASSERT_MESSAGE(places, found);
    }
  }

  void the_port_of_registrations_is_kept_free() {
    SettingsReader proxy = read(
        "{fleet: registered, node: p-1, zone: a, session_endpoint: '127.0.0.1:1', readiness_endpoint: "
        "'127.0.0.1:4', peer_endpoint: '127.0.0.1:3', seeds: ['127.0.0.1:9'], control_port: 5, "
        "metrics_endpoint: '127.0.0.1:4'}");
    read_session_proxy_settings(proxy);
    SettingsReader last = read(
        "{fleet: registered, node: p-1, zone: a, session_endpoint: '127.0.0.1:1', readiness_endpoint: "
        "'127.0.0.1:2', peer_endpoint: '127.0.0.1:65535', seeds: ['127.0.0.1:9'], control_port: 5}");
    read_session_proxy_settings(last);
    std::vector<std::string> fields;
    for (const SettingsFault& fault : faults_) fields.push_back(fault.field);
    CPPUNIT_ASSERT_EQUAL(std::string("readiness_endpoint metrics_endpoint peer_endpoint"),
                         fmt::format("{}", fmt::join(fields, " ")));
  }

  void the_page_lists_exactly_the_keys_that_are_read() {
    assert_documented("`cairnhollow-proxy`", read_proxy_settings, {});
    assert_documented("`cairnhollow-control`", read_control_settings, {"data_folder", "role", "endpoint"});
    assert_documented("Registered fleet: `cairnhollow-proxy`", read_session_proxy_settings, {"fleet"});
    assert_documented("Registered fleet: `cairnhollow-control`", read_registered_control_settings,
                      {"fleet", "data_folder"});
    assert_documented("`cairnhollow-database`", standins::database::read_database_settings, {"data_folder"});
    assert_documented("`cairnhollow-platform`", standins::platform::read_platform_settings, {});
  }

 private:
  SettingsReader read(const std::string& yaml) { return {"a.yaml", YAML::Load(yaml), faults_}; }

  void assert_no_faults() {
    if (!faults_.empty()) CPPUNIT_FAIL(faults_.front().to_string());
  }

  void assert_fault(const std::string& field, const std::string& reason) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, faults_.size());
    CPPUNIT_ASSERT_EQUAL(field, faults_[0].field);
    CPPUNIT_ASSERT_EQUAL(reason, faults_[0].reason);
  }

  /// `elsewhere`: keys of the section that the program's main reads, or that belong to a list's items.
  template <class ReadSettings>
  void assert_documented(const std::string& heading, ReadSettings read_settings,
                         std::set<std::string> elsewhere) {
    SettingsReader reader = read("{}");
    read_settings(reader);
    std::set<std::string> keys = reader.known_keys();
    keys.merge(elsewhere);
    CPPUNIT_ASSERT_EQUAL(fmt::format("{}", fmt::join(keys, " ")),
                         fmt::format("{}", fmt::join(documented_keys(heading), " ")));
  }

  std::vector<SettingsFault> faults_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsProgramsTest);

}  // namespace cairnhollow::cli

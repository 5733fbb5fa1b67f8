// Tests manifests: every field is read and written, and every fault is reported with field and line.
#include "declared/config/manifest.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::declared::config {

namespace {

const char* const kEveryField = R"(# a comment
kind: Proxy
metadata:
  name: proxy-1
  labels: {zone: kelburn, count: 3, flag: true}
  resourceVersion: 12
spec: {zone: kelburn, endpoint: "127.0.0.1:4000", drain: true}
---
kind: Backend
metadata: {name: orders-a}
spec:
  zone: petone
  endpoint: "[::1]:5000"
---
kind: DatabaseGroup
metadata: {name: orders}
spec:
  backendSelector:
    matchLabels: {service: orders}
    matchExpressions:
      - {key: zone, operator: In, values: [a, b]}
      - {key: old, operator: DoesNotExist}
  hashSlots: {first: 5, last: 9}
  connectionsPerBackend: 60
  slotsPerBackend: 4
---
kind: Route
metadata: {name: orders}
spec:
  precedence: 7
  statementSelector: {matchLabels: {database: orders}}
  groupSelector: {matchExpressions: [{key: service, operator: Exists}]}
  replicaSelector: {matchExpressions: [{key: zone, operator: NotIn, values: [c]}]}
  replicaReads: false
  maxStaleness: 90s
  replicaWait: 75ms
)";

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

class ManifestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManifestTest);
  CPPUNIT_TEST(every_field_is_read);
  CPPUNIT_TEST(defaults_match_the_documentation);
  CPPUNIT_TEST(written_manifests_are_read_back);
  CPPUNIT_TEST(unknown_fields_are_reported_with_their_line);
  CPPUNIT_TEST(wrong_types_are_reported_with_their_line);
  CPPUNIT_TEST(invalid_selectors_are_reported_with_their_line);
  CPPUNIT_TEST(missing_fields_are_reported);
  CPPUNIT_TEST(all_faults_are_reported_at_once);
  CPPUNIT_TEST(malformed_yaml_is_reported_with_its_line);
  CPPUNIT_TEST(repeated_keys_are_faults);
  CPPUNIT_TEST(strings_that_look_like_numbers_stay_strings);
  CPPUNIT_TEST(deep_and_large_documents_are_refused);
  CPPUNIT_TEST(stray_tokens_are_refused);
  CPPUNIT_TEST(aliases_are_copies);
  CPPUNIT_TEST_SUITE_END();

 public:
  void every_field_is_read() {
    const auto manifests = parse(kEveryField);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, manifests.size());
    const auto& proxy = manifests[0];
    CPPUNIT_ASSERT_EQUAL(std::string("proxy-1"), proxy.object.name);
    CPPUNIT_ASSERT_EQUAL(2, proxy.line);
    CPPUNIT_ASSERT(proxy.resource_version == 12U);
    CPPUNIT_ASSERT(proxy.object.labels.find("count") == "3");
    CPPUNIT_ASSERT(proxy.object.labels.find("flag") == "true");
    const auto& proxy_spec = std::get<ProxySpec>(proxy.object.spec);
    CPPUNIT_ASSERT((proxy_spec == ProxySpec{ZoneName("kelburn"), {"127.0.0.1", 4000}, true}));
    const auto& backend_spec = std::get<BackendSpec>(manifests[1].object.spec);
    CPPUNIT_ASSERT((backend_spec == BackendSpec{ZoneName("petone"), {"::1", 5000}, false}));
    const auto& group_spec = std::get<DatabaseGroupSpec>(manifests[2].object.spec);
    CPPUNIT_ASSERT((group_spec.hash_slots == HashSlotRange{5, 9}));
    CPPUNIT_ASSERT_EQUAL(60U, group_spec.connections_per_backend);
    CPPUNIT_ASSERT_EQUAL(4U, group_spec.slots_per_backend);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, group_spec.backend_selector.match_expressions.size());
    const auto& route_spec = std::get<RouteSpec>(manifests[3].object.spec);
    CPPUNIT_ASSERT_EQUAL(7U, route_spec.precedence);
    CPPUNIT_ASSERT(!route_spec.replica_reads);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{90'000}, route_spec.max_staleness_milliseconds);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{75}, route_spec.replica_wait_milliseconds);
  }

  void defaults_match_the_documentation() {
    const auto group = parse("kind: DatabaseGroup\nmetadata: {name: g}\nspec: {backendSelector: {}}\n");
    const auto& group_spec = std::get<DatabaseGroupSpec>(group[0].object.spec);
    CPPUNIT_ASSERT((group_spec.hash_slots == HashSlotRange{0, 65535}));
    CPPUNIT_ASSERT_EQUAL(35U, group_spec.connections_per_backend);
    CPPUNIT_ASSERT_EQUAL(5U, group_spec.slots_per_backend);
    CPPUNIT_ASSERT(!group[0].resource_version);
    const auto route =
        parse("kind: Route\nmetadata: {name: r}\nspec: {statementSelector: {}, groupSelector: {}}\n");
    const auto& route_spec = std::get<RouteSpec>(route[0].object.spec);
    CPPUNIT_ASSERT_EQUAL(0U, route_spec.precedence);
    CPPUNIT_ASSERT(route_spec.replica_reads);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5000}, route_spec.max_staleness_milliseconds);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, route_spec.replica_wait_milliseconds);
  }

  void written_manifests_are_read_back() {
    std::vector<StoredObject> objects;
    for (const auto& manifest : parse(kEveryField)) objects.push_back({manifest.object, 4});
    const auto again = parse(to_yaml(objects));
    CPPUNIT_ASSERT_EQUAL(objects.size(), again.size());
    for (std::size_t i = 0; i < again.size(); ++i) {
      CPPUNIT_ASSERT(objects[i].object == again[i].object);
      CPPUNIT_ASSERT(again[i].resource_version == 4U);
      Reason reason;
      const auto from_json = manifest_from_json(to_json(objects[i]), reason);
      CPPUNIT_ASSERT_MESSAGE(reason.detail, from_json);
      CPPUNIT_ASSERT(objects[i].object == from_json->object);
    }
  }

  void unknown_fields_are_reported_with_their_line() {
    CPPUNIT_ASSERT_EQUAL(std::string("f.yaml:6: spec.colour: unknown key; known keys: drain, endpoint, zone"),
                         fault_of("kind: Proxy\n"
                                  "metadata: {name: p}\n"
                                  "spec:\n"
                                  "  zone: a\n"
                                  "  endpoint: 127.0.0.1:1\n"
                                  "  colour: red\n"));
    CPPUNIT_ASSERT(contains(fault_of("kind: Proxy\nmetadata: {name: p, owner: x}\n"
                                     "spec: {zone: a, endpoint: '127.0.0.1:1'}\n"),
                            "f.yaml:2: metadata.owner: unknown key"));
  }

  void wrong_types_are_reported_with_their_line() {
    const std::string faults = fault_of(
        "kind: DatabaseGroup\n"
        "metadata: {name: [a]}\n"
        "spec:\n"
        "  backendSelector: orders\n"
        "  hashSlots: {first: -1, last: many}\n"
        "  connectionsPerBackend: 4294967296\n"
        "  slotsPerBackend: \"5\"\n");
    CPPUNIT_ASSERT(contains(faults, "f.yaml:2: metadata.name: must be a string"));
    CPPUNIT_ASSERT(contains(faults, "f.yaml:4: spec.backendSelector: must be a mapping"));
    CPPUNIT_ASSERT(contains(faults, "f.yaml:5: spec.hashSlots.first: must be a whole number"));
    CPPUNIT_ASSERT(contains(faults, "f.yaml:5: spec.hashSlots.last: must be a whole number"));
    CPPUNIT_ASSERT(contains(faults, "f.yaml:6: spec.connectionsPerBackend: must be a whole number"));
    CPPUNIT_ASSERT(contains(faults, "f.yaml:7: spec.slotsPerBackend: must be a whole number"));
    CPPUNIT_ASSERT(contains(fault_of("kind: Proxy\nmetadata: {name: p}\n"
                                     "spec:\n  zone: a\n  endpoint: localhost:1\n  drain: yes\n"),
                            "f.yaml:6: spec.drain: must be true or false"));
  }

  void invalid_selectors_are_reported_with_their_line() {
    const std::string faults = fault_of(
        "kind: Route\n"
        "metadata: {name: r}\n"
        "spec:\n"
        "  statementSelector:\n"
        "    matchLabels: [a]\n"
        "  groupSelector:\n"
        "    matchExpressions:\n"
        "      - {key: a, operator: Equals}\n"
        "      - {operator: In, values: b}\n"
        "  maxStaleness: 5\n");
    CPPUNIT_ASSERT(contains(faults, "f.yaml:5: spec.statementSelector.matchLabels: must be a mapping"));
    CPPUNIT_ASSERT(contains(
        faults,
        "f.yaml:8: spec.groupSelector.matchExpressions[0].operator: unknown operator 'Equals'; must be In"));
    CPPUNIT_ASSERT(contains(faults, "f.yaml:9: spec.groupSelector.matchExpressions[1].key: is required"));
    CPPUNIT_ASSERT(
        contains(faults, "f.yaml:9: spec.groupSelector.matchExpressions[1].values: must be a list"));
    CPPUNIT_ASSERT(contains(faults, "f.yaml:10: spec.maxStaleness: must be a whole number with a unit"));
  }

  void missing_fields_are_reported() {
    CPPUNIT_ASSERT(contains(fault_of("metadata: {}\nspec: {}\n"), "kind: is required"));
    CPPUNIT_ASSERT(contains(fault_of("metadata: {}\nspec: {}\n"), "metadata.name: is required"));
    CPPUNIT_ASSERT(contains(fault_of("kind: Proxy\nmetadata: {name: p}\n"), "spec: is required"));
    CPPUNIT_ASSERT(contains(fault_of("kind: Proxy\nmetadata: {name: p}\nspec: {zone: a}\n"),
                            "spec.endpoint: is required"));
    CPPUNIT_ASSERT(contains(fault_of("kind: Shard\nmetadata: {name: p}\nspec: {}\n"),
                            "kind: unknown kind 'Shard'; must be"));
  }

  void all_faults_are_reported_at_once() {
    const std::string faults = fault_of(
        "kind: Proxy\nmetadata: {name: p}\nspec: {endpoint: x}\n"
        "---\n"
        "kind: Backend\nmetadata: {name: b}\nspec: {zone: a, size: 3}\n");
    CPPUNIT_ASSERT(contains(faults, "f.yaml:3: spec.zone: is required"));
    CPPUNIT_ASSERT(contains(faults, "f.yaml:3: spec.endpoint: must be an IP address and port"));
    CPPUNIT_ASSERT(contains(faults, "f.yaml:7: spec.endpoint: is required"));
    CPPUNIT_ASSERT(contains(faults, "f.yaml:7: spec.size: unknown key"));
  }

  void malformed_yaml_is_reported_with_its_line() {
    CPPUNIT_ASSERT(contains(fault_of("kind: Proxy\nmetadata: {name: p\nspec: {}\n"), "f.yaml"));
    CPPUNIT_ASSERT(contains(fault_of("kind: Proxy\n  bad: : indent\n"), "line 2"));
  }

  void repeated_keys_are_faults() {
    CPPUNIT_ASSERT(contains(fault_of("kind: Proxy\nkind: Backend\nmetadata: {name: p}\n"
                                     "spec: {zone: a, endpoint: '127.0.0.1:1'}\n"),
                            "kind: duplicate key"));
  }

  void strings_that_look_like_numbers_stay_strings() {
    const Object object{"p", LabelSet{{{"a", "1"}, {"b", "true"}, {"c", "~"}, {"d", ""}, {"e", "1e3"}}},
                        ProxySpec{ZoneName("null"), {"127.0.0.1", 1}, false}};
    const auto again = parse(to_yaml({StoredObject{object, 1}}));
    CPPUNIT_ASSERT(object == again[0].object);
  }

  void deep_and_large_documents_are_refused() {
    Reason reason;
    CPPUNIT_ASSERT(!parse_manifests(std::string(1000, '['), "f.yaml", reason));
    std::string bomb = "a: &a [x,x,x,x,x,x,x,x,x,x]\n";
    for (char name = 'b'; name <= 'i'; ++name) {
      const std::string previous(1, static_cast<char>(name - 1));
      bomb += std::string(1, name) + ": &" + name + " [";
      for (int i = 0; i < 10; ++i) bomb += (i == 0 ? "*" : ",*") + previous;
      bomb += "]\n";
    }
    CPPUNIT_ASSERT(!parse_manifests(bomb, "f.yaml", reason));
  }

  void stray_tokens_are_refused() {
    for (const char* text : {",", "!a,", "!-00',,", ",],( \"]b'\"", "a: 1\n,"}) {
      Reason reason;
      CPPUNIT_ASSERT_MESSAGE(text, !parse_manifests(text, "f.yaml", reason));
      CPPUNIT_ASSERT(reason.code == ReasonCode::kInvalidArgument);
    }
  }

  void aliases_are_copies() {
    const auto manifests = parse(
        "kind: Backend\n"
        "metadata: {name: &name orders-a, labels: &labels {app: *name}}\n"
        "spec: {zone: *name, endpoint: '127.0.0.1:1'}\n");
    CPPUNIT_ASSERT(manifests[0].object.labels.find("app") == "orders-a");
    CPPUNIT_ASSERT(
        contains(fault_of("kind: &loop [*loop]\n"), "line 1: an alias refers to a node that contains it"));
    CPPUNIT_ASSERT(contains(fault_of("kind: *unknown\n"), "line 1"));
  }

 private:
  static std::vector<Manifest> parse(const std::string& text) {
    Reason reason;
    const auto manifests = parse_manifests(text, "f.yaml", reason);
    CPPUNIT_ASSERT_MESSAGE(reason.detail, manifests);
    return *manifests;
  }

  static std::string fault_of(const std::string& text) {
    Reason reason;
    CPPUNIT_ASSERT_MESSAGE(text, !parse_manifests(text, "f.yaml", reason));
    CPPUNIT_ASSERT(reason.code == ReasonCode::kInvalidArgument);
    return reason.detail;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestTest);

}  // namespace cairnhollow::declared::config

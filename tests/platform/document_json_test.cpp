// Tests parsing of the configuration document and of heartbeats: the examples of the platform's
// documentation, and faults that name their field.
#include "platform/document_json.h"

#include <cppunit/extensions/HelperMacros.h>

#include "platform/heartbeat_json.h"
#include "registered/registry/validation.h"

namespace cairnhollow::platform {

namespace {

const std::string kDocument =
    R"({"Version":7,"Routes":[{"Name":"r-ctnfzs9","Hostname":"lepu270","PathPrefix":"/","RouteKind":"primary",)"
    R"("TimeoutMs":800,"TargetLatencyMs":120,"Priority":1,"Service":"huvo11a","MaxAttempts":2},)"
    R"({"Name":"r-qasnmgk","Hostname":"xapu221ny95","PathPrefix":"/","RouteKind":"bounded_staleness",)"
    R"("TimeoutMs":1500,"TargetLatencyMs":400,"Priority":2,"Service":"huvo11a","MaxAttempts":2,)"
    R"("MaxStalenessMs":1500}],"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":32,)"
    R"("Protocol":"h1","Tls":false,"SyncReplicas":1}],"Limits":{"MaxHeaderBytes":16384,"TxnIdleMs":3000}})";
const std::string kHeartbeat =
    R"({"Service":"huvo11a","Addr":"10.128.0.9:8080","Zone":"hafn-a","Version":"v1","Slots":2,"State":"ready",)"
    R"("ColdRemainingMs":0,"DbRole":"replica","Seq":4})";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

/// Returns kDocument with the JSON list `tenants` added.
std::string with_tenants(const std::string& tenants) {
  std::string text = kDocument;
  text.pop_back();
  return text + R"(,"Tenants":)" + tenants + "}";
}

std::optional<Heartbeat> read_heartbeat(const std::string& id, const std::string& body, Reason& reason) {
  registered::registry::RegistrationFault fault{};
  return platform::read_heartbeat(id, body, fault, reason);
}

std::string fault_of(const std::string& body) {
  Reason reason;
  const auto document = read_document(body, reason);
  if (!document) return reason.detail;
  const auto faults = registered::registry::find_faults(*document);
  return faults.empty() ? std::string() : faults.front();
}

}  // namespace

class DocumentJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DocumentJsonTest);
  CPPUNIT_TEST(parses_documented_example);
  CPPUNIT_TEST(parses_documented_tenants);
  CPPUNIT_TEST(tenant_faults_name_field_but_no_key);
  CPPUNIT_TEST(parses_documented_heartbeat);
  CPPUNIT_TEST(parses_start_time_and_cold_time);
  CPPUNIT_TEST(refuses_start_time_that_is_no_integer);
  CPPUNIT_TEST(parses_regions_and_cold_starts);
  CPPUNIT_TEST(region_and_cold_start_faults_name_field);
  CPPUNIT_TEST(faults_name_their_field);
  CPPUNIT_TEST(refuses_every_truncated_document);
  CPPUNIT_TEST_SUITE_END();

 public:
  void parses_documented_example() {
    Reason reason;
    const auto document = read_document(kDocument, reason);
    CPPUNIT_ASSERT_MESSAGE(reason.detail, document);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, document->version);
    CPPUNIT_ASSERT_EQUAL(kDocument, document->text);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, document->routes.size());
    CPPUNIT_ASSERT(document->routes[1].reads == registered::registry::ReadPolicy::kBoundedStaleness);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1500}, document->routes[1].max_staleness_ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{32}, document->groups[0].max_connections);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3000}, document->transaction_idle_ms);
    CPPUNIT_ASSERT(registered::registry::find_faults(*document).empty());
  }

  void parses_documented_tenants() {
    Reason reason;
    const auto without = read_document(kDocument, reason);
    CPPUNIT_ASSERT(without && !without->requires_keys && without->tenants.empty());
    const auto document = read_document(
        with_tenants(
            R"([{"Name":"miny420","ApiKeys":["bkf8","7qdq"],"Priority":1,"RatePerS":218,"Burst":200}])"),
        reason);
    CPPUNIT_ASSERT_MESSAGE(reason.detail, document && document->requires_keys);
    const registered::registry::TenantRule& tenant = document->tenants.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("miny420"), tenant.name.value);
    CPPUNIT_ASSERT(tenant.keys == (std::vector<ApiKey>{ApiKey("bkf8"), ApiKey("7qdq")}));
    CPPUNIT_ASSERT(tenant.rate_per_s == 218 && tenant.burst == 200 && tenant.priority == 1);
    const auto no_tenants = read_document(with_tenants("[]"), reason);
    CPPUNIT_ASSERT_MESSAGE("an empty tenant list still requires keys",
                           no_tenants && no_tenants->requires_keys);
    const auto public_route =
        read_document(replaced(kDocument, R"("Priority":1)", R"("Priority":1,"Public":true)"), reason);
    CPPUNIT_ASSERT(public_route && public_route->routes[0].is_public && !public_route->routes[1].is_public);
  }

  void tenant_faults_name_field_but_no_key() {
    const auto fault = [](const std::string& tenants) { return fault_of(with_tenants(tenants)); };
    const std::string shared =
        fault(R"([{"Name":"a","ApiKeys":["secret"]},{"Name":"b","ApiKeys":["other","secret"]}])");
    CPPUNIT_ASSERT_EQUAL(std::string("tenants[1].keys[1]: is already a key of tenants[0]"), shared);
    CPPUNIT_ASSERT_EQUAL(std::string("tenants[1].name: a appears more than once"),
                         fault(R"([{"Name":"a","ApiKeys":[]},{"Name":"a","ApiKeys":[]}])"));
    CPPUNIT_ASSERT_EQUAL(std::string("tenants[0].keys[0]: must not be empty"),
                         fault(R"([{"Name":"a","ApiKeys":[""]}])"));
    CPPUNIT_ASSERT_EQUAL(std::string("Tenants[0].RatePerS: must be a non-negative integer"),
                         fault(R"([{"Name":"a","ApiKeys":[],"RatePerS":-1}])"));
    CPPUNIT_ASSERT_EQUAL(std::string("Tenants[0].ApiKeys: must contain only strings"),
                         fault(R"([{"Name":"a","ApiKeys":[7]}])"));
    CPPUNIT_ASSERT_EQUAL(std::string("Tenants: must be an array"), fault(R"({"a":1})"));
    CPPUNIT_ASSERT_EQUAL(std::string("Routes[0].Public: must be true or false"),
                         fault_of(replaced(kDocument, R"("Priority":1)", R"("Priority":1,"Public":"yes")")));
  }

  void parses_documented_heartbeat() {
    Reason reason;
    const auto heartbeat = read_heartbeat("i-7f3a91c2", kHeartbeat, reason);
    CPPUNIT_ASSERT_MESSAGE(reason.detail, heartbeat);
    CPPUNIT_ASSERT_EQUAL(std::string("i-7f3a91c2"), heartbeat->entry.name.value);
    CPPUNIT_ASSERT_EQUAL(std::string("10.128.0.9:8080"), heartbeat->entry.endpoint.to_string());
    CPPUNIT_ASSERT(!heartbeat->entry.leaving);
    CPPUNIT_ASSERT(!heartbeat->reports_primary);
    CPPUNIT_ASSERT(
        read_heartbeat("i", replaced(kHeartbeat, "\"ready\"", "\"draining\""), reason)->entry.leaving);
    CPPUNIT_ASSERT(!read_heartbeat("i", replaced(kHeartbeat, "10.128.0.9:8080", "database"), reason));
    CPPUNIT_ASSERT_EQUAL(std::string("Addr: must be an IP address and port"), reason.detail);
  }

  void parses_start_time_and_cold_time() {
    Reason reason;
    const auto without = read_heartbeat("i", kHeartbeat, reason);
    CPPUNIT_ASSERT(without && without->entry.start_time_ms == 0 && without->entry.cold_ms == 0);
    const std::string cold = replaced(kHeartbeat, R"("ColdRemainingMs":0)", R"("ColdRemainingMs":1500)");
    const auto with_start =
        read_heartbeat("i", replaced(cold, R"("Seq":4)", R"("Seq":4,"born":1790000000123)"), reason);
    CPPUNIT_ASSERT_MESSAGE(reason.detail, with_start);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1790000000123}, with_start->entry.start_time_ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1500}, with_start->entry.cold_ms);
  }

  void refuses_start_time_that_is_no_integer() {
    for (const std::string start :
         {"1790000000123.5", "\"1790000000123\"", "null", "-1", "1e300", "[1]", "true"}) {
      Reason reason;
      const auto heartbeat =
          read_heartbeat("i", replaced(kHeartbeat, R"("Seq":4)", R"("Seq":4,"born":)" + start), reason);
      CPPUNIT_ASSERT_MESSAGE(start, !heartbeat);
      CPPUNIT_ASSERT_EQUAL(std::string("born: must be a non-negative integer"), reason.detail);
    }
  }

  void parses_regions_and_cold_starts() {
    Reason reason;
    std::string text =
        replaced(kDocument, R"("SyncReplicas":1)", R"("ColdStartS":2.5,"ColdPerS":7.25,"SyncReplicas":1)");
    text = replaced(text, R"("Priority":1,)", R"("Priority":1,"AllowedRegions":["north","south"],)");
    text.pop_back();
    text += R"(,"Tenants":[{"Name":"a","ApiKeys":[],"AllowedRegions":["north"]},)"
            R"({"Name":"b","ApiKeys":[],"AllowedRegions":[]}]})";
    const auto document = read_document(text, reason);
    CPPUNIT_ASSERT_MESSAGE(reason.detail, document);
    CPPUNIT_ASSERT_EQUAL(text, document->text);
    const std::vector<RegionName> both = {RegionName("north"), RegionName("south")};
    CPPUNIT_ASSERT(document->routes[0].allowed_regions == both);
    CPPUNIT_ASSERT(document->routes[1].allowed_regions.empty());
    CPPUNIT_ASSERT(document->tenants[0].allowed_regions == std::vector<RegionName>{RegionName("north")});
    CPPUNIT_ASSERT(document->tenants[1].allowed_regions.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2500}, document->groups[0].cold_start_ms);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(7.25, document->groups[0].cold_rate_per_s, 0.0);
    const auto without = read_document(kDocument, reason);
    CPPUNIT_ASSERT(without && without->groups[0].cold_start_ms == 0 &&
                   without->groups[0].cold_rate_per_s == 0);
  }

  void region_and_cold_start_faults_name_field() {
    const auto group = [](const std::string& more) {
      return fault_of(replaced(kDocument, R"("SyncReplicas":1)", R"("SyncReplicas":1,)" + more));
    };
    CPPUNIT_ASSERT_EQUAL(std::string("Services[0].ColdPerS: must be a non-negative number"),
                         group(R"("ColdPerS":-0.5)"));
    CPPUNIT_ASSERT_EQUAL(std::string("Services[0].ColdPerS: must be a non-negative number"),
                         group(R"("ColdPerS":"many")"));
    CPPUNIT_ASSERT_EQUAL(std::string("Services[0].ColdStartS: is too long"), group(R"("ColdStartS":1e12)"));
    const auto route = [](const std::string& regions) {
      return fault_of(
          replaced(kDocument, R"("Priority":1,)", R"("Priority":1,"AllowedRegions":)" + regions + ","));
    };
    CPPUNIT_ASSERT_EQUAL(std::string("Routes[0].AllowedRegions: must be an array"), route(R"("north")"));
    for (const std::string regions : {"[7]", R"([""])", R"(["north",null])"})
      CPPUNIT_ASSERT_EQUAL(std::string("Routes[0].AllowedRegions: must contain only non-empty strings"),
                           route(regions));
  }

  void faults_name_their_field() {
    CPPUNIT_ASSERT_EQUAL(std::string("routes[0].timeout: must not be 0"),
                         fault_of(replaced(kDocument, "\"TimeoutMs\":800", "\"TimeoutMs\":0")));
    CPPUNIT_ASSERT_EQUAL(std::string("routes[0].group: other is not defined in the document"),
                         fault_of(replaced(kDocument, "\"Service\":\"huvo11a\"", "\"Service\":\"other\"")));
    CPPUNIT_ASSERT_EQUAL(
        std::string("routes[1].database: lepu270 with prefix / is already served by routes[0]"),
        fault_of(replaced(kDocument, "\"Hostname\":\"xapu221ny95\"", "\"Hostname\":\"lepu270\"")));
    CPPUNIT_ASSERT_EQUAL(std::string("Routes[0].RouteKind: is not a known value"),
                         fault_of(replaced(kDocument, "\"primary\"", "\"sharded\"")));
    CPPUNIT_ASSERT_EQUAL(std::string("Version: must be a non-negative integer"),
                         fault_of(replaced(kDocument, "\"Version\":7", "\"Version\":-7")));
    CPPUNIT_ASSERT_EQUAL(std::string("Routes[0].TimeoutMs: is missing"),
                         fault_of(replaced(kDocument, "\"TimeoutMs\":800,", "")));
  }

  void refuses_every_truncated_document() {
    for (std::size_t size = 0; size < kDocument.size(); ++size) {
      Reason reason;
      CPPUNIT_ASSERT(!read_document(kDocument.substr(0, size), reason));
      CPPUNIT_ASSERT(reason.code == ReasonCode::kInvalidArgument);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentJsonTest);

}  // namespace cairnhollow::platform

// Tests that invalid heartbeats are refused with the right fault and field name.
#include "platform/heartbeat_json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace cairnhollow::platform {

using registered::registry::RegistrationFault;

namespace {

const std::string kHeartbeat =
    R"({"Service":"huvo11a","Addr":"10.128.0.9:8080","Zone":"hafn-a","Version":"v1","Slots":2,"State":"ready",)"
    R"("ColdRemainingMs":0,"DbRole":"replica","Seq":4,"born":1790000000123})";

std::string replaced(const std::string& from, const std::string& to) {
  std::string text = kHeartbeat;
  const std::size_t place = text.find(from);
  CPPUNIT_ASSERT_MESSAGE(from, place != std::string::npos);
  return text.replace(place, from.size(), to);
}

struct InvalidHeartbeat {
  std::string body;
  RegistrationFault fault;
  std::string detail;  ///< empty: an error message of Boost.JSON, not compared
};

void assert_refused(const std::string& id, const InvalidHeartbeat& invalid) {
  Reason reason;
  RegistrationFault fault{};
  const auto heartbeat = read_heartbeat(id, invalid.body, fault, reason);
  const std::string shown = invalid.body.substr(0, 300);
  CPPUNIT_ASSERT_MESSAGE(shown, !heartbeat);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, registration_fault_name(invalid.fault), registration_fault_name(fault));
  CPPUNIT_ASSERT(reason.code == ReasonCode::kInvalidArgument);
  if (!invalid.detail.empty()) CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, invalid.detail, reason.detail);
  CPPUNIT_ASSERT_MESSAGE("the message has a bounded length", reason.detail.size() < 200);
}

void assert_refused(const InvalidHeartbeat& invalid) { assert_refused("i-7f3a91c2", invalid); }

}  // namespace

class HeartbeatJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeartbeatJsonTest);
  CPPUNIT_TEST(names_missing_field);
  CPPUNIT_TEST(names_field_of_wrong_type);
  CPPUNIT_TEST(refuses_unknown_state_or_role);
  CPPUNIT_TEST(refuses_numbers_out_of_range);
  CPPUNIT_TEST(refuses_names_that_could_forge_a_line);
  CPPUNIT_TEST(refuses_unusable_addresses);
  CPPUNIT_TEST(refuses_bodies_that_are_no_json_object);
  CPPUNIT_TEST(refuses_oversized_body);
  CPPUNIT_TEST(refuses_invalid_ids);
  CPPUNIT_TEST(ignores_unknown_fields);
  CPPUNIT_TEST(refuses_every_truncated_heartbeat);
  CPPUNIT_TEST_SUITE_END();

 public:
  void names_missing_field() {
    const std::vector<std::pair<std::string, std::string>> fields = {
        {"Service", R"("Service":"huvo11a",)"},
        {"Addr", R"("Addr":"10.128.0.9:8080",)"},
        {"Zone", R"("Zone":"hafn-a",)"},
        {"Version", R"("Version":"v1",)"},
        {"Slots", R"("Slots":2,)"},
        {"State", R"("State":"ready",)"},
        {"DbRole", R"("DbRole":"replica",)"},
        {"ColdRemainingMs", R"("ColdRemainingMs":0,)"},
        {"Seq", R"("Seq":4,)"}};
    for (const auto& [field, text] : fields)
      assert_refused({replaced(text, ""), RegistrationFault::kMissingField, field + ": is missing"});
  }

  void names_field_of_wrong_type() {
    const auto refused = [](const std::string& from, const std::string& to, const std::string& detail) {
      assert_refused({replaced(from, to), RegistrationFault::kBadField, detail});
    };
    refused(R"("Service":"huvo11a")", R"("Service":7)", "Service: must be a string");
    refused(R"("Service":"huvo11a")", R"("Service":null)", "Service: must be a string");
    refused(R"("Addr":"10.128.0.9:8080")", R"("Addr":["10.128.0.9:8080"])", "Addr: must be a string");
    refused(R"("Zone":"hafn-a")", R"("Zone":{})", "Zone: must be a string");
    refused(R"("Version":"v1")", R"("Version":1)", "Version: must be a string");
    refused(R"("Slots":2)", R"("Slots":"2")", "Slots: must be a non-negative integer");
    refused(R"("Slots":2)", R"("Slots":2.5)", "Slots: must be a non-negative integer");
    refused(R"("State":"ready")", R"("State":true)", "State: must be a string");
    refused(R"("DbRole":"replica")", R"("DbRole":0)", "DbRole: must be a string");
    refused(R"("Seq":4)", R"("Seq":true)", "Seq: must be a non-negative integer");
    refused(R"("ColdRemainingMs":0)", R"("ColdRemainingMs":"0")",
            "ColdRemainingMs: must be a non-negative number");
    refused(R"("born":1790000000123)", R"("born":null)", "born: must be a non-negative integer");
  }

  void refuses_unknown_state_or_role() {
    for (const std::string state : {"leaving", "", "READY", "ready ", "Draining"})
      assert_refused({replaced(R"("State":"ready")", R"("State":")" + state + "\""),
                      RegistrationFault::kUnknownWord, "State: is not a known value"});
    assert_refused({replaced(R"("DbRole":"replica")", R"("DbRole":"witness")"),
                    RegistrationFault::kUnknownWord, "DbRole: is not a known value"});
  }

  void refuses_numbers_out_of_range() {
    const auto refused = [](const std::string& from, const std::string& to, const std::string& detail) {
      assert_refused({replaced(from, to), RegistrationFault::kBadField, detail});
    };
    refused(R"("Slots":2)", R"("Slots":0)", "Slots: is out of range");
    refused(R"("Slots":2)", R"("Slots":18446744073709551615)", "Slots: is out of range");
    refused(R"("Slots":2)", R"("Slots":1e400)", "");
    refused(R"("Seq":4)", R"("Seq":9007199254740992)", "Seq: is out of range");
    refused(R"("Seq":4)", R"("Seq":-1)", "Seq: must be a non-negative integer");
    refused(R"("born":1790000000123)", R"("born":1790000000123000)", "born: is out of range");
    refused(R"("ColdRemainingMs":0)", R"("ColdRemainingMs":1e18)", "ColdRemainingMs: is too long");
  }

  void refuses_names_that_could_forge_a_line() {
    for (const std::string field : {"Service", "Zone"}) {
      const std::string text = field == "Zone" ? R"("Zone":"hafn-a")" : R"("Service":"huvo11a")";
      const auto refused = [&](const std::string& name, const std::string& fault) {
        const std::string said = fmt::format(R"("{}":"{}")", field, name);
        assert_refused(
            {replaced(text, said), RegistrationFault::kBadField, fmt::format("{}: {}", field, fault)});
      };
      refused("", "must not be empty");
      refused("a b", "must not contain spaces or control characters");
      refused(R"(a\r\nBYE)", "must not contain spaces or control characters");
      refused(R"(a\u0000)", "must not contain spaces or control characters");
      refused(std::string(300, 'a'), "is too long");
    }
  }

  void refuses_unusable_addresses() {
    for (const std::string address :
         {"10.128.0.9", "10.128.0.9:", "10.128.0.9:65536", "10.128.0.9:80 ", ":8080", "host:8080", "10.1:80"})
      assert_refused({replaced("10.128.0.9:8080", address), RegistrationFault::kBadField,
                      "Addr: must be an IP address and port"});
    for (const std::string address : {"10.128.0.9:0", "0.0.0.0:8080", "[::]:8080"})
      assert_refused({replaced("10.128.0.9:8080", address), RegistrationFault::kBadField,
                      "Addr: must not be a wildcard address or have port 0"});
  }

  void refuses_bodies_that_are_no_json_object() {
    const std::string deep(5000, '[');
    for (const std::string& body :
         {std::string(), std::string("[]"), std::string("null"), std::string("\xff\xfe\x00", 3), deep,
          "{\"a\":" + deep, kHeartbeat + "}", replaced("huvo11a", "huv\xC3\x28"),
          replaced(R"("Seq":4)", R"("Seq":NaN)")})
      assert_refused({body, RegistrationFault::kUnreadable, ""});
  }

  void refuses_oversized_body() {
    const std::string body = replaced("\"v1\"", "\"" + std::string(20'000, 'v') + "\"");
    assert_refused({body, RegistrationFault::kTooLarge, "the body is too large"});
  }

  void refuses_invalid_ids() {
    for (const std::string& id :
         {std::string(), std::string("a b"), std::string("a\r\n"), std::string("a\0", 2), std::string("a/b"),
          std::string("i%2D7f"), std::string("i?x=1"), std::string("i\xC3\xA9"), std::string(300, 'i')}) {
      assert_refused(id, {kHeartbeat, RegistrationFault::kBadName, "id: is not a valid backend id"});
    }
    CPPUNIT_ASSERT(is_backend_id("i-7f3a91c2"));
    CPPUNIT_ASSERT(is_backend_id("g1-b2.kelburn_3:4~5"));
  }

  void ignores_unknown_fields() {
    Reason reason;
    RegistrationFault fault{};
    const auto heartbeat = read_heartbeat("i", replaced("{", R"({"Weather":{"wind":[3]},)"), fault, reason);
    CPPUNIT_ASSERT_MESSAGE(reason.detail, heartbeat);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1790000000123}, heartbeat->entry.start_time_ms);
  }

  void refuses_every_truncated_heartbeat() {
    for (std::size_t size = 0; size < kHeartbeat.size(); ++size)
      assert_refused({kHeartbeat.substr(0, size), RegistrationFault::kUnreadable, ""});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeartbeatJsonTest);

}  // namespace cairnhollow::platform

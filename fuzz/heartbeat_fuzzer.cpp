// A backend's heartbeat: the id on the first line, the body behind it. What is accepted is a backend that
// could be used and reads the same again; what is refused says why, in few words.
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "fuzz/expect.h"
#include "platform/heartbeat_json.h"

namespace cairnhollow::fuzz {

namespace {

using platform::Heartbeat;
using registered::registry::BackendEntry;
using registered::registry::RegistrationFault;

constexpr std::size_t kMostDetail = 200;

bool is_word(const std::string& text) {
  return !text.empty() && text.find_first_of(std::string(" \r\n\t\0", 5)) == std::string::npos;
}

std::string print(const Heartbeat& heartbeat) {
  const BackendEntry& entry = heartbeat.entry;
  return boost::json::serialize(
      boost::json::value{{"Service", entry.group.value},
                         {"Addr", entry.endpoint.to_string()},
                         {"Zone", entry.zone.value},
                         {"Version", ""},
                         {"Slots", entry.slots},
                         {"State", entry.leaving ? "draining" : "ready"},
                         {"ColdRemainingMs", entry.cold_ms},
                         {"DbRole", heartbeat.reports_primary ? "primary" : "replica"},
                         {"Seq", entry.sequence},
                         {"born", entry.start_time_ms}});
}

void check_refused(RegistrationFault fault, const Reason& reason) {
  expect(reason.code == ReasonCode::kInvalidArgument, "a refusal has its code");
  expect(!reason.detail.empty() && reason.detail.size() < kMostDetail, "a refusal's words are few");
  expect(!registered::registry::registration_fault_name(fault).empty(), "a refusal is counted under a name");
}

void check_complete(const BackendEntry& entry) {
  expect(platform::is_backend_id(entry.name.value), "a backend has an id");
  expect(is_word(entry.group.value) && is_word(entry.zone.value), "names are words of a line");
  expect(parse_endpoint(entry.endpoint.to_string()) == entry.endpoint, "an address is one");
  expect(entry.endpoint.port != 0 && entry.slots > 0, "a backend can be called and used");
}

void check_read_again(const Heartbeat& heartbeat) {
  Reason reason;
  RegistrationFault fault{};
  const auto again = platform::read_heartbeat(heartbeat.entry.name.value, print(heartbeat), fault, reason);
  expect(again.has_value(), "what was accepted is accepted again");
  expect(again->entry.name == heartbeat.entry.name && again->entry.has_same_state(heartbeat.entry) &&
             again->entry.sequence == heartbeat.entry.sequence &&
             again->entry.start_time_ms == heartbeat.entry.start_time_ms &&
             again->entry.cold_ms == heartbeat.entry.cold_ms &&
             again->reports_primary == heartbeat.reports_primary,
         "what was accepted reads the same again");
}

void check(const std::string& id, const std::string& body) {
  Reason reason;
  RegistrationFault fault{};
  const auto heartbeat = platform::read_heartbeat(id, body, fault, reason);
  expect(registered::registry::printable_name(id).size() <= registered::registry::kMaxLoggedNameBytes,
         "names are cut short");
  if (!heartbeat) return check_refused(fault, reason);
  check_complete(heartbeat->entry);
  check_read_again(*heartbeat);
}

}  // namespace

}  // namespace cairnhollow::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string input(reinterpret_cast<const char*>(data), size);
  const std::size_t line_end = input.find('\n');
  if (line_end == std::string::npos) return 0;
  cairnhollow::fuzz::check(input.substr(0, line_end), input.substr(line_end + 1));
  return 0;
}

// The operator's document. What is accepted is kept as it came, and written anew by another writer it means
// the same; what is refused says why.
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "fuzz/expect.h"
#include "platform/document_json.h"
#include "registered/registry/validation.h"

namespace cairnhollow::fuzz {

namespace {

using registered::registry::ConfigurationDocument;

bool means_the_same(const ConfigurationDocument& one, const ConfigurationDocument& other) {
  return one.version == other.version && one.routes == other.routes && one.groups == other.groups &&
         one.tenants == other.tenants && one.requires_keys == other.requires_keys &&
         one.transaction_idle_ms == other.transaction_idle_ms;
}

void check_valid(const ConfigurationDocument& document) {
  for (const registered::registry::GroupRule& group : document.groups) {
    expect(!group.name.empty(), "a group has a name");
    expect(group.cold_rate_per_s >= 0, "a rate is not negative");
  }
  for (const registered::registry::RouteRule& route : document.routes)
    expect(route.timeout_ms > 0, "a route has a time");
}

/// As another writer would send it. Empty for what can't be written: numbers beyond the largest double.
std::optional<std::string> write_anew(const std::string& body) {
  std::string text = boost::json::serialize(boost::json::parse(body));
  boost::system::error_code error;
  boost::json::parse(text, error);
  if (error) return std::nullopt;
  return text;
}

void check(const std::string& body) {
  Reason reason;
  const auto document = platform::read_document(body, reason);
  if (!document) {
    expect(reason.code == ReasonCode::kInvalidArgument && !reason.detail.empty(), "a refusal says why");
    return;
  }
  expect(document->text == body, "the text is kept");
  if (registered::registry::find_faults(*document).empty()) check_valid(*document);
  const auto anew = write_anew(body);
  if (!anew) return;
  const auto again = platform::read_document(*anew, reason);
  expect(again && means_the_same(*document, *again), "written anew it means the same");
}

}  // namespace

}  // namespace cairnhollow::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  cairnhollow::fuzz::check(std::string(reinterpret_cast<const char*>(data), size));
  return 0;
}

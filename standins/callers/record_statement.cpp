#include "standins/callers/record_statement.h"

#include <boost/json.hpp>

namespace cairnhollow::standins::callers {

namespace json = boost::json;

namespace {

/// Records of different partition keys are different records, also where one group holds both.
std::string stored_name(const RecordKey& key) { return key.partition_key + "/" + key.record; }

Reason corrupt_body(const std::string& detail) { return {ReasonCode::kCorrupt, "parse_entries", "", detail}; }

}  // namespace

std::string RecordKey::to_string() const { return database + "/" + partition_key + "/" + record; }

std::optional<RecordKey> parse_record_key(const std::string& text) {
  const auto first = text.find('/');
  if (first == std::string::npos) return std::nullopt;
  const auto second = text.find('/', first + 1);
  if (second == std::string::npos) return std::nullopt;
  return RecordKey{text.substr(0, first), text.substr(first + 1, second - first - 1),
                   text.substr(second + 1)};
}

std::string make_get_text(const RecordKey& key) {
  return json::serialize(json::object{{"op", "get"}, {"record", stored_name(key)}});
}

std::string make_append_text(const RecordKey& key, const std::string& value) {
  return json::serialize(json::object{{"op", "append"}, {"record", stored_name(key)}, {"value", value}});
}

std::optional<std::vector<std::string>> parse_entries(const std::string& body, Reason& reason) {
  boost::system::error_code error;
  const json::value document = json::parse(body, error);
  const json::object* object = error ? nullptr : document.if_object();
  const json::value* entries = object == nullptr ? nullptr : object->if_contains("entries");
  if (entries == nullptr || !entries->is_array()) {
    reason = corrupt_body("the body is not {\"entries\":[...]}");
    return std::nullopt;
  }
  std::vector<std::string> result;
  for (const json::value& entry : entries->get_array()) {
    if (!entry.is_string()) {
      reason = corrupt_body("an entry is not a string");
      return std::nullopt;
    }
    result.emplace_back(entry.get_string());
  }
  return result;
}

}  // namespace cairnhollow::standins::callers

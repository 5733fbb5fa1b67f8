#include "standins/callers/history_file.h"

#include <fmt/format.h>

#include <array>
#include <boost/json.hpp>
#include <sstream>
#include <string_view>
#include <utility>

namespace cairnhollow::standins::callers {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 3> kKinds = {"read", "append", "transaction"};
constexpr std::array<std::string_view, 4> kOutcomes = {"acknowledged", "not_run", "unknown", "no_answer"};

/// The place of `name`; throws when it is none of them.
template <class Enum, std::size_t Count>
Enum enum_from(const std::array<std::string_view, Count>& names, const json::value& name) {
  for (std::size_t place = 0; place < Count; ++place) {
    if (names[place] == std::string_view(name.as_string())) return static_cast<Enum>(place);
  }
  throw std::invalid_argument("unknown name");
}

json::object to_json(const OperationRecord& operation) {
  return {{"session", operation.session.value},
          {"number", operation.number},
          {"kind", kKinds[static_cast<std::size_t>(operation.kind)]},
          {"repeatable", operation.repeatable},
          {"priority", operation.priority},
          {"records", json::value_from(operation.records)},
          {"value", operation.value},
          {"observed", json::value_from(operation.observed)},
          {"answered_for", operation.answered_for},
          {"outcome", kOutcomes[static_cast<std::size_t>(operation.outcome)]},
          {"refusal", operation.refusal},
          {"served_by", operation.served_by},
          {"served_by_replica", operation.served_by_replica},
          {"proxy", operation.proxy},
          {"invoked", operation.invoked},
          {"answered", operation.answered}};
}

std::string text_of(const json::object& object, std::string_view name) {
  return std::string(object.at(name).as_string());
}

OperationRecord operation_from(const json::object& object) {
  OperationRecord operation;
  operation.session = SessionName(text_of(object, "session"));
  operation.number = object.at("number").to_number<std::uint64_t>();
  operation.kind = enum_from<OperationKind>(kKinds, object.at("kind"));
  operation.repeatable = object.at("repeatable").as_bool();
  operation.priority = object.at("priority").as_bool();
  operation.records = json::value_to<std::vector<std::string>>(object.at("records"));
  operation.value = text_of(object, "value");
  operation.observed = json::value_to<std::vector<std::string>>(object.at("observed"));
  operation.answered_for = text_of(object, "answered_for");
  operation.outcome = enum_from<OperationOutcome>(kOutcomes, object.at("outcome"));
  operation.refusal = text_of(object, "refusal");
  operation.served_by = text_of(object, "served_by");
  operation.served_by_replica = object.at("served_by_replica").as_bool();
  operation.proxy = text_of(object, "proxy");
  operation.invoked = object.at("invoked").to_number<std::int64_t>();
  operation.answered = object.at("answered").to_number<std::int64_t>();
  if (operation.records.empty()) throw std::invalid_argument("no record");
  return operation;
}

/// Throws on anything that is not a line of a history.
void read_line(const std::string& line, History& history) {
  const json::value document = json::parse(line);
  const json::object& object = document.as_object();
  if (object.contains("final_record")) {
    history.final_records.push_back(
        {text_of(object, "final_record"), json::value_to<std::vector<std::string>>(object.at("entries"))});
    return;
  }
  history.operations.push_back(operation_from(object));
}

}  // namespace

std::string write_history(const History& history) {
  std::string text;
  for (const OperationRecord& operation : history.operations) {
    text += json::serialize(to_json(operation)) + "\n";
  }
  for (const FinalRecord& final_record : history.final_records) {
    const json::object line{{"final_record", final_record.record},
                            {"entries", json::value_from(final_record.entries)}};
    text += json::serialize(line) + "\n";
  }
  return text;
}

std::optional<History> read_history(const std::string& text, Reason& reason) {
  History history;
  std::istringstream lines(text);
  std::string line;
  for (std::size_t number = 1; std::getline(lines, line); ++number) {
    try {
      read_line(line, history);
    } catch (const std::exception& error) {
      reason = {ReasonCode::kCorrupt, "read_history", "", fmt::format("line {}: {}", number, error.what())};
      return std::nullopt;
    }
  }
  return history;
}

}  // namespace cairnhollow::standins::callers

#include "standins/database/statement_text.h"

#include <algorithm>
#include <boost/json.hpp>
#include <exception>
#include <stdexcept>

#include "declared/backend/json_values.h"

namespace cairnhollow::standins::database {

namespace json = boost::json;

namespace {

Operation read_operation(const DatabaseName& database, const json::value& value) {
  if (!value.is_object()) throw std::invalid_argument("an operation must be an object");
  const auto& object = value.get_object();
  const auto name = declared::backend::read_text(object, "op");
  Operation operation;
  if (name == "get") {
    operation.kind = OperationKind::kGet;
  } else if (name == "append") {
    operation.kind = OperationKind::kAppend;
  } else if (name == "put") {
    operation.kind = OperationKind::kPut;
  } else {
    throw std::invalid_argument("op: '" + name + "' is none of get, append, put");
  }
  operation.record = database.value + "/" + declared::backend::read_text(object, "record");
  if (operation.kind != OperationKind::kGet) operation.value = declared::backend::read_text(object, "value");
  return operation;
}

json::object write_result(const OperationResult& result) {
  if (result.kind != OperationKind::kGet) {
    return result.length ? json::object{{"length", *result.length}} : json::object{};
  }
  json::array entries;
  for (const auto& entry : result.entries) entries.emplace_back(entry);
  return {{"entries", std::move(entries)}};
}

}  // namespace

bool ParsedStatement::writes() const {
  return std::any_of(operations.begin(), operations.end(),
                     [](const Operation& operation) { return operation.kind != OperationKind::kGet; });
}

std::optional<ParsedStatement> parse_statement(const DatabaseName& database, const std::string& text,
                                               Reason& reason) {
  try {
    boost::system::error_code fault;
    const auto value = json::parse(text, fault);
    if (fault) throw std::invalid_argument(fault.message());
    ParsedStatement statement;
    if (value.is_array()) {
      for (const auto& element : value.as_array()) {
        statement.operations.push_back(read_operation(database, element));
      }
    } else {
      statement.single_operation = true;
      statement.operations.push_back(read_operation(database, value));
    }
    return statement;
  } catch (const std::exception& error) {
    reason =
        Reason{ReasonCode::kInvalidArgument, "parse_statement", "", std::string("text: ") + error.what()};
    return std::nullopt;
  }
}

std::string format_results(const std::vector<OperationResult>& results, bool single_operation) {
  if (single_operation && results.size() == 1) return json::serialize(write_result(results.front()));
  json::array list;
  for (const auto& result : results) list.emplace_back(write_result(result));
  return json::serialize(json::object{{"results", std::move(list)}});
}

}  // namespace cairnhollow::standins::database

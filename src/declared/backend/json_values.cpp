#include "declared/backend/json_values.h"

#include <algorithm>
#include <stdexcept>

namespace cairnhollow::declared::backend {

namespace json = boost::json;

namespace {

ReasonCode find_reason_code(const std::string& name) {
  for (auto value = static_cast<int>(ReasonCode::kNone); value <= static_cast<int>(ReasonCode::kInternal);
       ++value) {
    const auto code = static_cast<ReasonCode>(value);
    if (reason_code_name(code) == name) return code;
  }
  return ReasonCode::kInternal;
}

[[noreturn]] void throw_invalid(const std::string& field, const char* why) {
  throw std::invalid_argument(field + ": " + why);
}

const json::value& require(const json::object& object, const char* field) {
  const auto* value = object.if_contains(field);
  if (value == nullptr) throw_invalid(field, "is required");
  return *value;
}

template <class Number>
Number to_number(const json::value& value, const char* field) {
  boost::system::error_code error;
  const auto number = value.to_number<Number>(error);
  if (error) throw_invalid(field, "must be a whole number in range");
  return number;
}

const json::object& to_object(const json::value& value, const char* field) {
  if (!value.is_object()) throw_invalid(field, "must be an object");
  return value.get_object();
}

}  // namespace

json::value write_json(const Position& position) {
  return json::object{{"term", position.term}, {"index", position.index}};
}

json::value write_json(const RequestId& request) {
  return json::object{{"session", request.session.value}, {"number", request.number}};
}

json::value write_json(const Reason& reason) {
  return json::object{{"code", reason_code_name(reason.code)},
                      {"step", reason.step},
                      {"peer", reason.peer},
                      {"detail", reason.detail}};
}

json::value write_json(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

const json::object& read_object(const json::object& object, const char* field) {
  return to_object(require(object, field), field);
}

std::uint64_t read_number(const json::object& object, const char* field) {
  return to_number<std::uint64_t>(require(object, field), field);
}

std::string read_text(const json::object& object, const char* field) {
  const auto& value = require(object, field);
  if (!value.is_string()) throw_invalid(field, "must be a string");
  return std::string(value.get_string());
}

bool read_flag(const json::object& object, const char* field) {
  const auto& value = require(object, field);
  if (!value.is_bool()) throw_invalid(field, "must be true or false");
  return value.get_bool();
}

Position read_position(const json::object& object, const char* field) {
  const auto& position = read_object(object, field);
  return Position{read_number(position, "term"), read_number(position, "index")};
}

Duration read_duration(const json::object& object, const char* field) {
  // At most one day, so that arithmetic on time points cannot overflow.
  constexpr std::int64_t kLongest = std::chrono::microseconds(std::chrono::hours(24)).count();
  return std::chrono::microseconds(
      std::clamp<std::int64_t>(to_number<std::int64_t>(require(object, field), field), 0, kLongest));
}

std::optional<RequestId> read_request(const json::object& object, const char* field) {
  const auto* value = object.if_contains(field);
  if (value == nullptr) return std::nullopt;
  const auto& request = to_object(*value, field);
  return RequestId{SessionName(read_text(request, "session")), read_number(request, "number")};
}

Reason read_reason(const json::object& object, const char* field) {
  const auto* value = object.if_contains(field);
  if (value == nullptr) return {};
  const auto& reason = to_object(*value, field);
  return Reason{find_reason_code(read_text(reason, "code")), read_text(reason, "step"),
                read_text(reason, "peer"), read_text(reason, "detail")};
}

json::object parse_object(const std::string& text) {
  boost::system::error_code error;
  auto value = json::parse(text, error);
  if (error) throw std::invalid_argument("body: " + error.message());
  if (!value.is_object()) throw std::invalid_argument("body: must be a JSON object");
  return std::move(value.as_object());
}

}  // namespace cairnhollow::declared::backend

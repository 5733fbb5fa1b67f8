#include "declared/proxy/calls/caller_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <charconv>

#include "declared/proxy/calls/field_reader.h"
#include "declared/proxy/forwarding/forward_messages.h"
#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

namespace {

constexpr std::string_view kDatabaseLabel = "database";
constexpr std::string_view kIdempotencyKey = "idempotency-key";

Reason invalid(std::string detail) {
  return Reason{ReasonCode::kInvalidArgument, "parse_request", "", std::move(detail)};
}

/// Parses the body as a JSON object; an empty body counts as an empty object.
std::optional<boost::json::object> parse_object(const std::string& body, Reason& reason) {
  if (body.size() > kMaximumBodyLength) {
    reason = invalid(fmt::format("body: longer than {} bytes", kMaximumBodyLength));
    return std::nullopt;
  }
  if (body.empty()) return boost::json::object{};
  boost::json::error_code error;
  auto value = boost::json::parse(body, error);
  if (error || !value.is_object()) {
    reason = invalid(error ? "body: " + error.message() : "body: must be a JSON object");
    return std::nullopt;
  }
  return std::move(value.as_object());
}

bool check_fields(FieldReader& fields, Reason& reason) {
  fields.reject_unknown();
  if (fields.errors().empty()) return true;
  reason = invalid(fmt::format("{}", fmt::join(fields.errors(), "; ")));
  return false;
}

bool is_session_character(char character) {
  return (character >= 'A' && character <= 'Z') || (character >= 'a' && character <= 'z') ||
         (character >= '0' && character <= '9') || character == '.' || character == '_' || character == '-';
}

bool is_session_name(const std::string& text) {
  return !text.empty() && text.size() <= kMaximumSessionLength &&
         std::all_of(text.begin(), text.end(), is_session_character);
}

/// Reads the time for which a forwarding proxy waits. It can only shorten the deadline.
std::optional<Duration> read_time_left(FieldReader& fields, const ParseContext& context) {
  if (!context.time_left) return std::nullopt;
  const char* first = context.time_left->data();
  const char* last = first + context.time_left->size();
  std::uint64_t milliseconds = 0;
  const auto [end, error] = std::from_chars(first, last, milliseconds);
  if (error != std::errc{} || end != last || milliseconds < 1 ||
      milliseconds > kMaximumDeadlineMilliseconds) {
    fields.add_error(
        fmt::format("{}: must be a number from 1 to {}", kTimeLeftHeader, kMaximumDeadlineMilliseconds));
    return std::nullopt;
  }
  return Duration(std::chrono::milliseconds(milliseconds));
}

/// Returns the time by which the answer must be sent to reach the caller by its own deadline.
TimePoint read_deadline(FieldReader& fields, const ParseContext& context) {
  const auto milliseconds = fields.optional_number("deadline_ms", 1, kMaximumDeadlineMilliseconds);
  Duration time_left =
      milliseconds ? Duration(std::chrono::milliseconds(*milliseconds)) : context.default_deadline;
  const auto forwarder_wait = read_time_left(fields, context);
  if (forwarder_wait) time_left = std::min(time_left, *forwarder_wait);
  return context.now + time_left - std::min(kAnswerMargin, time_left / 4);
}

Priority read_priority(FieldReader& fields) {
  const auto text = fields.optional_string("priority", kMaximumLabelLength);
  if (!text || *text == "normal") return Priority::kNormal;
  if (*text == "high") return Priority::kHigh;
  if (*text == "low") return Priority::kLow;
  fields.add_error(R"(priority: must be "high", "normal" or "low")");
  return Priority::kNormal;
}

backend::StatementKind read_kind(FieldReader& fields) {
  const auto text = fields.required_string("kind", kMaximumLabelLength);
  if (text == "write") return backend::StatementKind::kWrite;
  if (text != "read" && !text.empty()) fields.add_error(R"(kind: must be "read" or "write")");
  return backend::StatementKind::kRead;
}

/// A token that cannot be decoded is treated as absent, and the primary serves the read.
std::optional<routing::SessionToken> read_token(FieldReader& fields) {
  const auto text = fields.optional_string("session_token", kMaximumBodyLength);
  if (!text || text->empty()) return std::nullopt;
  Reason decode_error;
  return routing::decode_session_token(*text, decode_error);
}

/// Reads the request id from the body or the Idempotency-Key header. If both are present they must agree.
std::optional<RequestId> read_request_id(FieldReader& fields, const runtime::HttpRequest& request,
                                         bool required) {
  const auto session = fields.optional_string("session", kMaximumSessionLength);
  const auto number = fields.optional_number("number", 1, kMaximumRequestNumber);
  const auto header = request.headers.find(std::string(kIdempotencyKey));
  std::optional<RequestId> from_header;
  if (header) {
    from_header = parse_request_id(*header);
    if (!from_header) fields.add_error("Idempotency-Key: must be session:number");
  }
  if (session && !is_session_name(*session)) {
    fields.add_error("session: must be 1 to 128 characters of A-Z a-z 0-9 . _ -");
  }
  if (session.has_value() != number.has_value()) {
    fields.add_error("session, number: both or neither");
    return std::nullopt;
  }
  if (!session) {
    if (required && !header) fields.add_error("session, number: required");
    return from_header;
  }
  const RequestId request_id{SessionName(*session), *number};
  if (from_header && *from_header != request_id)
    fields.add_error("Idempotency-Key: does not match session:number in the body");
  return request_id;
}

void read_target(FieldReader& fields, StatementCall& call) {
  call.statement.database = DatabaseName(fields.required_string("database", kMaximumDatabaseLength));
  call.statement.partition_key = fields.required_string("partition_key", kMaximumPartitionKeyLength);
  call.labels = fields.labels("labels", kMaximumLabels, kMaximumLabelLength);
  call.labels.entries.insert_or_assign(std::string(kDatabaseLabel), call.statement.database.value);
}

std::uint64_t read_answered_up_to(FieldReader& fields) {
  return fields.optional_number("answered_up_to", 0, kMaximumRequestNumber).value_or(0);
}

}  // namespace

std::optional<StatementBody> parse_statement(const runtime::HttpRequest& request, const ParseContext& context,
                                             Reason& reason) {
  const auto object = parse_object(request.body, reason);
  if (!object) return std::nullopt;
  FieldReader fields(*object);
  StatementBody body;
  auto& call = body.call;
  read_target(fields, call);
  call.statement.kind = read_kind(fields);
  call.statement.text = fields.required_string("text", kMaximumTextLength);
  fields.flag("repeatable", false);  // a hint for the caller's own retries; validated but not used here
  call.resent = fields.flag("resent", false);
  call.priority = read_priority(fields);
  call.deadline = read_deadline(fields, context);
  const auto transaction = fields.optional_string("transaction", kMaximumTransactionIdLength);
  if (transaction) body.transaction = TransactionId(*transaction);
  const bool is_write = call.statement.kind == backend::StatementKind::kWrite;
  call.request_id = read_request_id(fields, request, is_write && !transaction);
  call.answered_up_to = read_answered_up_to(fields);
  if (call.request_id && call.answered_up_to >= call.request_id->number) {
    fields.add_error("answered_up_to: must be below number");
  }
  call.token = read_token(fields);
  if (!check_fields(fields, reason)) return std::nullopt;
  return body;
}

std::optional<BeginBody> parse_begin(const runtime::HttpRequest& request, const ParseContext& context,
                                     Reason& reason) {
  const auto object = parse_object(request.body, reason);
  if (!object) return std::nullopt;
  FieldReader fields(*object);
  BeginBody body;
  read_target(fields, body.call);
  body.call.statement.kind = backend::StatementKind::kWrite;
  body.call.priority = read_priority(fields);
  body.call.deadline = read_deadline(fields, context);
  body.call.token = read_token(fields);
  if (!check_fields(fields, reason)) return std::nullopt;
  return body;
}

std::optional<TransactionStatementBody> parse_transaction_statement(const runtime::HttpRequest& request,
                                                                    const ParseContext& context,
                                                                    Reason& reason) {
  const auto object = parse_object(request.body, reason);
  if (!object) return std::nullopt;
  FieldReader fields(*object);
  TransactionStatementBody body;
  body.kind = read_kind(fields);
  body.text = fields.required_string("text", kMaximumTextLength);
  body.deadline = read_deadline(fields, context);
  if (!check_fields(fields, reason)) return std::nullopt;
  return body;
}

std::optional<CommitBody> parse_commit(const runtime::HttpRequest& request, const ParseContext& context,
                                       Reason& reason) {
  const auto object = parse_object(request.body, reason);
  if (!object) return std::nullopt;
  FieldReader fields(*object);
  CommitBody body;
  body.request_id = read_request_id(fields, request, true).value_or(RequestId{});
  body.answered_up_to = read_answered_up_to(fields);
  if (body.answered_up_to >= body.request_id.number) fields.add_error("answered_up_to: must be below number");
  body.deadline = read_deadline(fields, context);
  body.token = read_token(fields);
  body.labels = fields.labels("labels", kMaximumLabels, kMaximumLabelLength);
  const auto database = fields.optional_string("database", kMaximumDatabaseLength);
  const auto partition_key = fields.optional_string("partition_key", kMaximumPartitionKeyLength);
  if (database.has_value() != partition_key.has_value()) {
    fields.add_error("database, partition_key: both or neither");
  }
  body.database = DatabaseName(database.value_or(""));
  body.partition_key = partition_key.value_or("");
  body.labels.entries.insert_or_assign(std::string(kDatabaseLabel), body.database.value);
  if (!check_fields(fields, reason)) return std::nullopt;
  return body;
}

std::optional<TimePoint> parse_rollback(const runtime::HttpRequest& request, const ParseContext& context,
                                        Reason& reason) {
  const auto object = parse_object(request.body, reason);
  if (!object) return std::nullopt;
  FieldReader fields(*object);
  const TimePoint deadline = read_deadline(fields, context);
  if (!check_fields(fields, reason)) return std::nullopt;
  return deadline;
}

std::optional<ResolveBody> parse_resolve(const runtime::HttpRequest& request, const ParseContext& context,
                                         Reason& reason) {
  const auto object = parse_object(request.body, reason);
  if (!object) return std::nullopt;
  FieldReader fields(*object);
  ResolveBody body;
  read_target(fields, body.call);
  body.call.statement.kind = backend::StatementKind::kWrite;
  body.call.request_id = read_request_id(fields, request, true);
  body.call.deadline = read_deadline(fields, context);
  body.call.token = read_token(fields);
  if (!check_fields(fields, reason)) return std::nullopt;
  return body;
}

StatementCall commit_call(const CommitBody& body) {
  StatementCall call;
  call.statement.kind = backend::StatementKind::kWrite;
  call.statement.database = body.database;
  call.statement.partition_key = body.partition_key;
  call.labels = body.labels;
  call.deadline = body.deadline;
  call.request_id = body.request_id;
  call.token = body.token;
  return call;
}

std::optional<RequestId> parse_request_id(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  RequestId request_id{SessionName(text.substr(0, colon)), 0};
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, request_id.number);
  const bool is_complete = error == std::errc{} && end == last;
  if (!is_complete || request_id.number == 0 || request_id.number > kMaximumRequestNumber)
    return std::nullopt;
  if (!is_session_name(request_id.session.value)) return std::nullopt;
  return request_id;
}

std::string request_id_text(const RequestId& request_id) {
  return fmt::format("{}:{}", request_id.session.value, request_id.number);
}

}  // namespace cairnhollow::declared::proxy

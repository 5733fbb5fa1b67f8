#include <exception>

#include "declared/backend/contract_codec.h"
#include "declared/backend/json_values.h"

namespace cairnhollow::declared::backend {

namespace json = boost::json;

namespace {

json::object write_requirements(const Requirements& requirements, TimePoint now) {
  json::object object{{"term", requirements.term},
                      {"minimum_position", write_json(requirements.minimum_position)},
                      {"confirmed_read", requirements.confirmed_read},
                      {"wait_for_position_us", write_json(requirements.wait_for_position)},
                      {"time_left_us", write_json(requirements.deadline - now)},
                      {"answered_up_to", requirements.answered_up_to}};
  if (requirements.request_id) object["request_id"] = write_json(*requirements.request_id);
  return object;
}

Requirements read_requirements(const json::object& call, TimePoint now) {
  const auto& object = read_object(call, "requirements");
  Requirements requirements;
  requirements.term = read_number(object, "term");
  requirements.minimum_position = read_position(object, "minimum_position");
  requirements.confirmed_read = read_flag(object, "confirmed_read");
  requirements.wait_for_position = read_duration(object, "wait_for_position_us");
  requirements.deadline = now + read_duration(object, "time_left_us");
  requirements.request_id = read_request(object, "request_id");
  requirements.answered_up_to = read_number(object, "answered_up_to");
  return requirements;
}

json::object write_statement(const Statement& statement) {
  return json::object{{"kind", statement.kind == StatementKind::kWrite ? "write" : "read"},
                      {"database", statement.database.value},
                      {"partition_key", statement.partition_key},
                      {"text", statement.text}};
}

Statement read_statement(const json::object& call) {
  const auto& object = read_object(call, "statement");
  Statement statement;
  const auto kind = read_text(object, "kind");
  if (kind != "read" && kind != "write") throw std::invalid_argument("kind: must be \"read\" or \"write\"");
  statement.kind = kind == "write" ? StatementKind::kWrite : StatementKind::kRead;
  statement.database = DatabaseName(read_text(object, "database"));
  statement.partition_key = read_text(object, "partition_key");
  statement.text = read_text(object, "text");
  return statement;
}

void read_call(const json::object& object, TimePoint now, StatementCall& call) {
  call.transaction = TransactionId(read_text(object, "transaction"));
  call.statement = read_statement(object);
  call.requirements = read_requirements(object, now);
}

void read_call(const json::object& object, TimePoint now, BeginCall& call) {
  call.database = DatabaseName(read_text(object, "database"));
  call.requirements = read_requirements(object, now);
}

void read_call(const json::object& object, TimePoint now, FinishCall& call) {
  call.transaction = TransactionId(read_text(object, "transaction"));
  call.requirements = read_requirements(object, now);
}

void read_call(const json::object& object, TimePoint /*now*/, TermCall& call) {
  call.term = read_number(object, "term");
  call.owner = read_text(object, "owner");
}

void read_call(const json::object& object, TimePoint /*now*/, FollowCall& call) {
  call.term = read_number(object, "term");
  call.primary = BackendName(read_text(object, "primary"));
  const auto endpoint = parse_endpoint(read_text(object, "endpoint"));
  if (!endpoint) throw std::invalid_argument("endpoint: must be an IP address and a port");
  call.endpoint = *endpoint;
}

void read_call(const json::object& object, TimePoint now, ResolveCall& call) {
  const auto request = read_request(object, "request_id");
  if (!request) throw std::invalid_argument("request_id: is required");
  call.request = *request;
  call.term = read_number(object, "term");
  call.deadline = now + read_duration(object, "time_left_us");
}

}  // namespace

std::string encode_call(const StatementCall& call, TimePoint now) {
  return json::serialize(json::object{{"transaction", call.transaction.value},
                                      {"statement", write_statement(call.statement)},
                                      {"requirements", write_requirements(call.requirements, now)}});
}

std::string encode_call(const BeginCall& call, TimePoint now) {
  return json::serialize(json::object{{"database", call.database.value},
                                      {"requirements", write_requirements(call.requirements, now)}});
}

std::string encode_call(const FinishCall& call, TimePoint now) {
  return json::serialize(json::object{{"transaction", call.transaction.value},
                                      {"requirements", write_requirements(call.requirements, now)}});
}

std::string encode_call(const TermCall& call, TimePoint /*now*/) {
  return json::serialize(json::object{{"term", call.term}, {"owner", call.owner}});
}

std::string encode_call(const FollowCall& call, TimePoint /*now*/) {
  return json::serialize(json::object{
      {"term", call.term}, {"primary", call.primary.value}, {"endpoint", call.endpoint.to_string()}});
}

std::string encode_call(const ResolveCall& call, TimePoint now) {
  return json::serialize(json::object{{"request_id", write_json(call.request)},
                                      {"term", call.term},
                                      {"time_left_us", write_json(call.deadline - now)}});
}

template <class Call>
std::optional<Call> decode_call(const std::string& body, TimePoint now, Reason& reason) {
  try {
    Call call;
    read_call(parse_object(body), now, call);
    return call;
  } catch (const std::exception& error) {
    reason = Reason{ReasonCode::kInvalidArgument, "decode_call", "", error.what()};
    return std::nullopt;
  }
}

template std::optional<StatementCall> decode_call(const std::string&, TimePoint, Reason&);
template std::optional<BeginCall> decode_call(const std::string&, TimePoint, Reason&);
template std::optional<FinishCall> decode_call(const std::string&, TimePoint, Reason&);
template std::optional<TermCall> decode_call(const std::string&, TimePoint, Reason&);
template std::optional<FollowCall> decode_call(const std::string&, TimePoint, Reason&);
template std::optional<ResolveCall> decode_call(const std::string&, TimePoint, Reason&);

}  // namespace cairnhollow::declared::backend

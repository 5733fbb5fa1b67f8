#include <exception>
#include <stdexcept>

#include "declared/backend/contract_codec.h"
#include "declared/backend/json_values.h"

namespace cairnhollow::declared::backend {

namespace json = boost::json;

namespace {

json::object write_answer(const Rows& rows) {
  return {{"answer", "rows"},
          {"body", rows.body},
          {"position", write_json(rows.position)},
          {"truncated", rows.truncated}};
}

json::object write_answer(const Written& written) {
  return {{"answer", "written"}, {"body", written.body}, {"position", write_json(written.position)}};
}

json::object write_answer(const NotPrimary& answer) {
  return {{"answer", "not_primary"}, {"term", answer.term}, {"hint", answer.hint.value}};
}

json::object write_answer(const TooStale& answer) {
  return {{"answer", "too_stale"}, {"applied", write_json(answer.applied)}};
}

json::object write_answer(const Busy& answer) {
  return {{"answer", "busy"}, {"retry_after_us", write_json(answer.retry_after)}};
}

json::object write_answer(const AlreadyDecided& answer) {
  return {{"answer", "already_decided"},
          {"committed", answer.committed},
          {"body", answer.body},
          {"position", write_json(answer.position)}};
}

json::object write_answer(const StatementRefused& answer) {
  return {{"answer", "statement_refused"}, {"detail", answer.detail}};
}

json::object write_answer(const Failed& /*answer*/) { return {{"answer", "unknown"}}; }

json::object write_answer(const Done& /*answer*/) { return {{"answer", "done"}}; }

json::object write_answer(const TransactionBegun& answer) {
  return {{"answer", "begun"}, {"transaction", answer.transaction.value}};
}

json::object write_answer(const Refused& answer) {
  return {{"answer", "refused"}, {"retry_after_us", write_json(answer.retry_after)}};
}

json::object write_answer(const FenceAnswer& answer) {
  return {{"answer", "fence"},
          {"granted", answer.granted},
          {"term", answer.term},
          {"last", write_json(answer.last)},
          {"committed", write_json(answer.committed)}};
}

json::object write_answer(const ResolveAnswer& answer) {
  return {{"answer", "resolved"},
          {"committed", answer.committed},
          {"body", answer.body},
          {"position", write_json(answer.position)}};
}

json::object write_answer(const BackendStatus& status) {
  json::array members;
  for (const auto& member : status.members) members.emplace_back(member.value);
  return {{"answer", "status"},
          {"backend", status.backend.value},
          {"group", status.group.value},
          {"term", status.term},
          {"role", status.role == BackendRole::kPrimary ? "primary" : "replica"},
          {"primary", status.primary.value},
          {"last", write_json(status.last)},
          {"committed", write_json(status.committed)},
          {"applied", write_json(status.applied)},
          {"primary_heard", status.primary_heard},
          {"members", std::move(members)},
          {"slots_in_use", status.slots_in_use},
          {"slots", status.slots},
          {"connections_in_use", status.connections_in_use},
          {"connections", status.connections}};
}

template <class Answer>
std::string serialize_answer(const Answer& answer, const Reason& reason,
                             const std::optional<RequestId>& request) {
  auto object = std::visit([](const auto& alternative) { return write_answer(alternative); }, answer);
  if (reason.failed()) object["reason"] = write_json(reason);
  if (request) object["request_id"] = write_json(*request);
  return json::serialize(object);
}

BackendStatus read_status(const json::object& object) {
  BackendStatus status;
  status.backend = BackendName(read_text(object, "backend"));
  status.group = GroupName(read_text(object, "group"));
  status.term = read_number(object, "term");
  status.role = read_text(object, "role") == "primary" ? BackendRole::kPrimary : BackendRole::kReplica;
  status.primary = BackendName(read_text(object, "primary"));
  status.last = read_position(object, "last");
  status.committed = read_position(object, "committed");
  status.applied = read_position(object, "applied");
  status.primary_heard = read_flag(object, "primary_heard");
  for (const auto& member : object.at("members").as_array()) {
    status.members.emplace_back(std::string(member.as_string()));
  }
  status.slots_in_use = static_cast<std::uint32_t>(read_number(object, "slots_in_use"));
  status.slots = static_cast<std::uint32_t>(read_number(object, "slots"));
  status.connections_in_use = static_cast<std::uint32_t>(read_number(object, "connections_in_use"));
  status.connections = static_cast<std::uint32_t>(read_number(object, "connections"));
  return status;
}

Refused read_refused(const json::object& object) { return Refused{read_duration(object, "retry_after_us")}; }

[[noreturn]] void throw_unexpected(const std::string& kind) {
  throw std::invalid_argument("unexpected answer '" + kind + "'");
}

void read_answer(const json::object& object, const std::string& kind, ExecuteAnswer& answer) {
  if (kind == "rows") {
    answer =
        Rows{read_text(object, "body"), read_position(object, "position"), read_flag(object, "truncated")};
  } else if (kind == "written") {
    answer = Written{read_text(object, "body"), read_position(object, "position")};
  } else if (kind == "not_primary") {
    answer = NotPrimary{read_number(object, "term"), BackendName(read_text(object, "hint"))};
  } else if (kind == "too_stale") {
    answer = TooStale{read_position(object, "applied")};
  } else if (kind == "busy") {
    answer = Busy{read_duration(object, "retry_after_us")};
  } else if (kind == "already_decided") {
    answer = AlreadyDecided{read_flag(object, "committed"), read_text(object, "body"),
                            read_position(object, "position")};
  } else if (kind == "statement_refused") {
    answer = StatementRefused{read_text(object, "detail")};
  } else if (kind == "unknown") {
    answer = Failed{runtime::SendState::kMaybeSent};
  } else {
    throw_unexpected(kind);
  }
}

void read_answer(const json::object& object, const std::string& kind, StatusAnswer& answer) {
  if (kind == "status") {
    answer = read_status(object);
  } else if (kind == "refused") {
    answer = read_refused(object);
  } else {
    throw_unexpected(kind);
  }
}

void read_answer(const json::object& object, const std::string& kind, BeginAnswer& answer) {
  if (kind == "begun") {
    answer = TransactionBegun{TransactionId(read_text(object, "transaction"))};
  } else if (kind == "refused") {
    answer = read_refused(object);
  } else {
    throw_unexpected(kind);
  }
}

void read_answer(const json::object& object, const std::string& kind, FenceReply& answer) {
  if (kind == "fence") {
    answer = FenceAnswer{read_flag(object, "granted"), read_number(object, "term"),
                         read_position(object, "last"), read_position(object, "committed")};
  } else if (kind == "refused") {
    answer = read_refused(object);
  } else {
    throw_unexpected(kind);
  }
}

void read_answer(const json::object& object, const std::string& kind, ResolveReply& answer) {
  if (kind == "resolved") {
    answer = ResolveAnswer{read_flag(object, "committed"), read_text(object, "body"),
                           read_position(object, "position")};
  } else if (kind == "refused") {
    answer = read_refused(object);
  } else {
    throw_unexpected(kind);
  }
}

void read_answer(const json::object& object, const std::string& kind, DoneAnswer& answer) {
  if (kind == "done") {
    answer = Done{};
  } else if (kind == "refused") {
    answer = read_refused(object);
  } else {
    throw_unexpected(kind);
  }
}

}  // namespace

std::string encode_answer(const ExecuteAnswer& answer, const Reason& reason,
                          const std::optional<RequestId>& request) {
  return serialize_answer(answer, reason, request);
}
std::string encode_answer(const StatusAnswer& answer, const Reason& reason) {
  return serialize_answer(answer, reason, std::nullopt);
}
std::string encode_answer(const BeginAnswer& answer, const Reason& reason) {
  return serialize_answer(answer, reason, std::nullopt);
}
std::string encode_answer(const FenceReply& answer, const Reason& reason) {
  return serialize_answer(answer, reason, std::nullopt);
}
std::string encode_answer(const ResolveReply& answer, const Reason& reason,
                          const std::optional<RequestId>& request) {
  return serialize_answer(answer, reason, request);
}
std::string encode_answer(const DoneAnswer& answer, const Reason& reason) {
  return serialize_answer(answer, reason, std::nullopt);
}

template <class Answer>
std::optional<Answer> decode_answer(const std::string& body, const std::optional<RequestId>& request,
                                    Reason& reason) {
  try {
    const auto object = parse_object(body);
    if (read_request(object, "request_id") != request) {
      throw std::invalid_argument("request_id: the answer is for another request");
    }
    Answer answer;
    read_answer(object, read_text(object, "answer"), answer);
    reason = read_reason(object, "reason");
    return answer;
  } catch (const std::exception& error) {
    reason = Reason{ReasonCode::kCorrupt, "decode_answer", "", error.what()};
    return std::nullopt;
  }
}

template std::optional<ExecuteAnswer> decode_answer(const std::string&, const std::optional<RequestId>&,
                                                    Reason&);
template std::optional<StatusAnswer> decode_answer(const std::string&, const std::optional<RequestId>&,
                                                   Reason&);
template std::optional<BeginAnswer> decode_answer(const std::string&, const std::optional<RequestId>&,
                                                  Reason&);
template std::optional<FenceReply> decode_answer(const std::string&, const std::optional<RequestId>&,
                                                 Reason&);
template std::optional<ResolveReply> decode_answer(const std::string&, const std::optional<RequestId>&,
                                                   Reason&);
template std::optional<DoneAnswer> decode_answer(const std::string&, const std::optional<RequestId>&,
                                                 Reason&);

}  // namespace cairnhollow::declared::backend

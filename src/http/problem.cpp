#include "http/problem.h"

#include <algorithm>
#include <boost/json.hpp>

namespace cairnhollow::http {

namespace json = boost::json;

namespace {

constexpr std::string_view kTypePrefix = "urn:cairnhollow:problem:";
constexpr std::string_view kNotRunName = "not_run";
constexpr std::string_view kUnknownName = "unknown";

std::optional<ReasonCode> parse_code(std::string_view name) {
  for (auto value = static_cast<unsigned>(ReasonCode::kNone);
       value <= static_cast<unsigned>(ReasonCode::kInternal); ++value) {
    const auto code = static_cast<ReasonCode>(value);
    if (reason_code_name(code) == name) return code;
  }
  return std::nullopt;
}

/// "too_stale" as "too stale".
std::string title_of(ReasonCode code) {
  std::string title(reason_code_name(code));
  std::replace(title.begin(), title.end(), '_', ' ');
  return title;
}

std::int64_t milliseconds_up(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

/// The text of a member, empty when there is none; false when it is something else than text.
bool read_text(const json::object& document, std::string_view member, std::string& text) {
  const json::value* value = document.if_contains(member);
  if (value == nullptr) return true;
  if (!value->is_string()) return false;
  text = json::value_to<std::string>(*value);
  return true;
}

bool read_retry_after(const json::object& document, std::optional<Duration>& retry_after) {
  const json::value* value = document.if_contains("retry_after_ms");
  if (value == nullptr) return true;
  boost::system::error_code error;
  const auto milliseconds = value->to_number<std::int64_t>(error);
  constexpr auto kLongest = std::chrono::duration_cast<std::chrono::milliseconds>(Duration::max()).count();
  if (error || milliseconds < 0 || milliseconds > kLongest) return false;
  retry_after = std::chrono::milliseconds(milliseconds);
  return true;
}

std::optional<RunState> parse_run_state(std::string_view name) {
  if (name == kNotRunName) return RunState::kNotRun;
  if (name == kUnknownName) return RunState::kUnknown;
  return std::nullopt;
}

}  // namespace

runtime::HttpResponse make_problem_response(unsigned status, const Problem& problem) {
  const auto code = reason_code_name(problem.reason.code);
  json::object document{{"type", std::string(kTypePrefix) + std::string(code)},
                        {"title", title_of(problem.reason.code)},
                        {"status", status},
                        {"code", code},
                        {"step", problem.reason.step},
                        {"peer", problem.reason.peer},
                        {"detail", problem.reason.detail},
                        {"outcome", problem.run_state == RunState::kNotRun ? kNotRunName : kUnknownName}};
  runtime::HttpResponse response;
  response.status = status;
  response.headers.fields["content-type"] = "application/problem+json";
  if (problem.retry_after) {
    document["retry_after_ms"] = milliseconds_up(*problem.retry_after);
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*problem.retry_after).count();
    response.headers.fields["retry-after"] = std::to_string(seconds);
  }
  response.body = json::serialize(document);
  return response;
}

unsigned status_for(ReasonCode code) {
  switch (code) {
    case ReasonCode::kInvalidArgument:
      return 400;
    case ReasonCode::kNotFound:
    case ReasonCode::kNoRoute:
      return 404;
    case ReasonCode::kConflict:
    case ReasonCode::kAlreadyExists:
    case ReasonCode::kAborted:
    case ReasonCode::kTransactionLost:
      return 409;
    case ReasonCode::kNone:
    case ReasonCode::kCorrupt:
    case ReasonCode::kStorage:
    case ReasonCode::kInternal:
      return 500;
    case ReasonCode::kUnsupported:
      return 501;
    case ReasonCode::kUnreachable:
    case ReasonCode::kConnectionLost:
    case ReasonCode::kOutcomeUnknown:
      return 502;
    case ReasonCode::kDeadlineExceeded:
      return 504;
    case ReasonCode::kNotLeader:
    case ReasonCode::kNoQuorum:
    case ReasonCode::kNotPrimary:
    case ReasonCode::kNoPrimary:
    case ReasonCode::kTooStale:
    case ReasonCode::kNoBackend:
    case ReasonCode::kLeaseExpired:
    case ReasonCode::kOverloaded:
    case ReasonCode::kRetryBudgetExhausted:
    case ReasonCode::kDraining:
    case ReasonCode::kFenced:
    case ReasonCode::kCancelled:
      return 503;
  }
  return 500;
}

std::optional<Problem> parse_problem(const std::string& body) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  if (error || !value.is_object()) return std::nullopt;
  const json::object& document = value.get_object();
  Problem problem;
  std::string code_name;
  std::string outcome;
  const bool typed =
      read_text(document, "code", code_name) && read_text(document, "outcome", outcome) &&
      read_text(document, "step", problem.reason.step) && read_text(document, "peer", problem.reason.peer) &&
      read_text(document, "detail", problem.reason.detail) && read_retry_after(document, problem.retry_after);
  const auto code = parse_code(code_name);
  const auto run_state = parse_run_state(outcome);
  if (!typed || !code || !run_state) return std::nullopt;
  problem.reason.code = *code;
  problem.run_state = *run_state;
  return problem;
}

}  // namespace cairnhollow::http

// explain: asks proxies how they choose backends.
#include <fmt/format.h>

#include <boost/json.hpp>
#include <boost/url/params_view.hpp>
#include <boost/url/url.hpp>
#include <fstream>

#include "cli/commands.h"
#include "cli/document_output.h"
#include "cli/log_story.h"
#include "cli/table.h"

namespace cairnhollow::cli {

namespace {

namespace json = boost::json;

std::string explain_target(const ExplainQuestion& question) {
  boost::urls::url url("/v1/explain");
  auto parameters = url.params();
  const auto separator = question.request_id.rfind('/');
  if (!question.request_id.empty()) {
    parameters.append({"session", question.request_id.substr(0, separator)});
    parameters.append({"number", question.request_id.substr(separator + 1)});
    return std::string(url.buffer());
  }
  parameters.append({"database", question.database});
  parameters.append({"partition_key", question.key});
  parameters.append({"kind", question.write ? "write" : "read"});
  if (!question.token.empty()) parameters.append({"session_token", question.token});
  for (const auto& [key, value] : question.labels.entries) parameters.append({"label." + key, value});
  return std::string(url.buffer());
}

/// A member's text, or its JSON when it is no string; "" when it is missing.
std::string text_of(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  if (value == nullptr) return "";
  if (const auto* text = value->if_string()) return std::string(*text);
  return json::serialize(*value);
}

const json::array& list_of(const json::object& object, const char* key) {
  static const json::array none;
  const auto* value = object.if_contains(key);
  const auto* list = value == nullptr ? nullptr : value->if_array();
  return list == nullptr ? none : *list;
}

std::string refusal_text(const json::object& decision) {
  const auto* refusal = decision.if_contains("refusal");
  if (refusal == nullptr || !refusal->is_object()) return "";
  const auto& reason = refusal->get_object();
  return fmt::format("refused: {} at {}: {}\n", text_of(reason, "code"), text_of(reason, "step"),
                     text_of(reason, "detail"));
}

/// What else the decision says: a hop to another proxy, a read that is held, a read on the primary.
std::string notes_text(const json::object& decision) {
  std::string text;
  const auto* hop = decision.if_contains("forwarded_to");
  if (hop != nullptr && hop->is_object()) {
    text += fmt::format("goes one hop to proxy {} at {}: {}\n", text_of(hop->get_object(), "proxy"),
                        text_of(hop->get_object(), "endpoint"), text_of(hop->get_object(), "detail"));
  }
  const std::string hold = text_of(decision, "hold_ms");
  if (!hold.empty())
    text += fmt::format("held for at most {} ms until the first choice has the position\n", hold);
  const std::string primary_read = text_of(decision, "primary_read");
  if (!primary_read.empty()) text += fmt::format("the primary serves the read, because: {}\n", primary_read);
  return text;
}

std::string decision_text(const json::object& decision) {
  if (text_of(decision, "group").empty()) return refusal_text(decision);
  Table table({"BACKEND", "CHOICE", "ENDPOINT", "WHY-NOT"});
  std::size_t place = 0;
  for (const auto& entry : list_of(decision, "candidates")) {
    const auto* candidate = entry.if_object();
    if (candidate == nullptr) continue;
    const bool is_primary = text_of(*candidate, "is_primary") == "true";
    table.add({text_of(*candidate, "backend"), fmt::format("{}{}", ++place, is_primary ? " (primary)" : ""),
               text_of(*candidate, "endpoint"), "-"});
  }
  for (const auto& entry : list_of(decision, "passed_over")) {
    const auto* passed = entry.if_object();
    if (passed == nullptr) continue;
    table.add({text_of(*passed, "backend"), "passed over", "-",
               fmt::format("{}: {}", text_of(*passed, "code"), text_of(*passed, "detail"))});
  }
  const auto domain = text_of(decision, "domain");
  const auto where = domain.empty() ? std::string() : fmt::format("domain {}, ", domain);
  return fmt::format("{}group {}, route {}, term {}\n", where, text_of(decision, "group"),
                     text_of(decision, "route"), text_of(decision, "term")) +
         table.to_string() + notes_text(decision) + refusal_text(decision);
}

/// The proxies to ask: the one named, or those selected.
Awaitable<std::optional<std::vector<Endpoint>>> read_proxies(CommandContext& context, Reason& reason) {
  std::vector<Endpoint> endpoints;
  if (context.line.question.proxy) {
    endpoints.push_back(*context.line.question.proxy);
    co_return endpoints;
  }
  declared::config::ObjectQuery query;
  query.kind = declared::config::ObjectKind::kProxy;
  query.selector = context.line.selector.value_or(declared::config::Selector{});
  const TimePoint deadline = context.deadline();
  const auto list = co_await context.client.list(std::move(query), deadline, reason);
  if (!list) co_return std::nullopt;
  for (const auto& stored : list->objects) {
    endpoints.push_back(std::get<declared::config::ProxySpec>(stored.object.spec).endpoint);
  }
  if (endpoints.empty()) {
    reason = Reason{ReasonCode::kNotFound, "select_proxies", "", "no proxy is selected"};
    co_return std::nullopt;
  }
  co_return endpoints;
}

ExitCode tell_from_logs(CommandContext& context) {
  const ExplainQuestion& question = context.line.question;
  LogReader reader;
  for (const std::string& name : question.logs) {
    std::ifstream file(name);
    if (!file) return report_failure(context, {ReasonCode::kNotFound, "read_log", name, "cannot be read"});
    reader.read(file);
  }
  const LogStory story = reader.story_of(question.request_id);
  context.output << print_story(story, question.request_id);
  return story.own > 0 ? ExitCode::kDone : ExitCode::kRefused;
}

}  // namespace

Awaitable<ExitCode> run_explain(CommandContext& context) {
  if (!context.line.question.logs.empty()) co_return tell_from_logs(context);
  Reason reason;
  auto proxies = co_await read_proxies(context, reason);
  if (!proxies) co_return report_failure(context, reason);
  OperatorClientSettings settings;
  settings.servers = std::move(*proxies);
  OperatorClient proxy_client(context.runtime, settings);
  ApiCall question;
  question.target = explain_target(context.line.question);
  json::value refusal;
  const TimePoint deadline = context.deadline();
  const auto answer = co_await proxy_client.call(std::move(question), deadline, refusal, reason);
  if (!answer) co_return report_failure(context, reason);
  if (!write_document(context.output, context.line.output, *answer)) {
    const auto* decision = answer->if_object();
    context.output << (decision == nullptr ? json::serialize(*answer) + "\n" : decision_text(*decision));
  }
  co_return ExitCode::kDone;
}

}  // namespace cairnhollow::cli

// status, events, switchover.
#include <fmt/format.h>

#include "cli/commands.h"
#include "cli/document_output.h"
#include "cli/fleet_view.h"
#include "cli/status_tables.h"
#include "cli/subject_filter.h"

namespace cairnhollow::cli {

namespace {

/// The groups that the command line names or selects; empty after printing why.
Awaitable<std::optional<std::vector<std::string>>> read_group_names(CommandContext& context, ExitCode& code) {
  if (!context.line.names.empty()) co_return context.line.names;
  Reason reason;
  declared::config::ObjectQuery query;
  query.kind = declared::config::ObjectKind::kDatabaseGroup;
  query.selector = *context.line.selector;
  const TimePoint deadline = context.deadline();
  const auto list = co_await context.client.list(std::move(query), deadline, reason);
  if (!list) {
    code = report_failure(context, reason);
    co_return std::nullopt;
  }
  std::vector<std::string> names;
  for (const auto& stored : list->objects) names.push_back(stored.object.name);
  if (names.empty()) context.errors << "no group is selected\n";
  co_return names;
}

}  // namespace

Awaitable<ExitCode> run_status(CommandContext& context) {
  Reason reason;
  const auto filter = co_await read_subject_filter(context, reason);
  if (!filter) co_return report_failure(context, reason);
  auto status = co_await read_fleet_status(context, reason);
  if (!status) co_return report_failure(context, reason);
  apply_filter(*status, *filter);
  if (!filter->selects_all() && status->groups.empty() && status->proxies.empty()) {
    context.errors << "no group, backend or proxy of these names is known now\n";
    co_return ExitCode::kRefused;
  }
  if (!write_document(context.output, context.line.output, declared::control::to_json(*status))) {
    context.output << status_text(*status, context.line.every_line);
  }
  co_return ExitCode::kDone;
}

Awaitable<ExitCode> run_events(CommandContext& context) {
  Reason reason;
  const auto filter = co_await read_subject_filter(context, reason);
  if (!filter) co_return report_failure(context, reason);
  const auto events = co_await read_fleet_events(context, *filter, reason);
  if (!events) co_return report_failure(context, reason);
  if (!write_document(context.output, context.line.output, declared::control::to_json(*events))) {
    context.output << event_table(*events);
  }
  co_return ExitCode::kDone;
}

Awaitable<ExitCode> run_switchover(CommandContext& context) {
  ExitCode code = ExitCode::kDone;
  const auto names = co_await read_group_names(context, code);
  if (!names) co_return code;
  for (const auto& name : *names) {
    declared::control::SwitchoverRequest request;
    request.group = GroupName(name);
    request.target = context.line.target;
    Reason reason;
    const TimePoint deadline = context.deadline();
    const auto outcome = co_await context.client.switchover(std::move(request), deadline, reason);
    if (!outcome) {
      context.errors << "switchover of " << name << " failed\n";
      co_return report_failure(context, reason);
    }
    if (!write_document(context.output, context.line.output, declared::control::to_json(*outcome))) {
      context.output << name << ": " << outcome->primary.value << " is primary in term " << outcome->term
                     << "\n";
    }
  }
  co_return code;
}

}  // namespace cairnhollow::cli

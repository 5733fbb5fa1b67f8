// apply, diff, delete, label, drain.
#include <fmt/format.h>

#include <boost/json.hpp>

#include "cli/change_plan.h"
#include "cli/commands.h"
#include "cli/difference.h"
#include "cli/document_output.h"
#include "cli/manifest_files.h"
#include "cli/read_objects.h"
#include "declared/config/object_names.h"

namespace cairnhollow::cli {

namespace {

constexpr int kChangeIdWords = 2;  ///< of 64 random bits each

std::string make_change_id(runtime::Random& random) {
  std::string id;
  for (int word = 0; word < kChangeIdWords; ++word) id += fmt::format("{:016x}", random.next());
  return id;
}

const char* verb_of(const PlannedChange& planned) {
  if (planned.change.deletion) return "deleted";
  return planned.before ? "configured" : "created";
}

void print_objects(CommandContext& context, const ChangePlan& plan) {
  if (context.line.output != OutputFormat::kTable) return;
  for (const auto& planned : plan.changes) {
    context.output << declared::config::to_string(planned.change.object.key()) << " " << verb_of(planned)
                   << "\n";
  }
  for (const auto& key : plan.unchanged) context.output << declared::config::to_string(key) << " unchanged\n";
}

void print_outcome(CommandContext& context, const declared::config::ChangeOutcome& outcome) {
  if (write_document(context.output, context.line.output, declared::control::to_json(outcome))) return;
  context.output << "revision " << outcome.revision << "\n";
}

/// Who won, and how the winner differs from what was sent.
void print_conflict(CommandContext& context, const ChangePlan& plan,
                    const declared::config::StoredObject& winner) {
  for (const auto& planned : plan.changes) {
    if (planned.change.object.key() != winner.object.key()) continue;
    std::optional<declared::config::Object> sent;
    if (!planned.change.deletion) sent = planned.change.object;
    context.errors << "from what is in force (-) to what was sent (+):\n"
                   << object_difference(winner.object, sent);
  }
  context.errors << "nothing was changed; look at what is in force, then make the change on top of it\n";
}

Awaitable<ExitCode> send(CommandContext& context, ChangePlan plan) {
  if (plan.changes.empty()) {
    if (plan.unchanged.empty()) context.errors << "no object is selected\n";
    print_objects(context, plan);
    co_return ExitCode::kDone;
  }
  declared::config::ChangeRequest request;
  request.change_id = context.line.change_id;
  if (request.change_id.empty()) request.change_id = make_change_id(context.runtime.random());
  request.at_revision = plan.at_revision;
  request.operator_name = context.line.operator_name;
  for (const auto& planned : plan.changes) request.changes.push_back(planned.change);
  Reason reason;
  const TimePoint deadline = context.deadline();
  const auto outcome = co_await context.client.apply(std::move(request), deadline, reason);
  if (!outcome) {
    const ExitCode code = report_failure(context, reason);
    if (code == ExitCode::kUnknown) {
      context.errors << "run the same command again: a change that was accepted is not made twice\n";
    }
    co_return code;
  }
  if (!outcome->accepted) {
    const ExitCode code = report_failure(context, outcome->reason);
    if (outcome->conflicting) print_conflict(context, plan, *outcome->conflicting);
    co_return code;
  }
  print_objects(context, plan);
  print_outcome(context, *outcome);
  if (!context.line.wait) co_return ExitCode::kDone;
  const ExitCode code = co_await wait_in_force(context, outcome->revision);
  co_return code;
}

/// The plan that sends manifests exactly as they are written.
ChangePlan verbatim_plan(const CommandLine& line, const std::vector<declared::config::Manifest>& manifests,
                         bool deletion) {
  ChangePlan plan;
  plan.at_revision = line.at_revision;
  for (const auto& manifest : manifests) {
    plan.changes.push_back({{manifest.object, deletion, manifest.resource_version}, std::nullopt});
  }
  return plan;
}

/// What the manifests of the command line come to; empty with the reason when they cannot be read.
Awaitable<std::optional<ChangePlan>> plan_manifests(CommandContext& context, bool deletion, Reason& reason) {
  const auto manifests = load_manifests(context.line.paths, reason);
  if (!manifests) co_return std::nullopt;
  const bool verbatim = !context.line.change_id.empty() && context.line.command != Command::kDiff;
  if (verbatim) co_return verbatim_plan(context.line, *manifests, deletion);
  const auto in_force = co_await read_manifests_objects(context, *manifests, reason);
  if (!in_force) co_return std::nullopt;
  co_return deletion ? plan_delete(*manifests, *in_force) : plan_apply(*manifests, *in_force);
}

/// One changed object as a document.
boost::json::value difference_json(const PlannedChange& planned) {
  boost::json::object entry{{"kind", declared::config::kind_name(planned.change.object.kind())},
                            {"name", planned.change.object.name},
                            {"change", verb_of(planned)}};
  if (planned.before) entry["before"] = declared::config::to_json(*planned.before);
  entry["after"] = declared::config::to_json(planned.change.object);
  return entry;
}

boost::json::value differences_json(const ChangePlan& plan) {
  boost::json::array list;
  for (const auto& planned : plan.changes) list.push_back(difference_json(planned));
  return list;
}

}  // namespace

Awaitable<ExitCode> run_apply(CommandContext& context) {
  Reason reason;
  auto plan = co_await plan_manifests(context, false, reason);
  if (!plan) co_return report_failure(context, reason);
  const ExitCode code = co_await send(context, std::move(*plan));
  co_return code;
}

Awaitable<ExitCode> run_diff(CommandContext& context) {
  Reason reason;
  const auto plan = co_await plan_manifests(context, false, reason);
  if (!plan) co_return report_failure(context, reason);
  const ExitCode code = plan->changes.empty() ? ExitCode::kDone : ExitCode::kDifferent;
  if (write_document(context.output, context.line.output, differences_json(*plan))) co_return code;
  for (const auto& planned : plan->changes) {
    context.output << declared::config::to_string(planned.change.object.key()) << "\n"
                   << object_difference(planned.before, planned.change.object);
  }
  co_return code;
}

Awaitable<ExitCode> run_delete(CommandContext& context) {
  Reason reason;
  std::optional<ChangePlan> plan;
  if (context.line.paths.empty()) {
    const auto selected = co_await read_selected_objects(context, reason);
    if (selected) plan = plan_delete(*selected);
  } else {
    plan = co_await plan_manifests(context, true, reason);
  }
  if (!plan) co_return report_failure(context, reason);
  const ExitCode code = co_await send(context, std::move(*plan));
  co_return code;
}

Awaitable<ExitCode> run_label(CommandContext& context) {
  Reason reason;
  const auto selected = co_await read_selected_objects(context, reason);
  if (!selected) co_return report_failure(context, reason);
  ChangePlan plan = plan_labels(*selected, context.line.label_changes);
  const ExitCode code = co_await send(context, std::move(plan));
  co_return code;
}

Awaitable<ExitCode> run_drain(CommandContext& context) {
  Reason reason;
  const auto selected = co_await read_selected_objects(context, reason);
  if (!selected) co_return report_failure(context, reason);
  ChangePlan plan = plan_drain(*selected, !context.line.undo);
  const ExitCode code = co_await send(context, std::move(plan));
  co_return code;
}

}  // namespace cairnhollow::cli

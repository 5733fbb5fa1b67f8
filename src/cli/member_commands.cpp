// member list, add, remove, replace.
#include <boost/json.hpp>

#include "cli/commands.h"
#include "cli/document_output.h"
#include "cli/status_tables.h"

namespace cairnhollow::cli {

namespace {

/// The node that the command line describes. Its identity is asked from the node by the control node.
consensus::Member described_member(const CommandLine& line, const std::string& node) {
  consensus::Member member;
  member.node = NodeName(node);
  member.endpoint = line.member_endpoint.value_or(Endpoint{});
  member.zone = line.member_zone;
  return member;
}

ExitCode report_change(CommandContext& context, bool done, const Reason& reason, const std::string& text) {
  if (!done) return report_failure(context, reason);
  context.output << text << "\n";
  return ExitCode::kDone;
}

}  // namespace

Awaitable<ExitCode> run_member_list(CommandContext& context) {
  Reason reason;
  const TimePoint deadline = context.deadline();
  const auto status = co_await context.client.status(deadline, reason);
  if (!status) co_return report_failure(context, reason);
  const auto document = declared::control::to_json(*status);
  if (!write_document(context.output, context.line.output, document.at("members"))) {
    context.output << member_table(status->members);
  }
  co_return ExitCode::kDone;
}

Awaitable<ExitCode> run_member_add(CommandContext& context) {
  Reason reason;
  const TimePoint deadline = context.deadline();
  auto member = described_member(context.line, context.line.member);
  const bool done = co_await context.client.add_member(std::move(member), deadline, reason);
  co_return report_change(context, done, reason, context.line.member + " is a member");
}

Awaitable<ExitCode> run_member_remove(CommandContext& context) {
  Reason reason;
  const TimePoint deadline = context.deadline();
  const bool done = co_await context.client.remove_member(context.line.member, deadline, reason);
  co_return report_change(context, done, reason, context.line.member + " is no member any more");
}

Awaitable<ExitCode> run_member_replace(CommandContext& context) {
  Reason reason;
  const TimePoint deadline = context.deadline();
  auto member = described_member(context.line, context.line.replacement);
  const bool done =
      co_await context.client.replace_member(context.line.member, std::move(member), deadline, reason);
  co_return report_change(context, done, reason,
                          context.line.replacement + " is a member in the place of " + context.line.member);
}

}  // namespace cairnhollow::cli

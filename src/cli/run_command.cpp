#include "cli/run_command.h"

#include "cli/commands.h"

namespace cairnhollow::cli {

namespace {

using Runner = Awaitable<ExitCode> (*)(CommandContext&);

Runner runner_of(Command command) {
  switch (command) {
    case Command::kApply:
      return run_apply;
    case Command::kDiff:
      return run_diff;
    case Command::kGet:
      return run_get;
    case Command::kDescribe:
      return run_describe;
    case Command::kDelete:
      return run_delete;
    case Command::kLabel:
      return run_label;
    case Command::kDrain:
      return run_drain;
    case Command::kStatus:
      return run_status;
    case Command::kEvents:
      return run_events;
    case Command::kExplain:
      return run_explain;
    case Command::kMemberList:
      return run_member_list;
    case Command::kMemberAdd:
      return run_member_add;
    case Command::kMemberRemove:
      return run_member_remove;
    case Command::kMemberReplace:
      return run_member_replace;
    case Command::kSwitchover:
      return run_switchover;
    case Command::kWait:
      return run_wait;
  }
  return run_status;
}

}  // namespace

ExitCode report_failure(CommandContext& context, const Reason& reason) {
  context.errors << "cairnhollow: " << reason.to_string() << "\n";
  return exit_code_for(reason);
}

Awaitable<ExitCode> run_command(CommandContext& context) {
  const Runner runner = runner_of(context.line.command);
  const ExitCode code = co_await runner(context);
  co_return code;
}

}  // namespace cairnhollow::cli

// The commands, one coroutine each. `context` outlives them.
#pragma once

#include "cli/command_context.h"

namespace cairnhollow::cli {

// cli/change_commands.cpp
Awaitable<ExitCode> run_apply(CommandContext& context);
Awaitable<ExitCode> run_diff(CommandContext& context);
Awaitable<ExitCode> run_delete(CommandContext& context);
Awaitable<ExitCode> run_label(CommandContext& context);
Awaitable<ExitCode> run_drain(CommandContext& context);

// cli/object_commands.cpp
Awaitable<ExitCode> run_get(CommandContext& context);
Awaitable<ExitCode> run_describe(CommandContext& context);

// cli/fleet_commands.cpp
Awaitable<ExitCode> run_status(CommandContext& context);
Awaitable<ExitCode> run_events(CommandContext& context);
Awaitable<ExitCode> run_switchover(CommandContext& context);

// cli/member_commands.cpp
Awaitable<ExitCode> run_member_list(CommandContext& context);
Awaitable<ExitCode> run_member_add(CommandContext& context);
Awaitable<ExitCode> run_member_remove(CommandContext& context);
Awaitable<ExitCode> run_member_replace(CommandContext& context);

// cli/explain_command.cpp
Awaitable<ExitCode> run_explain(CommandContext& context);

// cli/wait_command.cpp
Awaitable<ExitCode> run_wait(CommandContext& context);
/// Waits until `revision` is in force on every proxy that may serve, and shows progress.
Awaitable<ExitCode> wait_in_force(CommandContext& context, std::uint64_t revision);

}  // namespace cairnhollow::cli

// Reads the objects that a command is about, and no others.
#pragma once

#include <optional>

#include "cli/command_context.h"
#include "declared/config/manifest.h"

namespace cairnhollow::cli {

/// The objects in force that the manifests name. `revision` is one that had been reached before any of them
/// was read.
Awaitable<std::optional<declared::control::ObjectList>> read_manifests_objects(
    CommandContext& context, const std::vector<declared::config::Manifest>& manifests, Reason& reason);

/// The objects of the command line's kind that it names or selects. kNotFound names what is not there.
Awaitable<std::optional<declared::control::ObjectList>> read_selected_objects(CommandContext& context,
                                                                              Reason& reason);

}  // namespace cairnhollow::cli

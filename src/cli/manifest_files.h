// Reads manifests from files, folders and standard input.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"
#include "declared/config/manifest.h"

namespace cairnhollow::cli {

/// `paths`: files, folders (their *.yaml and *.yml files by name, not below) and "-" for standard input.
/// All faults of all files are in the reason's detail.
std::optional<std::vector<declared::config::Manifest>> load_manifests(const std::vector<std::string>& paths,
                                                                      Reason& reason);

}  // namespace cairnhollow::cli

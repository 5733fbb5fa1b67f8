// Differences between two versions of an object, line by line.
#pragma once

#include <optional>
#include <string>

#include "declared/config/objects.h"

namespace cairnhollow::cli {

/// Lines of both texts in order, those only in `before` behind "- ", only in `after` behind "+ ", in both
/// behind two blanks. Empty when the texts are the same.
std::string line_difference(const std::string& before, const std::string& after);

/// The same over the objects' manifests; an object that is not there has no lines.
std::string object_difference(const std::optional<declared::config::Object>& before,
                              const std::optional<declared::config::Object>& after);

}  // namespace cairnhollow::cli

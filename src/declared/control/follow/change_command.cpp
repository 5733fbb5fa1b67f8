#include "declared/control/follow/change_command.h"

#include <fmt/format.h>

#include "wire/codec.h"

namespace cairnhollow::declared::control {

std::optional<std::string> encode_change(const config::ChangeRequest& request, wire::Format feature_level,
                                         Reason& reason) {
  if (wire::fits_format(request, feature_level)) return wire::encode(request, feature_level);
  wire::Format needed = feature_level;
  while (needed < wire::kNewestFormat && !wire::fits_format(request, needed)) ++needed;
  reason =
      Reason{ReasonCode::kUnsupported, "apply_change", "",
             fmt::format("the change sets a field that needs feature_level {}; this control node writes {}",
                         needed, feature_level)};
  return std::nullopt;
}

}  // namespace cairnhollow::declared::control

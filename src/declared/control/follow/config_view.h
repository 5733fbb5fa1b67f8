// Interface to the configuration that a control node serves to its followers: on a voter it is replicated by
// consensus, on a relay it is followed from another control node.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "declared/config/changes.h"
#include "runtime/signal.h"
#include "wire/format.h"

namespace cairnhollow::declared::control {

class ConfigView {
 public:
  virtual ~ConfigView() = default;
  [[nodiscard]] virtual std::uint64_t revision() const = 0;
  /// Ordered by kind, then name.
  [[nodiscard]] virtual std::vector<config::StoredObject> objects() const = 0;
  /// Returns the changes after `revision`, or std::nullopt if they are no longer retained; the caller then
  /// sends a full snapshot.
  [[nodiscard]] virtual std::optional<config::ConfigChanges> changes_since(std::uint64_t revision) const = 0;
  /// The preferred encoding format. Content that it cannot represent is encoded in the earliest later format
  /// that can.
  [[nodiscard]] virtual wire::Format feature_level() const { return wire::kWrittenFormat; }
  /// Notified after the revision has increased.
  virtual runtime::Signal& changed() = 0;
};

}  // namespace cairnhollow::declared::control

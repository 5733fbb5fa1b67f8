// The configuration as a control node serves it to its followers: replicated by consensus on a voter,
// followed from another control node on a relay.
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
  /// By kind, then name.
  [[nodiscard]] virtual std::vector<config::StoredObject> objects() const = 0;
  /// Changes after `revision`; empty when they are no longer kept: then all objects are sent.
  [[nodiscard]] virtual std::optional<config::ConfigChanges> changes_since(std::uint64_t revision) const = 0;
  /// The format in which the configuration is written and sent on, as far as it loses nothing.
  [[nodiscard]] virtual wire::Format feature_level() const { return wire::kWrittenFormat; }
  /// Notified after the revision has grown.
  virtual runtime::Signal& changed() = 0;
};

}  // namespace cairnhollow::declared::control

// What a command changes, worked out from the objects in force. Pure functions.
#pragma once

#include <optional>
#include <vector>

#include "cli/command_line.h"
#include "declared/config/change_outcome.h"
#include "declared/config/manifest.h"
#include "declared/control/operator/operator_service.h"

namespace cairnhollow::cli {

/// One object that changes.
struct PlannedChange {
  declared::config::ObjectChange change;
  std::optional<declared::config::Object> before;  ///< as it is in force; unset: it does not exist
};

struct ChangePlan {
  std::vector<PlannedChange> changes;
  std::vector<declared::config::ObjectKey> unchanged;  ///< named, and already as wanted
  std::uint64_t at_revision = 0;                       ///< of the configuration that it was worked out from
};

/// Writes each manifest whose object differs. Based on the manifest's resourceVersion, else on what is in
/// force now, so that no change made in between is overwritten.
ChangePlan plan_apply(const std::vector<declared::config::Manifest>& manifests,
                      const declared::control::ObjectList& in_force);
/// Deletes the manifests' objects; one that does not exist is unchanged.
ChangePlan plan_delete(const std::vector<declared::config::Manifest>& manifests,
                       const declared::control::ObjectList& in_force);
ChangePlan plan_delete(const declared::control::ObjectList& selected);
ChangePlan plan_labels(const declared::control::ObjectList& selected,
                       const std::vector<LabelChange>& changes);
/// Sets `drain` of proxies and backends; other kinds stay as they are.
ChangePlan plan_drain(const declared::control::ObjectList& selected, bool drain);

}  // namespace cairnhollow::cli

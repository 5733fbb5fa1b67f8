// Which part of the fleet `status` and `events` show: everything, what the command line names, or what its
// selector selects.
#pragma once

#include <set>
#include <string>

#include "cli/command_context.h"

namespace cairnhollow::cli {

/// Names of objects and machines.
class SubjectFilter {
 public:
  /// Lets everything through.
  SubjectFilter() = default;
  /// Lets only `names` through.
  explicit SubjectFilter(std::set<std::string> names) : names_(std::move(names)) {}

  [[nodiscard]] bool selects_all() const { return !names_; }
  [[nodiscard]] bool selects(const std::string& name) const { return !names_ || names_->contains(name); }
  /// A group is selected by its own name or by one of its members.
  [[nodiscard]] bool selects(const declared::control::GroupStatus& group) const;

 private:
  std::optional<std::set<std::string>> names_;  ///< unset: everything
};

/// The filter that names and selector of the command line ask for. A selector is looked up in the
/// configuration, which needs a quorum; names need none. Empty with the reason when the lookup fails or
/// selects nothing.
Awaitable<std::optional<SubjectFilter>> read_subject_filter(CommandContext& context, Reason& reason);

/// `status` without the groups and proxies that the filter leaves out.
void apply_filter(declared::control::FleetStatus& status, const SubjectFilter& filter);

}  // namespace cairnhollow::cli

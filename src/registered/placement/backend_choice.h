// Which backend of a group runs a statement, and why each other one does not. Pure.
#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "registered/placement/facts.h"
#include "registered/placement/rejection_reason.h"

namespace cairnhollow::registered::placement {

/// What keeps all new work away from the backend, whatever the work is; kNone when nothing does.
RejectionReason rejection_of_new_work(const BackendFacts& backend);
/// Whether it leads, as far as this proxy knows, and may still be believed.
bool may_lead(const BackendFacts& backend);
/// Whether links to the backend are opened ahead of need.
bool may_be_warmed(const BackendFacts& backend);
/// Why a read passes over the backend; `has_leader`: a primary could run it instead.
RejectionReason rejection_of_read(const BackendFacts& backend, bool has_leader);
/// Why what needs the primary does not run at this one.
RejectionReason rejection_as_primary(const BackendFacts& backend);
/// Why the statement does not go to the backend, for the log.
RejectionReason rejection_at(const BackendFacts& backend, bool primary_only,
                             std::span<const BackendFacts> all);

struct BackendChoice {
  std::optional<std::size_t> backend;  ///< place in the list of facts
  RejectionReason rejection =
      RejectionReason::kNone;  ///< of the backend nearest to running it, when none is chosen
  /// Nothing but what keeps new work away stands in the way: waiting a moment would not help.
  bool is_final = false;
  Duration retry_after{0};  ///< with `is_final`: when to come back; 0: not known
};

/// What needs the primary goes there or nowhere. A read goes where it costs least among those that have its
/// data; then to the primary; then to one that failed a moment ago.
BackendChoice choose_backend(bool primary_only, std::span<const BackendFacts> backends);
/// Whether a backend other than those tried is likely to serve such a read now.
bool has_other_reader(bool primary_only, std::span<const BackendFacts> backends);

}  // namespace cairnhollow::registered::placement

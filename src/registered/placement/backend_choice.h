// Chooses the backend of a group that runs a statement, and explains why the others are rejected. Pure
// functions.
#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "registered/placement/facts.h"
#include "registered/placement/rejection_reason.h"

namespace cairnhollow::registered::placement {

/// Why the backend accepts no new work of any kind; kNone if it does.
RejectionReason rejection_of_new_work(const BackendFacts& backend);
/// Whether this proxy may treat the backend as the group's primary: its term is open, and it has not been
/// draining for too long.
bool may_lead(const BackendFacts& backend);
/// Whether links to the backend may be opened in advance.
bool may_be_warmed(const BackendFacts& backend);
/// Why the backend does not run a read; kNone if it may. `has_leader`: a primary could run it instead.
RejectionReason rejection_of_read(const BackendFacts& backend, bool has_leader);
/// Why this primary does not run a statement that needs the primary; kNone if it may.
RejectionReason rejection_as_primary(const BackendFacts& backend);
/// Why the backend does not run the statement, for the log. `all`: the backends of the group.
RejectionReason rejection_at(const BackendFacts& backend, bool primary_only,
                             std::span<const BackendFacts> all);

struct BackendChoice {
  std::optional<std::size_t> backend;  ///< index into the list of facts
  /// If none is chosen: the reason of the backend that is likely to be available first.
  RejectionReason rejection = RejectionReason::kNone;
  /// Every candidate accepts no new work at all, so a short wait would not help.
  bool is_final = false;
  Duration retry_after{0};  ///< with `is_final`: suggested delay before a retry; 0: unknown
};

/// A statement that needs the primary runs there or nowhere. A read goes to the cheapest backend that has its
/// data; failing that to the primary; failing that to one that recently failed or rejected a connection.
BackendChoice choose_backend(bool primary_only, std::span<const BackendFacts> backends);
/// Whether an untried backend that is neither avoided nor lagging can run the read now.
bool has_other_reader(bool primary_only, std::span<const BackendFacts> backends);

}  // namespace cairnhollow::registered::placement

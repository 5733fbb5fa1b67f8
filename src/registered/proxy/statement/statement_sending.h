// Helpers shared by single statements and statements of open transactions while a backend runs them.
#pragma once

#include <optional>

#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/statement_request.h"

namespace cairnhollow::registered::proxy {

/// Registers a statement as in progress at the primary for the lifetime of the scope. The PrimaryHealth must
/// outlive it.
class PrimaryWorkScope {
 public:
  PrimaryWorkScope(PrimaryHealth& primary, PendingStatement work)
      : primary_(primary), key_(primary.add_pending(std::move(work))) {}
  ~PrimaryWorkScope() { primary_.remove_pending(key_); }
  PrimaryWorkScope(const PrimaryWorkScope&) = delete;
  PrimaryWorkScope& operator=(const PrimaryWorkScope&) = delete;

 private:
  PrimaryHealth& primary_;
  std::uint64_t key_;
};

/// Builds the request that is sent on the link. `required`: the log position that the backend must have
/// reached, if any.
BackendRequest make_request(const StatementRequest& request, const StatefulLink& link,
                            std::optional<Position> required);

/// The context in which a primary reported success.
struct PrimaryExchange {
  registry::GroupEpoch epoch;  ///< when the statement was sent
  TimePoint sent_at{};
  bool commits = false;
  /// The furthest position that the primary had shown when the statement was sent; empty if there was none.
  std::optional<Position> shown_before{};
};
/// Records the primary's log position and, for a commit, what is acknowledged. Turns `answer` into "in doubt"
/// for a commit that can't be acknowledged, e.g. because its primary may not be used any more.
void apply_primary_answer(const SessionServices& services, GroupAccess& group, const PrimaryExchange& primary,
                          Answer& answer);

}  // namespace cairnhollow::registered::proxy

// Acquires the rate-limit tokens that statements to cold backends need (links/cold_backend.h). Each statement
// takes one token, which is valid until it expires. The proxies that own the backend's quota grant them
// (limits/limit_client.h).
#pragma once

#include <memory>
#include <optional>

#include "registered/placement/rejection_reason.h"
#include "registered/proxy/group/group_access.h"
#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/statement_request.h"

namespace cairnhollow::registered::proxy {

/// In all functions, `token` is the time at which the statement's token expires; std::nullopt if it has none.
class ColdTokens {
 public:
  explicit ColdTokens(SessionServices services) : services_(services) {}

  /// Whether a statement with this token may be sent to the backend now: the backend is not cold, or the
  /// token has not expired.
  [[nodiscard]] bool may_send(const GroupAccess& group, const BackendState& backend,
                              const std::optional<TimePoint>& token) const;
  /// Requests a token for a statement that may also run at another backend. If none is granted, the backend's
  /// facts show its cold limit as reached until the answer's `retry_after` has passed.
  Awaitable<AdmissionAnswer> acquire(std::shared_ptr<GroupAccess> group,
                                     std::shared_ptr<BackendState> backend);
  /// Gives an unused token back to the limit. No effect if `token` is empty.
  void release(const BackendState& backend, const std::optional<TimePoint>& token) const;
  /// For a statement that can run at no other backend: waits for a token if the backend is cold, then for a
  /// slot there, until `slot.wait_end`. Returns true if it holds a slot and, if needed, a valid token; the
  /// caller must release the slot. Returns false otherwise; `refusal`: the cause if no token was available,
  /// or what the gate decided.
  Awaitable<bool> enter_gate(std::shared_ptr<GroupAccess> group, std::shared_ptr<BackendState> backend,
                             scheduling::SlotRequest slot, StatementRefusal& refusal);

 private:
  void record_limit(const GroupAccess& group, BackendState& backend, const AdmissionAnswer& admission) const;
  /// Leaves `token` empty if the backend is not cold. Returns false if no token is available before
  /// `deadline`.
  Awaitable<bool> wait_for_token(std::shared_ptr<GroupAccess> group, std::shared_ptr<BackendState> backend,
                                 TimePoint deadline, std::optional<TimePoint>& token);

  SessionServices services_;
};

}  // namespace cairnhollow::registered::proxy

// Tokens for statements to cold backends (links/cold_backend.h): one for each statement, good until it
// expires. The proxies that count for a backend give them out (limits/limit_client.h).
#pragma once

#include <memory>
#include <optional>

#include "registered/placement/rejection_reason.h"
#include "registered/proxy/group/group_access.h"
#include "registered/proxy/session_services.h"

namespace cairnhollow::registered::proxy {

/// `token`: until when it is good; empty: there is none.
class ColdTokens {
 public:
  explicit ColdTokens(SessionServices services) : services_(services) {}

  /// Whether a statement with this token may be sent to the backend now: it is not cold, or the token is
  /// good.
  [[nodiscard]] bool holds(const GroupAccess& group, const BackendState& backend,
                           const std::optional<TimePoint>& token) const;
  /// A token for a statement that can go elsewhere. Where there is none the backend's facts say so from then
  /// on.
  Awaitable<AdmissionAnswer> take(std::shared_ptr<GroupAccess> group, std::shared_ptr<BackendState> backend);
  /// It was not used; without effect where there is none.
  void give_back(const BackendState& backend, const std::optional<TimePoint>& token) const;
  /// For a statement that can go nowhere else: it waits for a token where the backend is cold, then for a
  /// place there. True: it holds a place, and a token that is good now. False: its time ended first;
  /// `rejection` is set where the token was missing.
  Awaitable<bool> enter(std::shared_ptr<GroupAccess> group, std::shared_ptr<BackendState> backend,
                        TimePoint deadline, placement::RejectionReason& rejection);

 private:
  void record_limit(const GroupAccess& group, BackendState& backend, const AdmissionAnswer& admission) const;
  /// `token` stays empty where the backend is not cold. False: its time ended first.
  Awaitable<bool> wait_for_token(std::shared_ptr<GroupAccess> group, std::shared_ptr<BackendState> backend,
                                 TimePoint deadline, std::optional<TimePoint>& token);

  SessionServices services_;
};

}  // namespace cairnhollow::registered::proxy

// Determines the outcome of a request that was sent but not answered: queries the request ledger of the
// group's current primary until there is a definite answer or the time limit is reached.
#pragma once

#include "declared/proxy/statement/attempt.h"

namespace cairnhollow::declared::proxy {

/// The reason for a request id that the ledger records as aborted.
Reason aborted_reason(const AttemptTarget& target);

class OutcomeResolver {
 public:
  explicit OutcomeResolver(ProxyState& state) : state_(state) {}

  /// Returns done if the request committed; not_run with kAborted if the ledger records that it never will;
  /// otherwise unknown, returned early enough before `deadline` for the caller to retry at another proxy.
  /// `cause` is why the answer is missing.
  Awaitable<Outcome> run(RequestId request_id, GroupName group, TimePoint deadline, Reason cause);

 private:
  /// Queries the currently known primary once. Returns std::nullopt with the reason if the answer was not
  /// definite.
  Awaitable<std::optional<Outcome>> query(RequestId request_id, GroupName group, TimePoint deadline,
                                          Reason& reason);

  ProxyState& state_;
};

}  // namespace cairnhollow::declared::proxy

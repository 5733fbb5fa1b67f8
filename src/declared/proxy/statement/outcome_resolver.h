// Learns the outcome of a request that was sent and not answered: asks the group's current primary for the
// entry in its request ledger, until there is a definite answer or the time is over.
#pragma once

#include "declared/proxy/statement/attempt.h"

namespace cairnhollow::declared::proxy {

/// The reason of a request id whose ledger entry says aborted.
Reason aborted_reason(const AttemptTarget& target);

class OutcomeResolver {
 public:
  explicit OutcomeResolver(ProxyState& state) : state_(state) {}

  /// Done when it had committed; not_run with kAborted when the ledger says, now for good, that it never
  /// will; otherwise unknown, given early enough before `deadline` for the caller to ask again elsewhere.
  /// `cause` is why the answer is missing.
  Awaitable<Outcome> run(RequestId request_id, GroupName group, TimePoint deadline, Reason cause);

 private:
  /// One question to the primary known now. Empty, with the reason, when it gave no definite answer.
  Awaitable<std::optional<Outcome>> ask(RequestId request_id, GroupName group, TimePoint deadline,
                                        Reason& reason);

  ProxyState& state_;
};

}  // namespace cairnhollow::declared::proxy

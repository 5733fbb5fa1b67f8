// Checks a statement again before it is sent to the chosen backend. While it waited, its API key, the proxy's
// lease, the primary or the backend may have changed.
#pragma once

#include <memory>

#include "registered/placement/placement.h"
#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/cold_tokens.h"
#include "registered/proxy/statement/statement_attempt.h"

namespace cairnhollow::registered::proxy {

class PreSendCheck {
 public:
  explicit PreSendCheck(SessionServices services) : services_(services), cold_tokens_(services) {}

  /// To be called after each wait. Checks everything except the key and stores the decision in the attempt's
  /// `pre_send_check`. Returns false if the statement must not be sent.
  bool may_proceed(StatementAttempt& attempt) const;
  /// The final check right before sending, including the key. A statement that may have run before also needs
  /// a token of its tenant's rate limit.
  Awaitable<placement::SendDecision> check(std::shared_ptr<StatementAttempt> attempt) const;

 private:
  /// What may have changed while the statement waited for the backend, except the key.
  [[nodiscard]] placement::SendFacts send_facts(const StatementAttempt& attempt) const;
  [[nodiscard]] placement::SendDecision decide(const StatementAttempt& attempt,
                                               const placement::SendFacts& facts) const;

  SessionServices services_;
  ColdTokens cold_tokens_;
};

}  // namespace cairnhollow::registered::proxy

// Decides which quota owner a proxy asks next for tokens of one limit, and when a round of such requests has
// ended. Pure: no I/O, and the caller passes the times.
//
// As many owners are asked at once as were asked before in vain, so that a round takes few steps, while one
// that the first owner can answer costs one request. A token that is granted but not used is lost to the
// limit and never exceeds it, since each owner counts what it grants.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "registered/limits/owner_share.h"

namespace cairnhollow::registered::limits {

/// An owner that has not answered for this long is slow, and the next one is asked as well. Longer than a
/// connection attempt to a reachable proxy; two of them fit into the shortest usual target latency of 150 ms.
inline constexpr Duration kNextOwnerAfter = std::chrono::milliseconds(60);
/// How long a request to an owner may remain unanswered. A token that arrives later expires before a
/// statement can be sent with it.
inline constexpr Duration kOwnerAnswerWait = kTokenLifetime - std::chrono::milliseconds(50);

/// The state of the request to one owner.
enum class OwnerReply : std::uint8_t {
  kNotAsked,
  kPending,        ///< asked, and may still answer
  kNoAnswer,       ///< not reached, or no answer within kOwnerAnswerWait
  kNotAuthorized,  ///< it may not grant tokens of this limit at present
  kEmpty,          ///< it has no token
  kGranted
};
/// Stable lower-case name for logs, e.g. "no_answer".
const char* owner_reply_name(OwnerReply reply);

enum class RoundAction : std::uint8_t { kAsk, kWait, kEnd };

struct RoundStep {
  RoundAction action = RoundAction::kEnd;
  std::size_t owner = 0;  ///< kAsk: index of the owner to ask
  TimePoint until{};      ///< kWait: when to decide again if no reply arrives before
};

/// The result of a round.
enum class RoundOutcome : std::uint8_t {
  kGranted,
  kOverLimit,      ///< no owner granted, and at least one has no token
  kNotAuthorized,  ///< an owner answered, but none of those that did may grant tokens
  kNoOwnerReached  ///< no owner answered
};

class OwnerRound {
 public:
  /// `owners`: number of owners, in the order in which to ask them.
  explicit OwnerRound(std::size_t owners) : requests_(owners) {}

  /// The next step at `now`. If it is kAsk, the owner counts as asked at `now`.
  RoundStep next_step(TimePoint now);
  /// Records the reply of an owner that was asked, also after the round has ended.
  void record(std::size_t owner, OwnerReply reply) { requests_[owner].reply = reply; }
  /// Whether the request to the owner has been pending for kNextOwnerAfter.
  [[nodiscard]] bool is_slow(std::size_t owner, TimePoint now) const;
  [[nodiscard]] RoundOutcome outcome() const;
  [[nodiscard]] std::size_t owners() const { return requests_.size(); }
  [[nodiscard]] OwnerReply reply(std::size_t owner) const { return requests_[owner].reply; }

 private:
  struct Request {
    OwnerReply reply = OwnerReply::kNotAsked;
    TimePoint asked_at{};
  };
  [[nodiscard]] bool has(OwnerReply reply) const;
  struct Counts {
    std::size_t fresh = 0;                  ///< owners that were asked recently and may still answer
    std::size_t without_tokens = 0;         ///< owners that were asked and did not grant, slow ones included
    std::optional<TimePoint> last_pending;  ///< when the latest pending request was sent
  };
  [[nodiscard]] Counts count(TimePoint now) const;

  std::vector<Request> requests_;
};

}  // namespace cairnhollow::registered::limits

#include "registered/limits/owner_round.h"

#include <algorithm>

namespace cairnhollow::registered::limits {

const char* owner_reply_name(OwnerReply reply) {
  switch (reply) {
    case OwnerReply::kNotAsked:
      return "not_asked";
    case OwnerReply::kPending:
      return "pending";
    case OwnerReply::kNoAnswer:
      return "no_answer";
    case OwnerReply::kNotAuthorized:
      return "not_authorized";
    case OwnerReply::kEmpty:
      return "empty";
    case OwnerReply::kGranted:
      return "granted";
  }
  return "";
}

bool OwnerRound::has(OwnerReply reply) const {
  return std::any_of(requests_.begin(), requests_.end(),
                     [reply](const Request& request) { return request.reply == reply; });
}

bool OwnerRound::is_slow(std::size_t owner, TimePoint now) const {
  const Request& request = requests_[owner];
  return request.reply == OwnerReply::kPending && now - request.asked_at >= kNextOwnerAfter;
}

OwnerRound::Counts OwnerRound::count(TimePoint now) const {
  Counts counts;
  for (std::size_t owner = 0; owner < requests_.size(); ++owner) {
    const Request& request = requests_[owner];
    if (request.reply == OwnerReply::kNotAsked) continue;
    const bool is_pending = request.reply == OwnerReply::kPending;
    if (is_pending && !is_slow(owner, now)) {
      ++counts.fresh;
    } else {
      ++counts.without_tokens;
    }
    if (is_pending)
      counts.last_pending = std::max(counts.last_pending.value_or(request.asked_at), request.asked_at);
  }
  return counts;
}

RoundStep OwnerRound::next_step(TimePoint now) {
  if (has(OwnerReply::kGranted)) return {};
  const Counts counts = count(now);
  const auto next = std::find_if(requests_.begin(), requests_.end(), [](const Request& request) {
    return request.reply == OwnerReply::kNotAsked;
  });
  if (next != requests_.end() && counts.fresh < std::max<std::size_t>(counts.without_tokens, 1)) {
    *next = Request{OwnerReply::kPending, now};
    return {RoundAction::kAsk, static_cast<std::size_t>(next - requests_.begin()), {}};
  }
  if (!counts.last_pending) return {};
  // Above its limit a tenant is refused promptly, without waiting for the slow owners.
  const bool is_prompt = next != requests_.end() || has(OwnerReply::kEmpty);
  const TimePoint until = *counts.last_pending + (is_prompt ? kNextOwnerAfter : kOwnerAnswerWait);
  if (now >= until) return {};
  return {RoundAction::kWait, 0, until};
}

RoundOutcome OwnerRound::outcome() const {
  if (has(OwnerReply::kGranted)) return RoundOutcome::kGranted;
  if (has(OwnerReply::kEmpty)) return RoundOutcome::kOverLimit;
  return has(OwnerReply::kNotAuthorized) ? RoundOutcome::kNotAuthorized : RoundOutcome::kNoOwnerReached;
}

}  // namespace cairnhollow::registered::limits

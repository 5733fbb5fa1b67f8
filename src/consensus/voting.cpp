#include "consensus/voting.h"

namespace cairnhollow::consensus {
namespace {

/// Election restriction (section 3.6.1): a candidate's log must contain every entry that may be committed.
bool is_up_to_date(const RaftState& state, const VoteRequest& request) {
  const Log& log = state.log();
  if (request.last_term != log.last_term()) return request.last_term > log.last_term();
  return request.last_index >= log.last_index();
}

bool may_vote_for(const RaftState& state, const NodeName& candidate, std::uint64_t term) {
  if (term > state.term()) return true;
  return term == state.term() && (state.voted_for().empty() || state.voted_for() == candidate);
}

}  // namespace

VoteAnswer answer_vote(RaftState& state, const NodeName& candidate, const VoteRequest& request) {
  // Section 4.2.3: a server that hears from a current leader rejects candidates that do not.
  if (state.has_recent_leader_contact() && !request.leadership_transfer) return VoteAnswer{false};
  if (request.pre_vote) {
    return VoteAnswer{may_vote_for(state, candidate, request.term) && is_up_to_date(state, request)};
  }
  state.observe_term(request.term);
  if (!may_vote_for(state, candidate, request.term) || !is_up_to_date(state, request)) {
    return VoteAnswer{false};
  }
  state.vote_for(candidate);
  return VoteAnswer{true};
}

}  // namespace cairnhollow::consensus

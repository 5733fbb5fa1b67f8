// Handling of vote requests (sections 3.4, 4.2.3 and 9.6).
#pragma once

#include "consensus/messages.h"
#include "consensus/raft_state.h"

namespace cairnhollow::consensus {

/// Answers a vote or pre-vote request. A granted vote must be durable before the answer is sent.
VoteAnswer answer_vote(RaftState& state, const NodeName& candidate, const VoteRequest& request);

}  // namespace cairnhollow::consensus

// Leadership transfer to another voter (section 3.10), so that a stopping leader does not leave the group
// without a leader for an election timeout.
#pragma once

#include <memory>

#include "consensus/leadership.h"

namespace cairnhollow::consensus {

/// Tells `target` to start an election immediately. Does not wait for an answer: if the message is lost, an
/// election follows after the usual timeout.
void send_timeout_now(RaftState& state, PeerTable& peers, const Member& target);

/// Chooses a target, brings its log up to date, tells it to take over, and waits until it has. The caller
/// must prevent further appends. Returns false if there is no eligible target or if `deadline` passes first.
Awaitable<bool> transfer_leadership(RaftState& state, PeerTable& peers,
                                    std::shared_ptr<Leadership> leadership, TimePoint deadline);

}  // namespace cairnhollow::consensus

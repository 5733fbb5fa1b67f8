// Quorum rounds for read indexes: run by the leader itself, or requested from the leader by a follower.
#pragma once

#include <memory>
#include <optional>

#include "consensus/leadership.h"

namespace cairnhollow::consensus {

/// Leader side (section 6.4): returns the commit index once a quorum has confirmed, after the call, that this
/// server is still the leader. Fails immediately with kNoQuorum if leadership ends meanwhile.
Awaitable<std::optional<std::uint64_t>> confirm_read_index(RaftState& state,
                                                           std::shared_ptr<Leadership> leadership,
                                                           TimePoint deadline, Reason& reason);

/// Follower side: asks the known leader. Fails immediately with kNoQuorum if no leader is known.
Awaitable<std::optional<std::uint64_t>> request_read_index(RaftState& state, PeerTable& peers,
                                                           TimePoint deadline, Reason& reason);

}  // namespace cairnhollow::consensus

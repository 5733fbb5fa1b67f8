// Messages between control nodes after the Hello of Conversation::kConsensus. The connecting side sends
// requests and the other side answers, in any order, matched by a correlation number.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/types.h"
#include "consensus/log_entry.h"
#include "wire/codec.h"

namespace cairnhollow::consensus {

/// RequestVote (section 3.4). With `pre_vote` (section 9.6) the receiver's state does not change.
struct VoteRequest {
  bool pre_vote = false;
  std::uint64_t term = 0;  ///< the term for which the candidate requests the vote
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  bool leadership_transfer = false;  ///< the leader requested this election (section 3.10)
  template <class Archive>
  void serialize(Archive& archive) {
    archive(pre_vote, term, last_index, last_term, leadership_transfer);
  }
};
struct VoteAnswer {
  bool granted = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(granted);
  }
};

/// AppendEntries (section 3.5).
struct AppendRequest {
  std::uint64_t previous_index = 0;
  std::uint64_t previous_term = 0;
  std::uint64_t commit_index = 0;
  std::vector<LogEntry> entries;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(previous_index, previous_term, commit_index, entries);
  }
};
struct AppendAnswer {
  bool accepted = false;
  std::uint64_t next_index = 0;  ///< accepted: one past the last entry sent; refused: the index to try next
  template <class Archive>
  void serialize(Archive& archive) {
    archive(accepted, next_index);
  }
};

/// Maintains the leader's authority and confirms leadership for reads (section 6.4).
struct HeartbeatRequest {
  std::uint64_t commit_index = 0;  ///< not beyond the receiver's known match index
  template <class Archive>
  void serialize(Archive& archive) {
    archive(commit_index);
  }
};
struct HeartbeatAnswer {
  bool accepted = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(accepted);
  }
};

/// One chunk of a snapshot (section 5.3).
struct InstallSnapshotRequest {
  std::uint64_t last_index = 0;  ///< last index covered by the snapshot
  std::uint64_t last_term = 0;
  std::uint64_t offset = 0;
  std::uint64_t total_size = 0;
  std::string bytes;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(last_index, last_term, offset, total_size, bytes);
  }
};
struct InstallSnapshotAnswer {
  bool accepted = false;
  std::uint64_t next_offset = 0;  ///< offset to continue from; total_size once installed
  template <class Archive>
  void serialize(Archive& archive) {
    archive(accepted, next_offset);
  }
};

/// TimeoutNow: start an election immediately (section 3.10).
struct TimeoutNowRequest {
  template <class Archive>
  void serialize(Archive&) {}
};
struct TimeoutNowAnswer {
  template <class Archive>
  void serialize(Archive&) {}
};

/// A follower's request to the leader for a read index (section 6.4).
struct ReadIndexRequest {
  template <class Archive>
  void serialize(Archive&) {}
};
struct ReadIndexAnswer {
  std::optional<std::uint64_t> index;
  Reason reason;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, reason);
  }
};

using RequestBody = std::variant<HeartbeatRequest, AppendRequest, VoteRequest, InstallSnapshotRequest,
                                 TimeoutNowRequest, ReadIndexRequest>;
using AnswerBody = std::variant<HeartbeatAnswer, AppendAnswer, VoteAnswer, InstallSnapshotAnswer,
                                TimeoutNowAnswer, ReadIndexAnswer>;

struct PeerRequest {
  std::uint64_t correlation = 0;
  NodeName from;
  std::string from_identity;
  std::string to_identity;  ///< the receiver's identity in the sender's configuration; empty if unknown
  std::uint64_t term = 0;   ///< the sender's current term
  RequestBody body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation, from, from_identity, to_identity, term, body);
  }
};

enum class Refusal : std::uint8_t {
  kNone = 0,
  kOtherIdentity = 1,  ///< the request was addressed to this node's previous disk
  kNotMember = 2,      ///< the sender's identity is not a member; it must be added again
};

struct PeerAnswer {
  std::uint64_t correlation = 0;
  std::string identity;    ///< identity of the answering node
  std::uint64_t term = 0;  ///< its current term
  Refusal refusal = Refusal::kNone;
  AnswerBody body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation, identity, term, refusal, body);
  }
};

}  // namespace cairnhollow::consensus

// What a replica and its primary say to each other: one pull, one answer, over HTTP with cereal bodies.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/types.h"
#include "standins/database/log_entry.h"
#include "standins/database/log_store.h"
#include "wire/codec.h"

namespace cairnhollow::standins::database {

inline constexpr const char* kPullTarget = "/v1/replication/pull";

/// Says what the replica has durably, and by that acknowledges it. The primary holds it until it has news.
struct PullRequest {
  BackendName replica;
  std::uint64_t term = 0;           ///< in which the replica follows; it has taken no higher one
  std::vector<Position> term_ends;  ///< last durable position of each term, latest first; never empty
  std::uint64_t committed = 0;      ///< index
  std::uint64_t round = 0;          ///< of the last answer received from this primary

  template <class Archive>
  void serialize(Archive& archive) {
    archive(replica, term, term_ends, committed, round);
  }
};

enum class PullAnswerKind : std::uint8_t {
  kNotPrimary = 1,  ///< not the primary of the term named; `term` is the highest that it knows
  kCut = 2,         ///< the logs part: cut off what lies behind `cut_to`
  kEntries = 3,     ///< entries that follow the replica's last one; may be none
  kSnapshot = 4,    ///< the replica is behind the compacted part of the log
};

struct PullAnswer {
  PullAnswerKind kind = PullAnswerKind::kNotPrimary;
  std::uint64_t term = 0;
  std::uint64_t cut_to = 0;
  std::vector<LogEntry> entries;
  std::optional<Snapshot> snapshot;
  std::uint64_t committed = 0;  ///< index
  std::uint64_t round = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, term, cut_to, entries, snapshot, committed, round);
  }
};

}  // namespace cairnhollow::standins::database

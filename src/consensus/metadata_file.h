// The persistent term, vote and identity of this node (with the log, Raft's persistent state; section 3.3).
#pragma once

#include <string>

#include "consensus/flush_sequence.h"
#include "wire/codec.h"

namespace cairnhollow::consensus {

struct Metadata {
  std::string identity;  ///< generated when the data folder is first used; never changes
  std::uint64_t term = 0;
  NodeName voted_for;  ///< empty if no vote was given in `term`

  template <class Archive>
  void serialize(Archive& archive) {
    archive(identity, term, voted_for);
  }
};

/// As in Log, memory may be ahead of the disk until flush() has returned.
class MetadataFile {
 public:
  explicit MetadataFile(runtime::Runtime& runtime)
      : runtime_(runtime), flushes_(runtime, [this](Reason& reason) { return write(reason); }) {}
  MetadataFile(const MetadataFile&) = delete;
  MetadataFile& operator=(const MetadataFile&) = delete;

  /// Reads the file, or generates a new identity if there is none. Fails with kCorrupt if the file is damaged
  /// and kUnsupported if a newer build wrote it.
  bool recover(Reason& reason);
  /// Returns whether recover() found no file.
  [[nodiscard]] bool is_new() const { return is_new_; }

  [[nodiscard]] const Metadata& value() const { return value_; }
  /// Sets a higher term and clears the vote.
  void set_term(std::uint64_t term);
  void set_vote(NodeName candidate);

  /// Makes all changes made before the call durable. Concurrent callers share one write. After a failure
  /// every call fails until retry().
  Awaitable<bool> flush(Reason& reason) { return flushes_.flush(reason); }
  void retry() { flushes_.retry(); }

 private:
  Awaitable<bool> write(Reason& reason);
  [[nodiscard]] std::string make_identity();

  runtime::Runtime& runtime_;
  FlushSequence flushes_;
  Metadata value_;
  bool is_new_ = false;
};

}  // namespace cairnhollow::consensus

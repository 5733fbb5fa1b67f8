// Term, vote and identity of this node (Raft's persistent state besides the log, section 3.3).
#pragma once

#include <string>

#include "consensus/flush_sequence.h"
#include "wire/codec.h"

namespace cairnhollow::consensus {

struct Metadata {
  std::string identity;  ///< made at first use of the data folder, never changed after
  std::uint64_t term = 0;
  NodeName voted_for;  ///< empty: no vote in `term` yet

  template <class Archive>
  void serialize(Archive& archive) {
    archive(identity, term, voted_for);
  }
};

/// Like Log: memory runs ahead of the disk until flush() has returned.
class MetadataFile {
 public:
  explicit MetadataFile(runtime::Runtime& runtime)
      : runtime_(runtime), flushes_(runtime, [this](Reason& reason) { return write(reason); }) {}
  MetadataFile(const MetadataFile&) = delete;
  MetadataFile& operator=(const MetadataFile&) = delete;

  /// Reads the file. A data folder without one gets a new identity. kCorrupt when it is damaged,
  /// kUnsupported when a newer build wrote it.
  bool recover(Reason& reason);
  /// True when recover() found no file.
  [[nodiscard]] bool is_new() const { return is_new_; }

  [[nodiscard]] const Metadata& value() const { return value_; }
  /// Takes a higher term, without a vote.
  void set_term(std::uint64_t term);
  void set_vote(NodeName candidate);

  /// Makes all changes made before the call durable. Callers share one write. After a failure every call
  /// fails until retry().
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

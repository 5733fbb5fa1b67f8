// Proposals waiting for the state machine to apply them.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "consensus/log.h"
#include "runtime/signal.h"

namespace cairnhollow::consensus {

class PendingProposals {
 public:
  explicit PendingProposals(runtime::Runtime& runtime) : runtime_(runtime) {}

  /// Waits until the entry appended at `index` in `term` is applied. kOutcomeUnknown: it may or may not
  /// commit.
  Awaitable<std::optional<std::uint64_t>> wait(std::uint64_t index, std::uint64_t term, TimePoint deadline,
                                               Reason& reason);
  /// Completes the waiters of entries up to `applied_index`.
  void applied(std::uint64_t applied_index, const Log& log);
  /// Fails all waiters with kOutcomeUnknown after leadership is lost.
  void fail_all(const Reason& reason);
  [[nodiscard]] std::size_t size() const { return pending_.size(); }

 private:
  struct Proposal {
    explicit Proposal(runtime::Runtime& runtime) : changed(runtime) {}
    runtime::Signal changed;
    std::uint64_t term = 0;
    bool done = false;
    Reason reason;  ///< set if done without success
  };

  runtime::Runtime& runtime_;
  std::map<std::uint64_t, std::shared_ptr<Proposal>> pending_;  ///< by log index
};

}  // namespace cairnhollow::consensus

// Runs one statement, or opens one transaction, at a backend of the group: chooses it, retries what has
// certainly not run, and says definitely what became of the rest.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "session/forward_messages.h"
#include "session/session_services.h"
#include "session/stateful_pool.h"

namespace cairnhollow::session {

/// What a statement needs beside its text.
struct RunOrder {
  registry::RouteRule route;
  std::shared_ptr<GroupAccess> group;
  ApiKey key;         ///< of the caller; empty where none is asked for
  TenantName tenant;  ///< that the key proved when the statement came
  std::string id;
  std::string text;                       ///< passed on unchanged, unless something prepared is executed
  std::optional<PreparedShape> prepared;  ///< executed with `argument`
  std::string argument;
  bool writes = false;
  SessionValues values;
  SessionCommit committed;  ///< the session's own
  TimePoint arrived{};
  TimePoint deadline{};
  /// Set for the first statement of a transaction, or for a commit without any.
  bool opens_transaction = false;
  bool read_only_transaction = false;
  bool is_forwarded = false;  ///< by another proxy: it is run here or refused
  /// A backend may have run it already: running it once more takes a token of its own.
  bool may_have_run = false;
};

/// A transaction that is open at another proxy.
struct RemotePin {
  std::shared_ptr<ForwardConnection> connection;
  std::uint64_t pin = 0;
};

/// Where a transaction is open: a link that nobody else uses until it is given back, or another proxy.
struct PinnedLink {
  std::shared_ptr<BackendUse> backend;  ///< null for another proxy
  std::shared_ptr<StatefulLink> link;   ///< null for another proxy
  std::optional<RemotePin> remote;
  std::uint64_t epoch = 0;  ///< of the group when it was opened
  bool at_primary = false;  ///< its answers count only while the primary of `epoch` may be used
};

struct RunResult {
  Answer answer;
  std::optional<PinnedLink> pinned;  ///< the transaction is open there
  ServedBy served_by = ServedBy::kProxy;
  bool nothing_run = false;  ///< no backend can have run it, in any attempt
};

class StatementRunner {
 public:
  explicit StatementRunner(SessionServices services) : services_(services) {}

  /// A single statement, or with `opens_transaction` the first one of a transaction.
  Awaitable<RunResult> run(RunOrder order);
  /// A further statement of a transaction, or its commit. A missing answer leaves the link closed.
  Awaitable<Answer> run_pinned(PinnedLink pinned, RunOrder order, bool commits, bool wrote);
  /// Ends a transaction without commit and gives the link back.
  Awaitable<void> roll_back(PinnedLink pinned);
  /// The same, unless nothing is open there any more.
  Awaitable<void> end(PinnedLink pinned);
  void give_back(const PinnedLink& pinned);
  /// Gives the transaction up at once: a commit can't be sent any more.
  void abort(const PinnedLink& pinned);

 private:
  struct Attempt;
  enum class Step : std::uint8_t { kDone, kNext, kWait };

  [[nodiscard]] bool is_worth_waiting(const Attempt& attempt) const;
  /// Until when something is waited for at a backend.
  [[nodiscard]] TimePoint wait_limit(const Attempt& attempt) const;
  /// The same for a backend's gate: who would come through later would be late, and make others late.
  [[nodiscard]] TimePoint gate_limit(const Attempt& attempt) const;

  /// Whether it needs a primary that this proxy does not reach, or may not use for want of a lease.
  [[nodiscard]] bool must_relay(const RunOrder& order) const;
  /// Whether it runs at the primary whatever is known of replicas.
  [[nodiscard]] static GroupWork work_of(const RunOrder& order);
  /// Whether no replica will do.
  [[nodiscard]] static bool needs_primary(const RunOrder& order);
  /// Why nothing of the order may be sent to a backend now, as far as its key goes; asked last before
  /// sending.
  [[nodiscard]] std::optional<Refusal> key_fault(const RunOrder& order) const;
  Awaitable<RunResult> run_here(RunOrder order);
  Awaitable<RunResult> forward(RunOrder order, std::vector<routing::ProxyPointer> proxies);
  /// Waits for the lease as long as it is to be expected and the order can be refused in good time.
  Awaitable<bool> wait_for_lease(std::shared_ptr<GroupAccess> group, TimePoint refuse_at);
  [[nodiscard]] static TimePoint refuse_limit(const RunOrder& order);
  Awaitable<std::optional<RunResult>> forward_to(RunOrder order, routing::ProxyPointer proxy,
                                                 bool& may_try_another, Reason& reason);
  Awaitable<Answer> forward_pinned(RemotePin remote, RunOrder order, bool commits, bool wrote);
  Awaitable<void> end_remote(RemotePin remote);
  [[nodiscard]] ForwardedOrder to_forwarded(const RunOrder& order) const;

  Awaitable<std::shared_ptr<BackendUse>> choose(std::shared_ptr<Attempt> attempt);
  Awaitable<Step> try_backend(std::shared_ptr<Attempt> attempt, std::shared_ptr<BackendUse> backend);
  Awaitable<bool> prepare_link(std::shared_ptr<Attempt> attempt, std::shared_ptr<BackendUse> backend);
  Awaitable<bool> begin_transaction(std::shared_ptr<Attempt> attempt);
  /// Whether it may be sent to a backend now: the key is good, and what runs again has a token. Else the
  /// attempt's answer says why not.
  Awaitable<bool> may_send(std::shared_ptr<Attempt> attempt);
  Awaitable<std::optional<Answer>> exchange(std::shared_ptr<Attempt> attempt);
  Step take_answer(Attempt& attempt, Answer answer);
  /// A primary's success, as it was asked for.
  struct PrimaryAnswer {
    std::uint64_t epoch = 0;  ///< in which it was asked
    TimePoint asked_at{};
    bool commits = false;
  };
  /// Notes where the primary's log is, and what is acknowledged from now on. A commit whose primary was given
  /// up meanwhile is in doubt.
  void take_primary_answer(GroupAccess& group, PrimaryAnswer primary, Answer& answer);
  Step take_loss(Attempt& attempt, const Reason& reason);
  void give_up(Attempt& attempt);
  /// A write, while writes sent before have no answer.
  RunResult refuse_stalled(Attempt& attempt);
  [[nodiscard]] BackendRequest make_request(const RunOrder& order, const StatefulLink& link,
                                            std::optional<Position> required) const;
  void log_slow(const Attempt& attempt);
  void log_refusal(const RunOrder& order, const Answer& answer, const Reason& reason, int attempts);

  SessionServices services_;
};

}  // namespace cairnhollow::session

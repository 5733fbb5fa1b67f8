// Runs one statement, or opens one transaction, at a backend of the group: chooses it, retries what has
// certainly not run, and says definitely what became of the rest.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "registered/locality/permitted_regions.h"
#include "registered/placement/attempt_outcome.h"
#include "registered/placement/placement.h"
#include "registered/placement/retry_after.h"
#include "registered/placement/statement_progress.h"
#include "registered/proxy/forwarding/forward_messages.h"
#include "registered/proxy/links/stateful_pool.h"
#include "registered/proxy/session_services.h"

namespace cairnhollow::registered::proxy {

/// What a statement needs beside its text.
struct RunOrder {
  registry::RouteRule route;
  std::shared_ptr<GroupAccess> group;
  ApiKey key;         ///< of the caller; empty where none is asked for
  TenantName tenant;  ///< that the key proved when the statement came
  /// Where it may go. A transaction's are decided when it begins.
  locality::PermittedRegions allowed;
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
  int rerouted = 0;           ///< how often it was passed on after it had waited here
  /// A backend may have run it already: running it once more takes a token of its own.
  bool may_have_run = false;
  /// It, or the transaction that it opens, changes nothing.
  [[nodiscard]] bool reads() const { return opens_transaction ? read_only_transaction : !writes; }
  /// Its success alone leaves something: a write of its own, which may have run when its answer is lost. What
  /// a transaction's first statement did is gone with the transaction.
  [[nodiscard]] bool keeps_changes() const { return writes && !opens_transaction; }
  /// Before it is tried.
  [[nodiscard]] placement::StatementProgress progress() const {
    return {arrived, deadline, std::chrono::milliseconds(route.target_latency_ms), 0, rerouted, false};
  }
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

/// Why this proxy itself refused a statement, for the log.
struct Unplaced {
  placement::RejectionReason since = placement::RejectionReason::kNone;
  Duration back_in{0};
  std::string passed_over;  ///< the group's backends, each with what stood in the way there
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
  /// Whether nothing may be sent to the transaction's backend any more since its zone is left.
  [[nodiscard]] bool is_off_limits(const PinnedLink& pinned) const {
    return pinned.backend && pinned.backend->is_off_limits(services_.runtime.now());
  }
  /// Gives the transaction up at once: a commit can't be sent any more.
  void abort(const PinnedLink& pinned);

 private:
  struct Attempt;
  /// Proxies to which an order may be sent that is bound to regions.
  struct PeersInside {
    placement::ProxyList serving;
    placement::ProxyList also_serving;
    placement::ProxyList others;
  };
  /// Another proxy that is to run the order, as far as this one knows now. The answer may refer to `inside`.
  std::optional<placement::Forwarding> find_elsewhere(const RunOrder& order, PeersInside& inside) const;
  /// `proxies`, or in `kept` those of them to which the order's text may be sent; none when this proxy is the
  /// first of them.
  const placement::ProxyList* keep_inside(const placement::ProxyList& proxies, const RunOrder& order,
                                          placement::ProxyList& kept) const;
  /// Whether all that could run the order is outside its regions, so that waiting would not help.
  [[nodiscard]] static bool is_shut_out(const RunOrder& order);
  RunResult refuse_outside(RunOrder order);
  /// A read that may not go to the primary has the primary's position asked for, and waits for it where none
  /// is known.
  Awaitable<void> bring_position(std::shared_ptr<Attempt> attempt);
  [[nodiscard]] static PlacementQuestion question_of(const Attempt& attempt);
  /// Where the attempt may go now. Takes the backend over that is to run it.
  placement::Placement look(Attempt& attempt);
  /// Whether it runs at the primary whatever is known of replicas.
  [[nodiscard]] static GroupWork work_of(const RunOrder& order);
  Awaitable<RunResult> run_here(RunOrder order);
  Awaitable<RunResult> forward(RunOrder order, std::vector<subset::ProxyPointer> proxies);
  /// No proxy took the order: waits for the lease as long as that is worth it.
  Awaitable<placement::Placement> await_lease(std::shared_ptr<GroupAccess> group, TimePoint refuse_at,
                                              bool may_try_another);
  Awaitable<std::optional<RunResult>> forward_to(RunOrder order, subset::ProxyPointer proxy,
                                                 bool& may_try_another, Reason& reason);
  Awaitable<Answer> forward_pinned(RemotePin remote, RunOrder order, bool commits, bool wrote);
  Awaitable<void> end_remote(RemotePin remote);
  [[nodiscard]] ForwardedOrder to_forwarded(const RunOrder& order) const;

  /// Whether the order, which has waited here, is passed on now that its primary is known.
  bool is_moved(Attempt& attempt) const;
  /// False when it is refused, or passed on.
  Awaitable<bool> choose(std::shared_ptr<Attempt> attempt);
  Awaitable<placement::NextStep> try_backend(std::shared_ptr<Attempt> attempt);
  Awaitable<bool> prepare_link(std::shared_ptr<Attempt> attempt);
  Awaitable<bool> acquire_link(std::shared_ptr<Attempt> attempt);
  /// Does what the chosen backend's refusal tells of it.
  void apply(const placement::RefusalEffects& effects, Attempt& attempt);
  Awaitable<bool> begin_transaction(std::shared_ptr<Attempt> attempt);
  /// What may have changed while it waited for the backend, but the key.
  [[nodiscard]] placement::SendFacts send_facts(const Attempt& attempt) const;
  [[nodiscard]] placement::SendDecision look_again(const Attempt& attempt,
                                                   const placement::SendFacts& facts) const;
  /// The same, kept as the attempt's last look; after each wait on the way.
  bool may_go_on(Attempt& attempt) const;
  /// The last look before it is sent, at its key as well: what runs again takes a token of its own.
  Awaitable<placement::SendDecision> last_look(std::shared_ptr<Attempt> attempt);
  /// It does not go to the backend for which it has waited.
  placement::NextStep stop_before_sending(Attempt& attempt, bool begun);
  /// Passes over the attempt's backend where that is asked.
  static placement::NextStep apply(const placement::Retry& retry, Attempt& attempt);
  /// Whether the attempt's backend is not cold, or the attempt has a token that may be used now.
  [[nodiscard]] bool holds_cold_token(const Attempt& attempt) const;
  /// Takes a token where the attempt's backend is cold. False: there is none, and the backend's facts say so.
  Awaitable<bool> pass_cold(std::shared_ptr<Attempt> attempt);
  void record_cold_limit(const GroupAccess& group, BackendUse& backend, const AdmissionAnswer& admission);
  void give_cold_token_back(Attempt& attempt);
  /// For a statement that can go nowhere else: it waits for a token where the backend is cold, then at the
  /// gate. True: it holds a place there, and a token that is good now. False: its time ended first,
  /// `rejection` is set where the token was missing.
  Awaitable<bool> enter_pinned(std::shared_ptr<GroupAccess> group, std::shared_ptr<BackendUse> backend,
                               TimePoint deadline, placement::RejectionReason& rejection);
  /// `token`: until when it is good; empty where the backend is not cold. False: its time ended first.
  Awaitable<bool> wait_for_cold_token(std::shared_ptr<GroupAccess> group, std::shared_ptr<BackendUse> backend,
                                      TimePoint deadline, std::optional<TimePoint>& token);
  Awaitable<std::optional<Answer>> exchange(std::shared_ptr<Attempt> attempt);
  placement::NextStep take_answer(Attempt& attempt, Answer answer);
  placement::NextStep take_final_answer(Attempt& attempt, Answer answer);
  /// A primary's success, as it was asked for.
  struct PrimaryAnswer {
    std::uint64_t epoch = 0;  ///< in which it was asked
    TimePoint asked_at{};
    bool commits = false;
  };
  /// Notes where the primary's log is, and what is acknowledged from now on. A commit whose primary was given
  /// up meanwhile is in doubt.
  void take_primary_answer(GroupAccess& group, PrimaryAnswer primary, Answer& answer);
  placement::NextStep take_loss(Attempt& attempt, const Reason& reason);
  /// The attempt's answer: not run, since this stands in the way.
  void refuse(Attempt& attempt, placement::RejectionReason since, Duration back_in);
  /// A write, while writes sent before have no answer.
  RunResult refuse_stalled(Attempt& attempt);
  [[nodiscard]] placement::RejectionReason rejection_in_transaction(const PinnedLink& pinned,
                                                                    const RunOrder& order,
                                                                    bool commits_stall) const;
  [[nodiscard]] BackendRequest make_request(const RunOrder& order, const StatefulLink& link,
                                            std::optional<Position> required) const;
  void log_slow(const Attempt& attempt);
  void log_lost_answer(const Attempt& attempt, const Reason& reason);
  void log_refusal(const RunOrder& order, const Answer& answer, const Reason& reason, int attempts,
                   const Unplaced& unplaced = {});

  SessionServices services_;
};

}  // namespace cairnhollow::registered::proxy

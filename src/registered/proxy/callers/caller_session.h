// One caller's session: its values, prepared statements and transaction, from its first line to its end.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "registered/protocol/caller_protocol.h"
#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/statement_runner.h"

namespace cairnhollow::registered::proxy {

class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(SessionServices services, std::shared_ptr<CallerConnection> caller)
      : services_(services), runner_(services), caller_(std::move(caller)) {}

  /// Until the caller ends it, goes away, or is let go.
  Awaitable<void> run();

  /// A statement was read and is not answered yet.
  [[nodiscard]] bool is_answering() const { return answering_; }
  /// Whether nothing is asked and no transaction is open.
  [[nodiscard]] bool is_idle() const { return !answering_ && !transaction_; }
  /// Gives up a transaction that has rested for longer than `limit`; the caller hears of it with its next
  /// statement.
  void end_resting_transaction(TimePoint now, Duration limit);
  /// Gives up a transaction that is open in a zone that is left, unless a statement of it is being answered.
  void end_evacuated_transaction();
  /// Gives up the transaction that is open, unless a statement of it is being answered.
  void abort_transaction();
  /// Ends the session now, or after the answer that is owed.
  void let_go();
  /// Ends the session after its next answer outside a transaction: then its caller asks nothing.
  void let_go_after_answer() { leaving_ = true; }

 private:
  struct Transaction {
    bool read_only = false;
    bool failed = false;
    bool wrote = false;
    registry::RouteRule route;
    std::shared_ptr<GroupAccess> group;
    locality::PermittedRegions allowed;  ///< as it began: a changed document binds the next one
    std::optional<PinnedLink> pinned;    ///< from the first statement on
    TimePoint last_used{};
    std::string failure;  ///< why it was given up, not yet told
  };

  Awaitable<bool> open();
  /// Whether the session's statements are likely to be served, here or elsewhere.
  [[nodiscard]] bool may_open() const;
  /// Whether the caller may have a session on the route; else why not. A key that is not in this proxy's
  /// document may be newer than that: control is asked before it is refused.
  Awaitable<std::optional<Refusal>> check_key();
  /// The tenant that the session's key proves now; empty with the refusal to answer. Ends the session after
  /// that.
  [[nodiscard]] bool find_tenant(StatementRequest& order, Answer& refusal);
  /// Refused because this proxy does not reach the group's primary, or may not use it, and reached no other
  /// proxy that does. The session is ended then, so that its caller comes back through another proxy: on this
  /// one every further attempt would meet the same.
  [[nodiscard]] bool is_unserved_here(const Answer& answer);
  Awaitable<Answer> handle(Statement statement);
  Answer begin(const Statement& statement);
  Awaitable<Answer> run_single(Statement statement);
  Awaitable<Answer> run_in_transaction(Statement statement);
  Awaitable<Answer> commit(Statement statement);
  Awaitable<Answer> roll_back();
  Answer set_value(const Statement& statement);
  Answer prepare(const Statement& statement);
  Answer deallocate(const Statement& statement);

  /// Whether the tenant may begin one more operation now; else the refusal to answer. Sets the order's token.
  Awaitable<bool> admit(const StatementRequest& order, std::optional<TimePoint>& token, Answer& refusal);
  /// Runs an operation, or opens a transaction, if its tenant may begin one.
  Awaitable<RunResult> run_admitted(StatementRequest order);
  /// The route and group that bind now; empty with the refusal to answer.
  std::optional<StatementRequest> make_order(const Statement& statement, Answer& refusal);
  [[nodiscard]] bool find_shape(const Statement& statement, StatementRequest& order) const;
  [[nodiscard]] Answer refuse(Refusal refusal, std::string detail) const;
  [[nodiscard]] Answer done() const;
  [[nodiscard]] TransactionState state() const;
  Awaitable<void> end_transaction();
  void record_committed(const StatementRequest& order, const Answer& answer);

  SessionServices services_;
  StatementRunner runner_;
  std::shared_ptr<CallerConnection> caller_;
  DatabaseName database_;
  ApiKey key_;
  SessionValues values_;
  std::map<std::string, PreparedShape> prepared_;
  std::optional<Transaction> transaction_;
  SessionCommit committed_;
  GroupName committed_in_;
  ServedBy served_by_ = ServedBy::kProxy;
  bool answering_ = false;
  bool leaving_ = false;
  bool answered_since_leaving_ = false;
};

}  // namespace cairnhollow::registered::proxy

// A caller's session: its session values, prepared statements and transaction.
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

  /// Serves the caller until it ends the session, disconnects, or the session is closed by this proxy.
  Awaitable<void> run();

  /// Refuses the caller because this proxy has as many sessions as it may have.
  Awaitable<void> refuse_at_limit();

  /// Whether a statement has been read and not been answered yet.
  [[nodiscard]] bool is_answering() const { return answering_; }
  /// Whether no statement is being answered and no transaction is open.
  [[nodiscard]] bool is_idle() const { return !answering_ && !transaction_; }
  /// Aborts the transaction if it has been idle for `limit` or longer. The next statement is answered with
  /// the reason.
  void abort_idle_transaction(TimePoint now, Duration limit);
  /// Aborts a transaction in a zone that evacuation has made off limits, unless a statement is being
  /// answered.
  void abort_evacuated_transaction();
  /// Aborts the open transaction, unless a statement is being answered.
  void abort_transaction();
  /// Closes the session now, or after the pending answer if a statement is being answered.
  void close_session();
  /// Closes the session after its next answer outside a transaction, when no statement of the caller is
  /// pending.
  void close_after_answer() { closing_ = true; }

 private:
  struct Transaction {
    bool read_only = false;
    bool failed = false;
    bool wrote = false;
    StatementScope scope;              ///< as of the begin; document changes apply to later transactions
    std::optional<PinnedLink> pinned;  ///< set by the first statement
    TimePoint last_used{};
    std::string failure;  ///< why it was aborted; empty once the caller has been told
  };

  Awaitable<bool> open();
  /// Waits until the session may open, while a lease is expected and the session's wait lasts.
  Awaitable<void> await_lease(TimePoint arrived);
  /// Whether the session's statements are likely to be served, here or elsewhere.
  [[nodiscard]] bool may_open() const;
  /// Returns std::nullopt if the caller may open a session, otherwise why not. A key that is missing in
  /// this proxy's document may be newer than the document, so control is asked before the key is refused.
  Awaitable<std::optional<placement::RejectionReason>> check_key(TimePoint asked_at);
  /// Sets the request's key and tenant if the route requires a key. Returns false and sets `refusal` if the
  /// key does not prove a tenant now; the session is then closed after that answer.
  [[nodiscard]] bool authenticate(StatementRequest& request, Answer& refusal);
  /// Whether the statement was refused because this proxy can't reach, or may not use, the group's primary
  /// and reached no other proxy that can. Further attempts here would fail alike, so the session is then
  /// closed and the caller reconnects through another proxy.
  [[nodiscard]] bool needs_another_proxy(const Answer& answer);
  Awaitable<Answer> handle(Statement statement);
  Answer begin(const Statement& statement);
  Awaitable<Answer> run_single(Statement statement);
  Awaitable<Answer> run_in_transaction(Statement statement);
  Awaitable<Answer> commit(Statement statement);
  Awaitable<Answer> roll_back();
  Answer set_value(const Statement& statement);
  Answer prepare(const Statement& statement);
  Answer deallocate(const Statement& statement);

  /// Whether the tenant may begin one more operation now. Sets `token` to the expiry of the token taken, if
  /// any, and `refusal` if the result is false.
  Awaitable<bool> admit(const StatementRequest& request, std::optional<TimePoint>& token, Answer& refusal);
  /// Runs an operation or opens a transaction, if the tenant's limit admits it.
  Awaitable<RunResult> run_admitted(StatementRequest request);
  /// Makes a request with the current route and group, or with those of the open transaction. Returns
  /// std::nullopt and sets `refusal` if the statement can't be run.
  std::optional<StatementRequest> make_request(const Statement& statement, Answer& refusal);
  [[nodiscard]] bool resolve_prepared(const Statement& statement, StatementRequest& request) const;
  [[nodiscard]] Answer refuse(Refusal refusal, std::string detail) const;
  /// Refuses a statement for which no request can be made, and logs it.
  [[nodiscard]] Answer refuse_unrouted(const Statement& statement, Refusal refusal,
                                       placement::RejectionReason since, std::string detail) const;
  /// `waited`: since the caller's first line.
  void log_refused_session(Refusal refusal, placement::RejectionReason since, Duration waited) const;
  [[nodiscard]] Answer success_answer() const;
  [[nodiscard]] TransactionState state() const;
  Awaitable<void> end_transaction();
  /// Records a commit in the group that produced the answer, which another proxy's document may have chosen.
  void record_committed(const GroupName& group, const Answer& answer);

  SessionServices services_;
  StatementRunner runner_;
  std::shared_ptr<CallerConnection> caller_;
  DatabaseName database_;
  ApiKey key_;
  SessionValues values_;
  Duration waited_to_open_{0};  ///< time that the caller waited for its session; 0 after the first statement
  std::map<std::string, PreparedShape> prepared_;
  std::optional<Transaction> transaction_;
  std::map<GroupName, SessionCommit> committed_;  ///< the latest commit in each group
  ServedBy served_by_ = ServedBy::kProxy;
  bool answering_ = false;
  bool closing_ = false;
  bool answered_since_closing_ = false;
};

}  // namespace cairnhollow::registered::proxy

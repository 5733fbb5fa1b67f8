#include "declared/backend/http_backend.h"

#include <fmt/format.h>

#include <algorithm>

#include "declared/backend/contract_codec.h"

namespace cairnhollow::declared::backend {

namespace {

/// The server is given slightly less than the remaining time, so that its answer still arrives before the
/// deadline.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(10);
constexpr int kAnswerMarginDivisor = 5;  ///< at most one part in this many of the remaining time

class HttpBackendConnection final : public BackendConnection {
 public:
  HttpBackendConnection(runtime::Runtime& runtime, BackendName backend,
                        std::shared_ptr<runtime::HttpConnection> http)
      : runtime_(runtime),
        backend_(std::move(backend)),
        http_(std::move(http)),
        connection_key_(runtime.random().next()) {}

  Awaitable<bool> open_for_statements(TimePoint deadline, Reason& reason) {
    co_return co_await call_without_result(target::kConnection, "{}", "open_connection", deadline, reason);
  }

  Awaitable<std::optional<BackendStatus>> status(TimePoint deadline, Reason& reason) override {
    const auto answer =
        co_await call<StatusAnswer>(target::kStatus, "", std::nullopt, "status", deadline, reason);
    if (!answer || !std::holds_alternative<BackendStatus>(*answer)) co_return std::nullopt;
    co_return std::get<BackendStatus>(*answer);
  }

  Awaitable<ExecuteAnswer> execute(Statement statement, Requirements requirements, Reason& reason) override {
    const StatementCall statement_call{TransactionId(), std::move(statement), with_margin(requirements)};
    co_return co_await call_execute(target::kExecute, encode_call(statement_call, runtime_.now()),
                                    requirements, "execute", reason);
  }

  Awaitable<std::optional<TransactionId>> begin(DatabaseName database, Requirements requirements,
                                                Reason& reason) override {
    const BeginCall begin_call{std::move(database), with_margin(requirements)};
    const auto answer = co_await call<BeginAnswer>(target::kBegin, encode_call(begin_call, runtime_.now()),
                                                   std::nullopt, "begin", requirements.deadline, reason);
    if (!answer || !std::holds_alternative<TransactionBegun>(*answer)) co_return std::nullopt;
    co_return std::get<TransactionBegun>(*answer).transaction;
  }

  Awaitable<ExecuteAnswer> execute_in(TransactionId transaction, Statement statement,
                                      Requirements requirements, Reason& reason) override {
    const StatementCall statement_call{std::move(transaction), std::move(statement),
                                       with_margin(requirements)};
    co_return co_await call_execute(target::kExecuteIn, encode_call(statement_call, runtime_.now()),
                                    requirements, "execute_in", reason);
  }

  Awaitable<ExecuteAnswer> commit(TransactionId transaction, Requirements requirements,
                                  Reason& reason) override {
    const FinishCall finish_call{std::move(transaction), with_margin(requirements)};
    co_return co_await call_execute(target::kCommit, encode_call(finish_call, runtime_.now()), requirements,
                                    "commit", reason);
  }

  Awaitable<bool> rollback(TransactionId transaction, TimePoint deadline, Reason& reason) override {
    FinishCall finish_call;
    finish_call.transaction = std::move(transaction);
    finish_call.requirements.deadline = deadline;
    const auto body = encode_call(finish_call, runtime_.now());
    co_return co_await call_without_result(target::kRollback, body, "rollback", deadline, reason);
  }

  Awaitable<std::optional<FenceAnswer>> fence(std::uint64_t term, std::string owner, TimePoint deadline,
                                              Reason& reason) override {
    const auto body = encode_call(TermCall{term, std::move(owner)}, runtime_.now());
    const auto answer =
        co_await call<FenceReply>(target::kFence, body, std::nullopt, "fence", deadline, reason);
    if (!answer || !std::holds_alternative<FenceAnswer>(*answer)) co_return std::nullopt;
    co_return std::get<FenceAnswer>(*answer);
  }

  Awaitable<bool> promote(std::uint64_t term, std::string owner, TimePoint deadline,
                          Reason& reason) override {
    const auto body = encode_call(TermCall{term, std::move(owner)}, runtime_.now());
    co_return co_await call_without_result(target::kPromote, body, "promote", deadline, reason);
  }

  Awaitable<bool> follow(std::uint64_t term, BackendName primary, Endpoint endpoint, TimePoint deadline,
                         Reason& reason) override {
    const auto body = encode_call(FollowCall{term, std::move(primary), std::move(endpoint)}, runtime_.now());
    co_return co_await call_without_result(target::kFollow, body, "follow", deadline, reason);
  }

  Awaitable<std::optional<ResolveAnswer>> resolve(RequestId request, std::uint64_t term, TimePoint deadline,
                                                  Reason& reason) override {
    const auto server_deadline = deadline - answer_margin(deadline);
    const auto body = encode_call(ResolveCall{request, term, server_deadline}, runtime_.now());
    const std::optional<RequestId> echoed(request);
    const auto answer =
        co_await call<ResolveReply>(target::kResolve, body, echoed, "resolve", deadline, reason);
    if (!answer || !std::holds_alternative<ResolveAnswer>(*answer)) co_return std::nullopt;
    co_return std::get<ResolveAnswer>(*answer);
  }

  [[nodiscard]] bool is_open() const override { return !broken_ && http_->is_open(); }
  void close() override {
    broken_ = true;
    http_->close();
  }
  [[nodiscard]] std::string peer() const override { return backend_.value; }

 private:
  [[nodiscard]] Duration answer_margin(TimePoint deadline) const {
    const auto left = deadline - runtime_.now();
    return std::clamp<Duration>(left / kAnswerMarginDivisor, Duration(0), kAnswerMargin);
  }

  [[nodiscard]] Requirements with_margin(Requirements requirements) const {
    requirements.deadline -= answer_margin(requirements.deadline);
    return requirements;
  }

  Awaitable<bool> call_without_result(std::string target, std::string body, std::string step,
                                      TimePoint deadline, Reason& reason) {
    const auto answer = co_await call<DoneAnswer>(target, body, std::nullopt, step, deadline, reason);
    co_return answer&& std::holds_alternative<Done>(*answer);
  }

  Awaitable<ExecuteAnswer> call_execute(std::string target, std::string body, Requirements requirements,
                                        std::string step, Reason& reason) {
    auto sent = runtime::SendState::kNotSent;
    const auto text =
        co_await exchange(std::move(target), std::move(body), step, requirements.deadline, sent, reason);
    if (!text) co_return Failed{sent};
    auto answer = decode_answer<ExecuteAnswer>(*text, requirements.request_id, reason);
    if (!answer) {
      close_after_violation(step, reason);
      co_return Failed{runtime::SendState::kMaybeSent};
    }
    set_reason_peer(reason);
    co_return std::move(*answer);
  }

  template <class Answer>
  Awaitable<std::optional<Answer>> call(std::string target, std::string body, std::optional<RequestId> echoed,
                                        std::string step, TimePoint deadline, Reason& reason) {
    auto sent = runtime::SendState::kNotSent;
    const auto text = co_await exchange(std::move(target), std::move(body), step, deadline, sent, reason);
    if (!text) co_return std::nullopt;
    auto answer = decode_answer<Answer>(*text, echoed, reason);
    if (!answer) close_after_violation(step, reason);
    set_reason_peer(reason);
    co_return answer;
  }

  /// Performs one HTTP exchange. Returns the body of the answer if it belongs to this exchange.
  Awaitable<std::optional<std::string>> exchange(std::string target, std::string body, std::string step,
                                                 TimePoint deadline, runtime::SendState& sent,
                                                 Reason& reason) {
    if (!is_open() || exchanging_) {
      const auto* detail =
          exchanging_ ? "another exchange is in progress on this connection" : "the connection was closed";
      reason = Reason{ReasonCode::kConnectionLost, std::move(step), backend_.value, detail};
      co_return std::nullopt;
    }
    const auto exchange_id = fmt::format("{:016x}-{}", connection_key_, ++exchanges_);
    runtime::HttpRequest request;
    request.method = body.empty() ? runtime::HttpMethod::kGet : runtime::HttpMethod::kPost;
    request.target = std::move(target);
    request.headers.fields[kExchangeHeader] = exchange_id;
    request.headers.fields["content-type"] = "application/json";
    request.body = std::move(body);
    exchanging_ = true;
    auto response = co_await http_->exchange(std::move(request), deadline, sent, reason);
    exchanging_ = false;
    if (!response) {
      close();
      set_reason_peer(reason);
      co_return std::nullopt;
    }
    sent = runtime::SendState::kMaybeSent;
    if (response->headers.find(kExchangeHeader) != exchange_id) {
      reason = Reason{ReasonCode::kConnectionLost, "", "", "the answer belongs to another exchange"};
      close_after_violation(step, reason);
      co_return std::nullopt;
    }
    co_return std::move(response->body);
  }

  /// The peer violated the contract, so later data on this connection cannot be trusted either.
  void close_after_violation(const std::string& step, Reason& reason) {
    reason.code = ReasonCode::kConnectionLost;
    reason.step = step;
    set_reason_peer(reason);
    close();
  }

  void set_reason_peer(Reason& reason) const {
    if (reason.failed() && reason.peer.empty()) reason.peer = backend_.value;
  }

  runtime::Runtime& runtime_;
  BackendName backend_;
  std::shared_ptr<runtime::HttpConnection> http_;
  std::uint64_t connection_key_;  ///< distinguishes this connection's exchange ids from those of others
  std::uint64_t exchanges_ = 0;
  bool exchanging_ = false;
  bool broken_ = false;
};

class HttpBackendConnector final : public BackendConnector {
 public:
  HttpBackendConnector(runtime::Runtime& runtime, ConnectionPurpose purpose)
      : runtime_(runtime), purpose_(purpose) {}

  Awaitable<std::shared_ptr<BackendConnection>> open(BackendName backend, Endpoint endpoint,
                                                     TimePoint deadline, Reason& reason) override {
    auto http = co_await runtime_.http().connect(std::move(endpoint), deadline, reason);
    if (!http) co_return nullptr;
    auto connection = std::make_shared<HttpBackendConnection>(runtime_, std::move(backend), std::move(http));
    if (purpose_ == ConnectionPurpose::kStatements) {
      const bool opened = co_await connection->open_for_statements(deadline, reason);
      if (!opened) {
        connection->close();
        co_return nullptr;
      }
    }
    co_return connection;
  }

 private:
  runtime::Runtime& runtime_;
  ConnectionPurpose purpose_;
};

}  // namespace

std::unique_ptr<BackendConnector> make_http_backend_connector(runtime::Runtime& runtime,
                                                              ConnectionPurpose purpose) {
  return std::make_unique<HttpBackendConnector>(runtime, purpose);
}

}  // namespace cairnhollow::declared::backend

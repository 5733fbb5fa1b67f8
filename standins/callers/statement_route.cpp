#include "standins/callers/statement_route.h"

#include <fmt/format.h>

#include "declared/backend/http_backend.h"
#include "standins/callers/proxy_client.h"

namespace cairnhollow::standins::callers {

namespace {

constexpr Duration kStatementLimit = std::chrono::seconds(5);
constexpr Duration kWriteLimit = std::chrono::seconds(10);
/// What a write appends.
constexpr const char* kWrittenValue = "value";

bool is_write(const RoutedStatement& statement) {
  return statement.kind == declared::backend::StatementKind::kWrite;
}

std::string text_of(const RoutedStatement& statement) {
  return is_write(statement) ? make_append_text(statement.key, kWrittenValue) : make_get_text(statement.key);
}

class ProxyRoute : public StatementRoute {
 public:
  ProxyRoute(runtime::Runtime& runtime, Endpoint proxy, const RoutedStatement& statement, SessionName session)
      : client_(runtime, std::move(proxy)), session_(std::move(session)) {
    request_.database = statement.key.database;
    request_.partition_key = statement.key.partition_key;
    request_.kind = is_write(statement) ? StatementKind::kWrite : StatementKind::kRead;
    request_.text = text_of(statement);
    request_.time_limit = kStatementLimit;
    request_.session_token = statement.session_token;
  }

  Awaitable<bool> run(Reason& reason) override {
    if (request_.kind == StatementKind::kWrite) {
      request_.answered_up_to = number_;
      request_.id = RequestId{session_, ++number_};
    }
    const CallAnswer answer = co_await client_.execute(request_);
    reason = answer.reason;
    co_return answer.outcome == CallOutcome::kDone;
  }

 private:
  ProxyClient client_;
  SessionName session_;
  std::uint64_t number_ = 0;  ///< of the last write
  StatementRequest request_;
};

class DirectRoute : public StatementRoute {
 public:
  DirectRoute(runtime::Runtime& runtime, Endpoint backend, const RoutedStatement& statement,
              SessionName session)
      : runtime_(runtime),
        connector_(declared::backend::make_http_backend_connector(runtime)),
        endpoint_(std::move(backend)),
        session_(std::move(session)) {
    statement_.kind = statement.kind;
    statement_.database = DatabaseName(statement.key.database);
    statement_.partition_key = statement.key.partition_key;
    statement_.text = text_of(statement);
  }

  Awaitable<bool> run(Reason& reason) override {
    const TimePoint deadline = runtime_.now() + kStatementLimit;
    const bool open = co_await ensure_open(deadline, reason);
    if (!open) co_return false;
    declared::backend::Requirements requirements;
    requirements.deadline = deadline;
    if (statement_.kind == declared::backend::StatementKind::kWrite) {
      requirements.term = term_;
      requirements.answered_up_to = number_;
      requirements.request_id = RequestId{session_, ++number_};
    }
    const auto answer = co_await connection_->execute(statement_, requirements, reason);
    co_return std::holds_alternative<declared::backend::Rows>(answer) ||
        std::holds_alternative<declared::backend::Written>(answer);
  }

 private:
  Awaitable<bool> ensure_open(TimePoint deadline, Reason& reason) {
    if (connection_ != nullptr && connection_->is_open()) co_return true;
    const BackendName unnamed;
    connection_ = co_await connector_->open(unnamed, endpoint_, deadline, reason);
    if (connection_ == nullptr) co_return false;
    if (statement_.kind == declared::backend::StatementKind::kRead) co_return true;
    const auto status = co_await connection_->status(deadline, reason);
    if (!status) co_return false;
    term_ = status->term;
    co_return true;
  }

  runtime::Runtime& runtime_;
  std::unique_ptr<declared::backend::BackendConnector> connector_;
  Endpoint endpoint_;
  SessionName session_;
  std::uint64_t number_ = 0;  ///< of the last write
  std::uint64_t term_ = 0;
  declared::backend::Statement statement_;
  std::shared_ptr<declared::backend::BackendConnection> connection_;
};

}  // namespace

std::unique_ptr<StatementRoute> make_proxy_route(runtime::Runtime& runtime, Endpoint proxy,
                                                 const RoutedStatement& statement, SessionName session) {
  return std::make_unique<ProxyRoute>(runtime, std::move(proxy), statement, std::move(session));
}

std::unique_ptr<StatementRoute> make_direct_route(runtime::Runtime& runtime, Endpoint backend,
                                                  const RoutedStatement& statement, SessionName session) {
  return std::make_unique<DirectRoute>(runtime, std::move(backend), statement, std::move(session));
}

Awaitable<std::string> write_record(runtime::Runtime& runtime, Endpoint proxy, RecordKey key,
                                    SessionName session, Reason& reason) {
  ProxyClient client(runtime, std::move(proxy));
  StatementRequest request;
  request.database = key.database;
  request.partition_key = key.partition_key;
  request.kind = StatementKind::kWrite;
  request.text = make_append_text(key, kWrittenValue);
  request.time_limit = kWriteLimit;
  request.id = RequestId{session, 1};
  const CallAnswer answer = co_await client.execute(request);
  reason = answer.reason;
  co_return answer.outcome == CallOutcome::kDone ? answer.session_token : std::string();
}

}  // namespace cairnhollow::standins::callers

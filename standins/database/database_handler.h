// The server's HTTP surface: the backend contract, replication pulls and the admin call.
#pragma once

#include "runtime/runtime.h"
#include "standins/database/answer_faults.h"
#include "standins/database/connection_table.h"
#include "standins/database/database_member.h"
#include "standins/database/statement_service.h"
#include "standins/database/tunables.h"

namespace cairnhollow::standins::database {

class DatabaseHandler final : public runtime::HttpHandler {
 public:
  /// All arguments outlive the handler, which lives until the process ends.
  DatabaseHandler(runtime::Runtime& runtime, const DatabaseSettings& settings, Tunables& tunables,
                  DatabaseMember& member);

  Awaitable<runtime::HttpResponse> handle(runtime::HttpRequest request,
                                          runtime::HttpConnectionId connection) override;
  void connection_closed(runtime::HttpConnectionId connection) override;

  /// Exchanges being handled, replication pulls apart, and open transactions.
  [[nodiscard]] std::size_t work_in_flight() const { return in_flight_ + connections_.open_transactions(); }

 private:
  Awaitable<runtime::HttpResponse> dispatch(runtime::HttpRequest request,
                                            runtime::HttpConnectionId connection);
  Awaitable<runtime::HttpResponse> handle_statement(runtime::HttpRequest request,
                                                    runtime::HttpConnectionId connection);
  Awaitable<runtime::HttpResponse> handle_failover(runtime::HttpRequest request);
  Awaitable<runtime::HttpResponse> handle_pull(runtime::HttpRequest request);
  Awaitable<runtime::HttpResponse> handle_open(runtime::HttpConnectionId connection);
  Awaitable<runtime::HttpResponse> handle_resolve(runtime::HttpRequest request);
  [[nodiscard]] runtime::HttpResponse handle_status() const;
  runtime::HttpResponse handle_faults(const runtime::HttpRequest& request);

  runtime::Runtime& runtime_;
  const DatabaseSettings& settings_;
  Tunables& tunables_;
  DatabaseMember& member_;
  ConnectionTable connections_;
  StatementService statements_;
  AnswerFaults faults_;
  std::size_t in_flight_ = 0;
};

}  // namespace cairnhollow::standins::database

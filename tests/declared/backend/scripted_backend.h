// Test double of a backend whose connections follow a script, without a server.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "declared/backend/backend_connection.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::backend {

struct BackendScript {
  Duration opening_delay = std::chrono::milliseconds(10);
  Duration statement_duration = std::chrono::milliseconds(4);
  std::optional<Reason> opening_failure;
  bool busy = false;               ///< every statement is answered with Busy
  std::uint32_t slots = 1000;      ///< beyond these statements are answered with Busy
  bool break_connections = false;  ///< every statement fails and closes its connection
  std::uint32_t limit = 1000;      ///< connections beyond this are refused
  std::uint32_t open = 0;          ///< currently open connections
  std::uint32_t running = 0;       ///< currently running statements
  std::uint32_t most_running = 0;
  std::uint32_t openings = 0;           ///< attempts to open a connection
  std::vector<std::string> statements;  ///< texts in the order of their start
};

class ScriptedConnection final : public BackendConnection {
 public:
  ScriptedConnection(runtime::Runtime& runtime, BackendScript& script);
  ~ScriptedConnection() override { close(); }

  Awaitable<std::optional<BackendStatus>> status(TimePoint deadline, Reason& reason) override;
  Awaitable<ExecuteAnswer> execute(Statement statement, Requirements requirements, Reason& reason) override;
  Awaitable<std::optional<TransactionId>> begin(DatabaseName database, Requirements requirements,
                                                Reason& reason) override;
  Awaitable<ExecuteAnswer> execute_in(TransactionId transaction, Statement statement,
                                      Requirements requirements, Reason& reason) override;
  Awaitable<ExecuteAnswer> commit(TransactionId transaction, Requirements requirements,
                                  Reason& reason) override;
  Awaitable<bool> rollback(TransactionId transaction, TimePoint deadline, Reason& reason) override;
  Awaitable<std::optional<FenceAnswer>> fence(std::uint64_t term, std::string owner, TimePoint deadline,
                                              Reason& reason) override;
  Awaitable<bool> promote(std::uint64_t term, std::string owner, TimePoint deadline, Reason& reason) override;
  Awaitable<bool> follow(std::uint64_t term, BackendName primary, Endpoint endpoint, TimePoint deadline,
                         Reason& reason) override;
  Awaitable<std::optional<ResolveAnswer>> resolve(RequestId request, std::uint64_t term, TimePoint deadline,
                                                  Reason& reason) override;
  [[nodiscard]] bool is_open() const override { return open_; }
  void close() override;
  [[nodiscard]] std::string peer() const override { return "scripted"; }

 private:
  Awaitable<ExecuteAnswer> run(std::string text, Reason& reason);

  runtime::Runtime& runtime_;
  BackendScript& script_;
  bool open_ = true;
};

class ScriptedConnector final : public BackendConnector {
 public:
  ScriptedConnector(runtime::Runtime& runtime, BackendScript& script) : runtime_(runtime), script_(script) {}
  Awaitable<std::shared_ptr<BackendConnection>> open(BackendName backend, Endpoint endpoint,
                                                     TimePoint deadline, Reason& reason) override;

 private:
  runtime::Runtime& runtime_;
  BackendScript& script_;
};

}  // namespace cairnhollow::declared::backend

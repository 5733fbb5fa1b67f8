#include "tests/declared/backend/scripted_backend.h"

#include <algorithm>

namespace cairnhollow::declared::backend {

ScriptedConnection::ScriptedConnection(runtime::Runtime& runtime, BackendScript& script)
    : runtime_(runtime), script_(script) {
  ++script_.open;
}

void ScriptedConnection::close() {
  if (open_) --script_.open;
  open_ = false;
}

Awaitable<ExecuteAnswer> ScriptedConnection::run(std::string text, Reason& reason) {
  script_.statements.push_back(std::move(text));
  if (script_.busy || script_.running >= script_.slots) {
    reason = Reason{ReasonCode::kOverloaded, "take_slot", "scripted", "all slots are in use"};
    co_return Busy{std::chrono::milliseconds(1)};
  }
  ++script_.running;
  script_.most_running = std::max(script_.most_running, script_.running);
  co_await runtime_.sleep_for(script_.statement_duration);
  --script_.running;
  if (script_.break_connections) {
    close();
    reason = Reason{ReasonCode::kConnectionLost, "execute", "scripted", "the connection was lost"};
    co_return Failed{runtime::SendState::kMaybeSent};
  }
  co_return Written{};
}

Awaitable<ExecuteAnswer> ScriptedConnection::execute(Statement statement, Requirements /*requirements*/,
                                                     Reason& reason) {
  co_return co_await run(std::move(statement.text), reason);
}

Awaitable<std::optional<TransactionId>> ScriptedConnection::begin(DatabaseName /*database*/,
                                                                  Requirements /*requirements*/,
                                                                  Reason& /*reason*/) {
  co_return TransactionId("t");
}

Awaitable<ExecuteAnswer> ScriptedConnection::execute_in(TransactionId /*transaction*/, Statement statement,
                                                        Requirements /*requirements*/, Reason& reason) {
  co_return co_await run(std::move(statement.text), reason);
}

Awaitable<ExecuteAnswer> ScriptedConnection::commit(TransactionId /*transaction*/,
                                                    Requirements /*requirements*/, Reason& reason) {
  co_return co_await run("commit", reason);
}

Awaitable<bool> ScriptedConnection::rollback(TransactionId /*transaction*/, TimePoint /*deadline*/,
                                             Reason& /*reason*/) {
  co_return true;
}

Awaitable<std::optional<BackendStatus>> ScriptedConnection::status(TimePoint /*deadline*/,
                                                                   Reason& /*reason*/) {
  co_return std::nullopt;
}

Awaitable<std::optional<FenceAnswer>> ScriptedConnection::fence(std::uint64_t /*term*/, std::string /*owner*/,
                                                                TimePoint /*deadline*/, Reason& /*reason*/) {
  co_return std::nullopt;
}

Awaitable<bool> ScriptedConnection::promote(std::uint64_t /*term*/, std::string /*owner*/,
                                            TimePoint /*deadline*/, Reason& /*reason*/) {
  co_return false;
}

Awaitable<bool> ScriptedConnection::follow(std::uint64_t /*term*/, BackendName /*primary*/,
                                           Endpoint /*endpoint*/, TimePoint /*deadline*/,
                                           Reason& /*reason*/) {
  co_return false;
}

Awaitable<std::optional<ResolveAnswer>> ScriptedConnection::resolve(RequestId /*request*/,
                                                                    std::uint64_t /*term*/,
                                                                    TimePoint /*deadline*/,
                                                                    Reason& /*reason*/) {
  co_return std::nullopt;
}

Awaitable<std::shared_ptr<BackendConnection>> ScriptedConnector::open(BackendName /*backend*/,
                                                                      Endpoint /*endpoint*/,
                                                                      TimePoint /*deadline*/,
                                                                      Reason& reason) {
  ++script_.openings;
  co_await runtime_.sleep_for(script_.opening_delay);
  if (script_.opening_failure) {
    reason = *script_.opening_failure;
    co_return nullptr;
  }
  if (script_.open >= script_.limit) {
    reason =
        Reason{ReasonCode::kOverloaded, "open_connection", "scripted", "the connection limit is reached"};
    co_return nullptr;
  }
  co_return std::make_shared<ScriptedConnection>(runtime_, script_);
}

}  // namespace cairnhollow::declared::backend

// Runs statements, transactions and resolve on one member: its limits, the request ledger's answers and
// the conditions under which a statement may run here.
#pragma once

#include <optional>

#include "declared/backend/contract_codec.h"
#include "runtime/runtime.h"
#include "standins/database/connection_table.h"
#include "standins/database/database_member.h"
#include "standins/database/slot_limiter.h"
#include "standins/database/statement_text.h"

namespace cairnhollow::standins::database {

class StatementService {
 public:
  /// All arguments outlive the service, which lives until the process ends.
  StatementService(runtime::Runtime& runtime, DatabaseMember& member, ConnectionTable& connections,
                   const Tunables& tunables)
      : runtime_(runtime),
        member_(member),
        connections_(connections),
        tunables_(tunables),
        slots_(tunables) {}

  // The calls of docs/BACKEND_CONTRACT.md. `reason` explains every answer but Rows and Written.
  Awaitable<declared::backend::ExecuteAnswer> execute(runtime::HttpConnectionId connection,
                                                      declared::backend::StatementCall call, Reason& reason);
  Awaitable<declared::backend::BeginAnswer> begin(runtime::HttpConnectionId connection,
                                                  declared::backend::BeginCall call, Reason& reason);
  Awaitable<declared::backend::ExecuteAnswer> execute_in(runtime::HttpConnectionId connection,
                                                         declared::backend::StatementCall call,
                                                         Reason& reason);
  Awaitable<declared::backend::ExecuteAnswer> commit(runtime::HttpConnectionId connection,
                                                     declared::backend::FinishCall call, Reason& reason);
  declared::backend::DoneAnswer rollback(runtime::HttpConnectionId connection,
                                         const declared::backend::FinishCall& call, Reason& reason);
  Awaitable<declared::backend::ResolveReply> resolve(declared::backend::ResolveCall call, Reason& reason);

  [[nodiscard]] std::uint32_t slots_in_use() const { return slots_.in_use(); }

 private:
  using MaybeAnswer = std::optional<declared::backend::ExecuteAnswer>;

  Awaitable<declared::backend::ExecuteAnswer> read(ParsedStatement statement,
                                                   declared::backend::Requirements requirements,
                                                   Reason& reason);
  Awaitable<MaybeAnswer> check_read(declared::backend::Requirements requirements, Reason& reason);
  Awaitable<declared::backend::ExecuteAnswer> write(ParsedStatement statement,
                                                    declared::backend::Requirements requirements,
                                                    Reason& reason);
  Awaitable<declared::backend::ExecuteAnswer> write_to_log(WriteCommand command,
                                                           declared::backend::Requirements requirements,
                                                           Reason& reason);

  /// Empty when this is the serving primary of `term` and hears a majority; waits a little for the first.
  Awaitable<MaybeAnswer> check_primary(std::uint64_t term, TimePoint deadline, Reason& reason);
  /// The same without waiting.
  MaybeAnswer check_primary_now(std::uint64_t term, Reason& reason) const;
  /// Empty when the request is neither decided nor in flight; waits for one in flight.
  Awaitable<MaybeAnswer> find_outcome(std::optional<RequestId> request, TimePoint deadline, Reason& reason);
  [[nodiscard]] bool is_known(const std::optional<RequestId>& request) const;
  /// Waits for the entry's result, and gives up early when no majority is heard any more.
  Awaitable<declared::backend::ExecuteAnswer> wait_for_result(std::shared_ptr<PendingEntry> entry,
                                                              TimePoint deadline, Reason& reason);
  [[nodiscard]] declared::backend::NotPrimary not_primary() const;
  declared::backend::ExecuteAnswer busy(Reason& reason) const;
  Awaitable<void> hold_slot();

  runtime::Runtime& runtime_;
  DatabaseMember& member_;
  ConnectionTable& connections_;
  const Tunables& tunables_;
  SlotLimiter slots_;
};

}  // namespace cairnhollow::standins::database

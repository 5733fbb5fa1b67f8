// JSON bodies of docs/BACKEND_CONTRACT.md, for the driver and for servers that implement the contract.
// Deadlines are sent as the remaining time, so that the clocks of the two sides need not agree.
#pragma once

#include <optional>
#include <string>

#include "base/reason.h"
#include "base/types.h"
#include "declared/backend/backend_connection.h"

namespace cairnhollow::declared::backend {

/// Header with the exchange id, which the answer must echo.
inline constexpr const char* kExchangeHeader = "x-exchange-id";

namespace target {
inline constexpr const char* kConnection = "/v1/connection";
inline constexpr const char* kStatus = "/v1/status";
inline constexpr const char* kExecute = "/v1/execute";
inline constexpr const char* kBegin = "/v1/transactions";
inline constexpr const char* kExecuteIn = "/v1/transactions/execute";
inline constexpr const char* kCommit = "/v1/transactions/commit";
inline constexpr const char* kRollback = "/v1/transactions/rollback";
inline constexpr const char* kFence = "/v1/fence";
inline constexpr const char* kPromote = "/v1/promote";
inline constexpr const char* kFollow = "/v1/follow";
inline constexpr const char* kResolve = "/v1/resolve";
}  // namespace target

/// Body of execute and execute_in; `transaction` is empty outside a transaction.
struct StatementCall {
  TransactionId transaction;
  Statement statement;
  Requirements requirements;
};
struct BeginCall {
  DatabaseName database;
  Requirements requirements;
};
/// Body of commit and rollback.
struct FinishCall {
  TransactionId transaction;
  Requirements requirements;
};
/// Body of fence and promote.
struct TermCall {
  std::uint64_t term = 0;
  std::string owner;
};
struct FollowCall {
  std::uint64_t term = 0;
  BackendName primary;
  Endpoint endpoint;
};
struct ResolveCall {
  RequestId request;
  std::uint64_t term = 0;
  TimePoint deadline;
};

/// `now` is used to convert deadlines to remaining time.
std::string encode_call(const StatementCall& call, TimePoint now);
std::string encode_call(const BeginCall& call, TimePoint now);
std::string encode_call(const FinishCall& call, TimePoint now);
std::string encode_call(const TermCall& call, TimePoint now);
std::string encode_call(const FollowCall& call, TimePoint now);
std::string encode_call(const ResolveCall& call, TimePoint now);

/// Returns std::nullopt with kInvalidArgument if the body is not a complete call of this type.
template <class Call>
std::optional<Call> decode_call(const std::string& body, TimePoint now, Reason& reason);

/// Answer to a successful call that returns no value ("opened", "promoted", "following", "rolled_back").
struct Done {};
struct TransactionBegun {
  TransactionId transaction;
};
/// Answer to a call other than a statement that was not carried out.
struct Refused {
  Duration retry_after{0};  ///< 0: unknown
};

using StatusAnswer = std::variant<BackendStatus, Refused>;
using BeginAnswer = std::variant<TransactionBegun, Refused>;
using FenceReply = std::variant<FenceAnswer, Refused>;
using ResolveReply = std::variant<ResolveAnswer, Refused>;
using DoneAnswer = std::variant<Done, Refused>;

/// Includes `reason` if it holds a failure and echoes `request` if it is set.
std::string encode_answer(const ExecuteAnswer& answer, const Reason& reason,
                          const std::optional<RequestId>& request);
std::string encode_answer(const StatusAnswer& answer, const Reason& reason);
std::string encode_answer(const BeginAnswer& answer, const Reason& reason);
std::string encode_answer(const FenceReply& answer, const Reason& reason);
std::string encode_answer(const ResolveReply& answer, const Reason& reason,
                          const std::optional<RequestId>& request);
std::string encode_answer(const DoneAnswer& answer, const Reason& reason);

/// Returns std::nullopt with kCorrupt if the body is not a complete answer of this type or echoes a request
/// other than `request`. Otherwise `reason` is the server's, kNone if it sent none.
template <class Answer>
std::optional<Answer> decode_answer(const std::string& body, const std::optional<RequestId>& request,
                                    Reason& reason);

}  // namespace cairnhollow::declared::backend

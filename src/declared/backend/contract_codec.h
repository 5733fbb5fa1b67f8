// The JSON bodies of docs/BACKEND_CONTRACT.md, for the driver and for servers that implement it.
// Deadlines travel as the time that is left, so that the two clocks need not agree.
#pragma once

#include <optional>
#include <string>

#include "base/reason.h"
#include "base/types.h"
#include "declared/backend/backend_connection.h"

namespace cairnhollow::declared::backend {

/// Header that carries the exchange's number; an answer must echo it.
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

/// execute and execute_in; `transaction` is empty outside a transaction.
struct StatementCall {
  TransactionId transaction;
  Statement statement;
  Requirements requirements;
};
struct BeginCall {
  DatabaseName database;
  Requirements requirements;
};
/// commit and rollback.
struct FinishCall {
  TransactionId transaction;
  Requirements requirements;
};
/// fence and promote.
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

/// `now` turns deadlines into the time that is left.
std::string encode_call(const StatementCall& call, TimePoint now);
std::string encode_call(const BeginCall& call, TimePoint now);
std::string encode_call(const FinishCall& call, TimePoint now);
std::string encode_call(const TermCall& call, TimePoint now);
std::string encode_call(const FollowCall& call, TimePoint now);
std::string encode_call(const ResolveCall& call, TimePoint now);

/// Empty with kInvalidArgument when the body is not a whole call of this type.
template <class Call>
std::optional<Call> decode_call(const std::string& body, TimePoint now, Reason& reason);

/// A call without a value of its own was carried out ("opened", "promoted", "following", "rolled_back").
struct Done {};
struct Begun {
  TransactionId transaction;
};
/// A call other than a statement was not carried out.
struct Refused {
  Duration retry_after{0};  ///< 0: no time can be named
};

using StatusAnswer = std::variant<BackendStatus, Refused>;
using BeginAnswer = std::variant<Begun, Refused>;
using FenceReply = std::variant<FenceAnswer, Refused>;
using ResolveReply = std::variant<ResolveAnswer, Refused>;
using DoneAnswer = std::variant<Done, Refused>;

/// `reason` is sent along when it holds a failure; `request` is echoed when it is set.
std::string encode_answer(const ExecuteAnswer& answer, const Reason& reason,
                          const std::optional<RequestId>& request);
std::string encode_answer(const StatusAnswer& answer, const Reason& reason);
std::string encode_answer(const BeginAnswer& answer, const Reason& reason);
std::string encode_answer(const FenceReply& answer, const Reason& reason);
std::string encode_answer(const ResolveReply& answer, const Reason& reason,
                          const std::optional<RequestId>& request);
std::string encode_answer(const DoneAnswer& answer, const Reason& reason);

/// Empty with kCorrupt when the body is not a whole answer of this type, or echoes another request than
/// `request`. Otherwise `reason` is the server's: kNone when it sent none.
template <class Answer>
std::optional<Answer> decode_answer(const std::string& body, const std::optional<RequestId>& request,
                                    Reason& reason);

}  // namespace cairnhollow::declared::backend

// The command line's side of the operator API: asks one control node after the other until one answers.
#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <vector>

#include "declared/control/operator/operator_json.h"
#include "runtime/runtime.h"

namespace cairnhollow::cli {

struct OperatorClientSettings {
  std::vector<Endpoint> servers;                           ///< tried in this order, then again
  Duration attempt_timeout = std::chrono::seconds(3);      ///< of one exchange
  Duration connect_timeout = std::chrono::seconds(1);      ///< of opening a connection
  Duration first_backoff = std::chrono::milliseconds(50);  ///< after each server was tried once; doubles
  Duration longest_backoff = std::chrono::seconds(1);
};

/// Whether a call may be sent again when it is not known whether it was carried out.
enum class Repeat : std::uint8_t {
  kSafe,    ///< reads, and changes under one change id
  kUnsafe,  ///< member changes and switchovers
};

struct ApiCall {
  runtime::HttpMethod method = runtime::HttpMethod::kGet;
  std::string target;
  std::string body;
  Repeat repeat = Repeat::kSafe;
};

/// Every call ends by its deadline. A Reason's peer is the control node that gave the answer; kOutcomeUnknown
/// when the call may have been carried out.
class OperatorClient {
 public:
  /// `runtime` outlives the client.
  OperatorClient(runtime::Runtime& runtime, OperatorClientSettings settings)
      : runtime_(runtime), settings_(std::move(settings)) {}

  /// Also a refusal by the configuration is an outcome. Every attempt carries the same change id.
  Awaitable<std::optional<declared::config::ChangeOutcome>> apply(declared::config::ChangeRequest request,
                                                                  TimePoint deadline, Reason& reason);
  Awaitable<std::optional<declared::control::ObjectList>> list(declared::config::ObjectQuery query,
                                                               TimePoint deadline, Reason& reason);
  Awaitable<std::optional<declared::control::FleetStatus>> status(TimePoint deadline, Reason& reason);
  /// Events of the first control node that answers, oldest first: those next above `since`, or the latest.
  Awaitable<std::optional<std::vector<declared::control::FleetEvent>>> events(
      std::optional<std::uint64_t> since, std::uint32_t limit, TimePoint deadline, Reason& reason);
  Awaitable<std::optional<declared::control::InForceReport>> in_force(TimePoint deadline, Reason& reason);
  Awaitable<bool> add_member(consensus::Member member, TimePoint deadline, Reason& reason);
  Awaitable<bool> remove_member(std::string node, TimePoint deadline, Reason& reason);
  Awaitable<bool> replace_member(std::string lost, consensus::Member replacement, TimePoint deadline,
                                 Reason& reason);
  Awaitable<std::optional<declared::control::SwitchoverOutcome>> switchover(
      declared::control::SwitchoverRequest request, TimePoint deadline, Reason& reason);

  /// The JSON of a definite answer. Empty with the refusal's reason; `refusal` then holds its problem
  /// document where there is one.
  Awaitable<std::optional<boost::json::value>> call(ApiCall call, TimePoint deadline,
                                                    boost::json::value& refusal, Reason& reason);

 private:
  /// What one exchange came to.
  enum class AttemptResult : std::uint8_t { kAnswered, kRefused, kTryNext };

  struct Attempt {
    AttemptResult result = AttemptResult::kTryNext;
    boost::json::value body;
    bool may_have_run = false;
    bool answered = false;           ///< the node said itself why not
    std::optional<Endpoint> leader;  ///< whom a node that is not the leader named
  };

  Awaitable<Attempt> attempt(ApiCall call, Endpoint server, TimePoint deadline, Reason& reason);
  static Attempt read_response(const runtime::HttpResponse& response, const std::string& peer,
                               Reason& reason);

  runtime::Runtime& runtime_;
  OperatorClientSettings settings_;
};

}  // namespace cairnhollow::cli

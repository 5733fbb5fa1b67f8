// How a session opens: the wait for a lease and for the confirmation of its key, or its refusal.
#include <algorithm>

#include "registered/proxy/callers/caller_session.h"
#include "registered/proxy/statement/placement_facts.h"

namespace cairnhollow::registered::proxy {

using placement::RejectionReason;
using runtime::LogLevel;

namespace {

/// Longest wait for a caller's first line.
constexpr Duration kStartTimeout = std::chrono::seconds(5);
/// Longest wait of a new session for control's confirmation that its key is unknown.
constexpr Duration kKeyConfirmationWait = std::chrono::milliseconds(700);
/// Interval at which a waiting session checks whether a lease is still expected.
constexpr Duration kExpectationCheckInterval = std::chrono::milliseconds(50);

}  // namespace

Awaitable<bool> CallerSession::open() {
  Reason reason;
  const auto start = co_await caller_->read_start(services_.runtime.now() + kStartTimeout, reason);
  if (!start) co_return false;
  database_ = start->database;
  key_ = start->key;
  const TimePoint arrived = services_.runtime.now();
  co_await await_lease(arrived);
  waited_to_open_ = services_.runtime.now() - arrived;
  const bool has_lease = services_.view.lease_valid();
  Refusal refusal = has_lease ? Refusal::kUnknownDatabase : Refusal::kBusy;
  RejectionReason since = has_lease ? RejectionReason::kNoRoute : RejectionReason::kNoLease;
  std::string detail =
      has_lease ? "no route names this database" : "this proxy holds no serving lease; retry later";
  if (services_.view.find_route(database_) != nullptr) {
    const auto fault = co_await check_key(arrived);
    waited_to_open_ = services_.runtime.now() - arrived;
    if (!fault) {
      services_.view.record_step(ReturnStep::kSession);
      co_return co_await caller_->accept(reason);
    }
    since = *fault;
    refusal = refusal_of(since);
    detail =
        refusal == Refusal::kUnauthorized ? "unknown key" : "keys can't be confirmed at present; retry soon";
  }
  log_refused_session(refusal, since, services_.runtime.now() - arrived);
  co_await caller_->refuse(refusal, std::move(detail));
  co_return false;
}

Awaitable<void> CallerSession::refuse_at_limit() {
  log_refused_session(Refusal::kBusy, RejectionReason::kSessionLimit, Duration(0));
  co_await caller_->refuse(Refusal::kBusy,
                           "this proxy has reached its session limit; retry through another proxy");
}

void CallerSession::log_refused_session(Refusal refusal, RejectionReason since, Duration waited) const {
  services_.metrics.count_refused(refusal);
  services_.runtime.logger().log(LogLevel::kWarning, "session_refused",
                                 {{"step", "open_session"},
                                  {"refusal", refusal_name(refusal)},
                                  {"since", placement::rejection_name(since)},
                                  {"database", database_.value},
                                  {"version", std::to_string(services_.view.document_version())},
                                  {"waited_ms", std::to_string(in_ms(waited))}});
}

Awaitable<void> CallerSession::await_lease(TimePoint arrived) {
  FleetView& view = services_.view;
  while (!may_open()) {
    const bool knows_document = view.document_version() > 0;
    const TimePoint now = services_.runtime.now();
    const TimePoint give_up_at = placement::session_wait_end(arrived, knows_document);
    if (now >= give_up_at || !view.expects_lease(!knows_document)) co_return;
    // Whether a lease is still expected changes without a notification.
    co_await view.renewed().wait_until(std::min(give_up_at, now + kExpectationCheckInterval));
  }
}

Awaitable<std::optional<RejectionReason>> CallerSession::check_key(TimePoint asked_at) {
  const TimePoint arrived = services_.runtime.now();
  const TimePoint give_up_at =
      std::min(arrived + kKeyConfirmationWait,
               asked_at + placement::kSessionOpenLimit - placement::kSessionOpenMargin);
  FleetView& view = services_.view;
  const auto proves_tenant = [&] {
    const registry::RouteRule* route = view.find_route(database_);
    const bool needs_key = route == nullptr ? view.requires_keys() : view.needs_key(*route);
    return !needs_key || view.tenants().find_by_key(key_) != nullptr;
  };
  if (!proves_tenant() && view.lease_valid()) services_.link.request_report();
  while (!proves_tenant() && view.expects_lease(false) &&
         !view.keys_confirmed().is_confirmed_since(arrived) && services_.runtime.now() < give_up_at)
    co_await view.renewed().wait_until(give_up_at);
  if (proves_tenant()) co_return std::nullopt;
  co_return view.keys_confirmed().is_confirmed_since(arrived) ? RejectionReason::kKeyUnauthorized
                                                              : RejectionReason::kKeyUnconfirmed;
}

bool CallerSession::may_open() const {
  if (services_.view.lease_valid()) return true;
  // Another proxy may hold a lease and serve the statements.
  return services_.view.find_route(database_) != nullptr && !services_.view.other_proxies().empty();
}

}  // namespace cairnhollow::registered::proxy

#include "registered/proxy/forwarding/forward_server.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "registered/proxy/statement/placement_facts.h"
#include "wire/codec.h"
#include "wire/hello.h"

namespace cairnhollow::registered::proxy {

namespace {

bool is_served(wire::Conversation conversation) {
  return conversation == wire::Conversation::kForwarding ||
         conversation == wire::Conversation::kForwardingVersioned ||
         conversation == wire::Conversation::kBackendRoom;
}

bool is_probe(const ForwardRequest& request) {
  const auto* end = std::get_if<ForwardEnd>(&request.body);
  return end != nullptr && *end == kLivenessProbe;
}

/// Whether the conversation that `hello` began allows the request.
bool is_allowed(const wire::Hello& hello, const ForwardRequest& request) {
  const auto* told = std::get_if<ForwardDemand>(&request.body);
  const bool is_room = hello.conversation == wire::Conversation::kBackendRoom;
  if (told != nullptr) return is_room && told->owner == hello.node;
  return !is_room || is_probe(request);
}

}  // namespace

bool ForwardServer::start(const Endpoint& endpoint, Reason& reason) {
  listener_ = services_.runtime.network().listen(endpoint, reason);
  if (!listener_) return false;
  services_.runtime.spawn("forward_accept", accept());
  return true;
}

void ForwardServer::stop() {
  stopping_ = true;
  listener_->close();
}

Awaitable<void> ForwardServer::accept() {
  while (!stopping_) {
    Reason reason;
    auto frames = co_await listener_->accept(reason);
    if (!frames) co_return;
    services_.runtime.spawn("forward_serve", serve(std::move(frames)));
  }
}

Awaitable<void> ForwardServer::serve(std::shared_ptr<runtime::FrameConnection> frames) {
  Reason reason;
  const auto first = co_await frames->receive(reason);
  std::optional<wire::Hello> hello;
  if (first) hello = wire::decode<wire::Hello>(*first, reason);
  if (!hello || !is_served(hello->conversation)) {
    frames->close();
    co_return;
  }
  const auto connection = std::make_shared<Connection>();
  connection->frames = frames;
  std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
  connections_.push_back(connection);
  while (!stopping_) {
    const auto frame = co_await frames->receive(reason);
    std::optional<ForwardRequest> request;
    if (frame) request = wire::decode<ForwardRequest>(*frame, reason);
    if (!request || !is_allowed(*hello, *request)) break;
    services_.runtime.spawn("forward_handle", handle(connection, std::move(*request)));
  }
  connection->ended = true;
  frames->close();
  // The forwarding proxy has disconnected, so its open transactions can no longer be committed.
  while (!connection->pins.empty()) {
    const std::uint64_t pin = connection->pins.begin()->first;
    co_await end_transaction(connection, pin);
  }
}

std::optional<StatementScope> ForwardServer::scope_of(const ForwardedStatement& forwarded) {
  const registry::RouteRule* route = services_.view.find_route(forwarded.route.database);
  if (route == nullptr) return std::nullopt;
  StatementScope scope;
  scope.route = *route;
  scope.group = services_.view.find_group(route->group);
  if (!scope.group) return std::nullopt;
  if (services_.view.needs_key(*route)) {
    const registry::TenantRule* tenant = services_.view.tenants().find_by_key(forwarded.key);
    if (tenant == nullptr) return std::nullopt;
    scope.key = forwarded.key;
    scope.tenant = tenant->name;
  }
  scope.allowed = services_.view.allowed_regions(*route, scope.tenant);
  if (scope.group->name == forwarded.route.group) {
    scope.committed = SessionCommit{forwarded.committed, services_.runtime.now() - forwarded.committed_ago};
  } else if (route->reads == registry::ReadPolicy::kReadYourWrites) {
    // The session's commits in this group are unknown here, and the primary has them all.
    scope.route.reads = registry::ReadPolicy::kPrimary;
  }
  return scope;
}

StatementContent ForwardServer::content_of(ForwardedStatement forwarded, const registry::RouteRule& route) {
  StatementContent statement;
  statement.id = std::move(forwarded.id);
  statement.text = std::move(forwarded.text);
  statement.prepared = std::move(forwarded.prepared);
  statement.argument = std::move(forwarded.argument);
  statement.writes = forwarded.writes;
  statement.values = std::move(forwarded.values);
  statement.arrived = services_.runtime.now();
  statement.deadline = statement.arrived + forwarded.time_left;
  statement.waited_before =
      std::max<Duration>(std::chrono::milliseconds(route.timeout_ms) - forwarded.time_left, Duration(0));
  statement.opens_transaction = forwarded.opens_transaction;
  statement.read_only_transaction = forwarded.read_only_transaction;
  statement.is_forwarded = true;
  statement.may_have_run = forwarded.may_have_run;
  return statement;
}

Awaitable<void> ForwardServer::handle(std::shared_ptr<Connection> connection, ForwardRequest request) {
  ForwardAnswer answer;
  bool is_grant = false;
  if (auto* run_request = std::get_if<ForwardRun>(&request.body)) {
    answer = co_await run(connection, std::move(*run_request));
  } else if (auto* in_transaction = std::get_if<ForwardInTransaction>(&request.body)) {
    answer = co_await run_in_transaction(connection, std::move(*in_transaction));
  } else if (const auto* tokens = std::get_if<ForwardTokens>(&request.body)) {
    answer.grant = grant(*tokens);
    is_grant = true;
  } else if (const auto* told = std::get_if<ForwardDemand>(&request.body)) {
    services_.demands.receive(*told);
  } else {
    const std::uint64_t pin = std::get<ForwardEnd>(request.body).pin;
    co_await end_transaction(connection, pin);
  }
  answer.correlation = request.correlation;
  if (connection->ended) co_return;
  wire::Format format = wire::format_with_tenants(is_grant || services_.view.requires_keys());
  if (!answer.other_group.empty()) format = std::max(format, wire::kEvidenceFormat);
  connection->outgoing.push_back(wire::encode(answer, format));
  if (std::exchange(connection->sending, true)) co_return;
  co_await send_answers(connection);
}

limits::Grant ForwardServer::grant(const ForwardTokens& request) {
  FleetView& view = services_.view;
  const auto limit = request.cold_backend.empty() ? view.tenant_limit(request.tenant)
                                                  : view.cold_limit(request.cold_backend);
  if (!limit) return {};
  return view.quotas().grant(*limit, {request.needed, request.ahead}, services_.runtime.now());
}

Awaitable<void> ForwardServer::send_answers(std::shared_ptr<Connection> connection) {
  while (!connection->outgoing.empty() && !connection->ended) {
    for (std::string& frame : std::exchange(connection->outgoing, {})) {
      Reason reason;
      const bool sent = co_await connection->frames->send(std::move(frame), reason);
      if (!sent) connection->frames->close();
    }
  }
  connection->sending = false;
}

bool ForwardServer::may_hold_older_document(const ForwardedStatement& forwarded) const {
  const std::uint64_t version = services_.view.document_version();
  if (forwarded.document_version > 0) return version < forwarded.document_version;
  // Which of the two documents is older is unknown. They agree where the statement runs, or it does not run
  // here.
  const registry::RouteRule* route = services_.view.find_route(forwarded.route.database);
  return route != nullptr && route->group != forwarded.route.group;
}

std::string ForwardServer::reason_not_to_run(const ForwardedStatement& forwarded,
                                             const std::optional<StatementScope>& scope) const {
  if (may_hold_older_document(forwarded))
    return "the proxy may hold an older document than the one that forwarded the statement";
  if (!scope) return "the database, its group or the key is unknown to the proxy";
  if (!services_.view.holds_lease_for(*scope->group)) return "the proxy holds no serving lease";
  return {};
}

Awaitable<void> ForwardServer::await_document(const ForwardedStatement& forwarded) {
  const TimePoint until = services_.runtime.now() + std::min(kDocumentWait, forwarded.time_left);
  const std::uint64_t version = forwarded.document_version;
  bool in_time = true;
  while (in_time && services_.view.document_version() < version)
    in_time = co_await services_.view.document_changed().wait_until(until);
}

Awaitable<ForwardAnswer> ForwardServer::run(std::shared_ptr<Connection> connection, ForwardRun request) {
  ForwardAnswer forwarded;
  co_await await_document(request.statement);
  std::optional<StatementScope> scope = scope_of(request.statement);
  std::string refusal = reason_not_to_run(request.statement, scope);
  if (!refusal.empty()) {
    forwarded.answer.refusal = Refusal::kBusy;
    forwarded.answer.detail = std::move(refusal);
    forwarded.may_try_another = true;
    forwarded.nothing_run = true;
    co_return forwarded;
  }
  const auto group = scope->group;
  const GroupName forwarding_group = request.statement.route.group;
  const bool is_admitted = services_.overload.admits(scope->route.priority);
  StatementContent content = content_of(std::move(request.statement), scope->route);
  StatementRequest statement{std::move(*scope), std::move(content)};
  RunResult result;
  if (is_admitted) {
    result = co_await runner_.run(std::move(statement));
  } else {
    result = runner_.refuse_overloaded(std::move(statement));
  }
  forwarded.answer = std::move(result.answer);
  forwarded.nothing_run = result.nothing_run;
  forwarded.at_primary = result.served_by == ServedBy::kPrimary;
  if (group->name != forwarding_group) forwarded.other_group = group->name;
  const bool cannot_serve = placement::may_other_proxy_serve(proxy_facts(services_.view, *group));
  // Another proxy may be less loaded than this one.
  forwarded.may_try_another = (cannot_serve || !is_admitted) && forwarded.answer.refusal == Refusal::kBusy;
  if (!result.pinned) co_return forwarded;
  if (connection->ended) {
    co_await runner_.transactions().roll_back(*result.pinned);
    co_return forwarded;
  }
  forwarded.pin = connection->next_pin++;
  const auto pin = std::make_shared<Pin>();
  pin->link = *result.pinned;
  connection->pins.emplace(forwarded.pin, pin);
  co_return forwarded;
}

Awaitable<ForwardAnswer> ForwardServer::run_in_transaction(std::shared_ptr<Connection> connection,
                                                           ForwardInTransaction request) {
  ForwardAnswer forwarded;
  const auto found = connection->pins.find(request.pin);
  if (found == connection->pins.end() || found->second->running) {
    forwarded.answer.refusal = Refusal::kAborted;
    forwarded.answer.state = TransactionState::kFailed;
    forwarded.answer.detail = "the transaction can't be continued at this proxy and is rolled back";
    co_return forwarded;
  }
  const std::shared_ptr<Pin> pin = found->second;
  const PinnedLink pinned = pin->link;
  forwarded.at_primary = pinned.at_primary;
  pin->running = true;
  StatementContent statement = content_of(std::move(request.statement), pinned.scope->route);
  forwarded.answer =
      co_await runner_.transactions().run(pinned, std::move(statement), request.commits, request.wrote);
  pin->running = false;
  if (pin->ended) co_await runner_.transactions().end(pinned);
  co_return forwarded;
}

void ForwardServer::abort_evacuated_transactions() {
  for (const auto& weak : connections_) {
    const auto connection = weak.lock();
    if (!connection) continue;
    for (const auto& [number, pin] : connection->pins) {
      if (pin->running || !pin->link.link->link().is_open() ||
          !runner_.transactions().is_off_limits(pin->link))
        continue;
      // The forwarding proxy learns of it with the transaction's next statement.
      runner_.transactions().abort(pin->link);
      services_.metrics.count_evacuated_transaction();
    }
  }
}

Awaitable<void> ForwardServer::end_transaction(std::shared_ptr<Connection> connection, std::uint64_t pin) {
  const auto found = connection->pins.find(pin);
  if (found == connection->pins.end()) co_return;
  const std::shared_ptr<Pin> ended = found->second;
  connection->pins.erase(found);
  ended->ended = true;
  const PinnedLink pinned = ended->link;
  if (ended->running) {
    runner_.transactions().abort(pinned);
  } else {
    co_await runner_.transactions().end(pinned);
  }
}

}  // namespace cairnhollow::registered::proxy

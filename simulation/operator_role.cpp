#include "simulation/operator_role.h"

#include <fmt/format.h>

namespace cairnhollow::simulation {

OperatorRole::OperatorRole(runtime::Runtime& runtime, std::string name, std::vector<Endpoint> servers,
                           ChangeHistory& history, const Scheduler& scheduler, DomainName domain)
    : runtime_(runtime),
      name_(std::move(name)),
      client_(runtime, cli::OperatorClientSettings{.servers = std::move(servers)}),
      history_(history),
      scheduler_(scheduler),
      domain_(std::move(domain)) {}

Awaitable<bool> OperatorRole::start(Reason& /*reason*/) { co_return true; }

Awaitable<void> OperatorRole::drain() { co_return; }

std::size_t OperatorRole::apply(std::vector<declared::config::ObjectChange> changes, Duration limit,
                                int resends) {
  return apply_as(fmt::format("{}-change-{}", name_, next_change_++), std::move(changes), limit, resends);
}

std::size_t OperatorRole::apply_as(std::string change_id, std::vector<declared::config::ObjectChange> changes,
                                   Duration limit, int resends) {
  ChangeRecord record;
  record.operator_name = name_;
  record.domain = domain_;
  record.request.change_id = std::move(change_id);
  record.request.operator_name = name_;
  record.request.changes = std::move(changes);
  record.sent = scheduler_.now();
  history_.changes.push_back(std::move(record));
  const std::size_t place = history_.changes.size() - 1;
  ++in_flight_;
  runtime_.spawn("operator_apply", send(place, limit, resends));
  return place;
}

void OperatorRole::resend(std::size_t change, Duration limit) {
  ++in_flight_;
  runtime_.spawn("operator_resend", send(change, limit, 0));
}

Awaitable<void> OperatorRole::send(std::size_t change, Duration limit, int resends) {
  for (int attempt = 0; attempt <= resends; ++attempt) {
    Reason reason;
    const declared::config::ChangeRequest request = history_.changes[change].request;
    const TimePoint deadline = runtime_.now() + limit;
    const auto outcome = co_await client_.apply(request, deadline, reason);
    ChangeRecord& record = history_.changes[change];
    if (!outcome) {
      record.failures.push_back(reason);
      continue;
    }
    if (record.answers.empty()) record.answered = scheduler_.now();
    record.answers.push_back(*outcome);
  }
  --in_flight_;
}

void OperatorRole::run(std::function<Awaitable<void>(cli::OperatorClient&, runtime::Runtime&)> call) {
  ++in_flight_;
  using Call = std::function<Awaitable<void>(cli::OperatorClient&, runtime::Runtime&)>;
  runtime_.spawn("operator_call", run_call(std::make_shared<Call>(std::move(call))));
}

Awaitable<void> OperatorRole::run_call(
    std::shared_ptr<std::function<Awaitable<void>(cli::OperatorClient&, runtime::Runtime&)>> call) {
  co_await (*call)(client_, runtime_);
  --in_flight_;
}

}  // namespace cairnhollow::simulation

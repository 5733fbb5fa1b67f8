// One operator as a simulated process: sends changes through the operator API with the command line's own
// client, and records what came back.
#pragma once

#include <functional>

#include "cli/operator_client.h"
#include "runtime/role.h"
#include "simulation/change_history.h"
#include "simulation/scheduler.h"

namespace cairnhollow::simulation {

class OperatorRole final : public runtime::Role {
 public:
  /// `history` and `scheduler` outlive the role; the scheduler gives the times of the history. `domain` is
  /// that of the servers.
  OperatorRole(runtime::Runtime& runtime, std::string name, std::vector<Endpoint> servers,
               ChangeHistory& history, const Scheduler& scheduler, DomainName domain = {});

  Awaitable<bool> start(Reason& reason) override;
  Awaitable<void> drain() override;

  /// Sends a change and, when it was answered, `resends` times the same again. Gives the place in the
  /// history.
  std::size_t apply(std::vector<declared::config::ObjectChange> changes, Duration limit, int resends = 0);
  /// As apply(), under a change id of the caller's choice.
  std::size_t apply_as(std::string change_id, std::vector<declared::config::ObjectChange> changes,
                       Duration limit, int resends = 0);
  /// Sends the change of that place in the history again under its change id.
  void resend(std::size_t change, Duration limit);
  /// Runs `call` with the client as a coroutine of this process.
  void run(std::function<Awaitable<void>(cli::OperatorClient&, runtime::Runtime&)> call);
  /// Sends that have not ended.
  [[nodiscard]] std::size_t in_flight() const { return in_flight_; }

 private:
  Awaitable<void> send(std::size_t change, Duration limit, int resends);
  Awaitable<void> run_call(
      std::shared_ptr<std::function<Awaitable<void>(cli::OperatorClient&, runtime::Runtime&)>> call);

  runtime::Runtime& runtime_;
  std::string name_;
  cli::OperatorClient client_;
  ChangeHistory& history_;
  const Scheduler& scheduler_;
  DomainName domain_;
  std::size_t in_flight_ = 0;
  std::uint64_t next_change_ = 1;
};

}  // namespace cairnhollow::simulation

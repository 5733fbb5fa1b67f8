#include "simulation/virtual_runtime.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "simulation/virtual_frames.h"

namespace cairnhollow::simulation {

namespace {

/// 2026-01-01T00:00:00Z; the world's time zero for people.
constexpr std::int64_t kEpochMicroseconds = 1'767'225'600'000'000;

class VirtualTimer : public runtime::Timer {
 public:
  explicit VirtualTimer(VirtualProcess& process)
      : process_(process), state_(std::make_shared<State>(process)) {}

  Awaitable<bool> wait_until(TimePoint deadline) override {
    const auto state = state_;
    state->expired = false;
    state->cancelled = false;
    std::optional<Scheduler::EventId> expiry;
    const TimePoint world_deadline = process_.to_world(deadline);
    if (world_deadline != TimePoint::max()) {
      expiry = process_.scheduler().schedule(world_deadline, [state] {
        if (state->cancelled) return;
        state->expired = true;
        state->waiter.resume();
      });
    }
    Scheduler& scheduler = process_.scheduler();
    co_await state->waiter.wait();
    if (expiry) scheduler.cancel(*expiry);
    co_return state->expired;
  }

  void cancel() override {
    if (!state_->waiter.waiting() || state_->expired) return;
    state_->cancelled = true;
    state_->waiter.resume();
  }

 private:
  struct State {
    explicit State(VirtualProcess& process) : waiter(process) {}
    Suspension waiter;
    bool expired = false;
    bool cancelled = false;
  };
  VirtualProcess& process_;
  std::shared_ptr<State> state_;
};

/// A process that ends between the spawn and the first step of a coroutine never takes that step.
Awaitable<void> run_unless_dead(VirtualProcess& process, Awaitable<void> task) {
  if (process.state() == LifeState::kDead) co_return;
  co_await std::move(task);
}

std::string_view level_name(runtime::LogLevel level) {
  switch (level) {
    case runtime::LogLevel::kDebug:
      return "debug";
    case runtime::LogLevel::kInfo:
      return "info";
    case runtime::LogLevel::kWarning:
      return "warning";
    case runtime::LogLevel::kError:
      return "error";
  }
  return "";
}

}  // namespace

std::uint64_t VirtualRandom::below(std::uint64_t bound) {
  return boost::random::uniform_int_distribution<std::uint64_t>(0, bound - 1)(generator_);
}

double VirtualRandom::unit() { return boost::random::uniform_01<double>()(generator_); }

void VirtualLogger::log(runtime::LogLevel level, std::string_view event,
                        std::initializer_list<runtime::LogField> fields) {
  log(level, event, Reason{}, fields);
}

void VirtualLogger::log(runtime::LogLevel level, std::string_view event, const Reason& reason,
                        std::initializer_list<runtime::LogField> fields) {
  if (level == runtime::LogLevel::kDebug) return;
  std::string line = fmt::format("{} {} {}", process_.settings().name, level_name(level), event);
  for (const runtime::LogField& field : fields) line += fmt::format(" {}={}", field.name, field.value);
  if (reason.failed()) line += " reason=\"" + reason.to_string() + "\"";
  if (!reason.failed() && !reason.step.empty()) line += " step=" + reason.step;
  process_.trace().log_line(process_.scheduler().now(), process_.ordinal(), line);
}

VirtualRuntime::VirtualRuntime(VirtualProcess& process, VirtualNetwork& network, VirtualDisk& disk,
                               std::uint64_t seed, std::vector<std::string>& faults)
    : process_(process),
      faults_(faults),
      frames_(network, process),
      http_(network, process, [this](Awaitable<void> task) { spawn("http_connection", std::move(task)); }),
      lines_(network, process),
      storage_(process, disk),
      random_(seed),
      logger_(process) {}

std::int64_t VirtualRuntime::wall_clock_microseconds() const {
  return kEpochMicroseconds + now().time_since_epoch().count() / 1000;
}

std::unique_ptr<runtime::Timer> VirtualRuntime::make_timer() {
  return std::make_unique<VirtualTimer>(process_);
}

void VirtualRuntime::spawn(std::string_view name, Awaitable<void> task) {
  if (process_.state() == LifeState::kDead) return;
  boost::asio::co_spawn(process_.scheduler().context(), run_unless_dead(process_, std::move(task)),
                        [this, task_name = std::string(name)](const std::exception_ptr& exception) {
                          if (!exception) return;
                          try {
                            std::rethrow_exception(exception);
                          } catch (const std::exception& error) {
                            faults_.push_back(fmt::format("{}: {} threw: {}", process_.settings().name,
                                                          task_name, error.what()));
                          }
                        });
}

}  // namespace cairnhollow::simulation

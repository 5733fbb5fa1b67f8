#include "simulation/virtual_process.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cairnhollow::simulation {

namespace {

constexpr std::int64_t kMillion = 1'000'000;

template <class Handler>
class HandlerContinuation : public Continuation {
 public:
  explicit HandlerContinuation(Handler handler) : handler_(std::move(handler)) {}
  void post() override { boost::asio::post(std::move(handler_)); }

 private:
  Handler handler_;
};

}  // namespace

struct VirtualProcess::Suspensions {
  boost::intrusive::list<Suspension, boost::intrusive::constant_time_size<false>> list;
};

VirtualProcess::VirtualProcess(Scheduler& scheduler, Trace& trace, ProcessSettings settings,
                               std::uint64_t ordinal)
    : scheduler_(scheduler),
      trace_(trace),
      settings_(std::move(settings)),
      ordinal_(ordinal),
      suspensions_(std::make_unique<Suspensions>()) {}

VirtualProcess::~VirtualProcess() = default;

void VirtualProcess::deliver(Action action) {
  if (state_ == LifeState::kRunning) action();
  if (state_ == LifeState::kFrozen) frozen_actions_.push_back(std::move(action));
}

void VirtualProcess::freeze() {
  if (state_ == LifeState::kRunning) state_ = LifeState::kFrozen;
}

void VirtualProcess::thaw() {
  if (state_ != LifeState::kFrozen) return;
  state_ = LifeState::kRunning;
  const std::vector<Action> actions = std::exchange(frozen_actions_, {});
  for (const Action& action : actions) action();
}

void VirtualProcess::kill(bool vanished) {
  state_ = LifeState::kDead;
  vanished_ = vanished;
}

void VirtualProcess::drop_suspended() {
  state_ = LifeState::kDead;
  std::vector<std::shared_ptr<Continuation>> dropped;
  for (Suspension& suspension : suspensions_->list) {
    if (suspension.continuation_) dropped.push_back(std::exchange(suspension.continuation_, nullptr));
  }
  frozen_actions_.clear();
}

TimePoint VirtualProcess::to_local(TimePoint world) const {
  const std::int64_t elapsed = world.time_since_epoch().count();
  const std::int64_t drifted = elapsed + elapsed / kMillion * settings_.clock_drift_per_million;
  return TimePoint(settings_.clock_offset + Duration(drifted));
}

TimePoint VirtualProcess::to_world(TimePoint local) const {
  if (local == TimePoint::max()) return local;
  const std::int64_t drifted = (local.time_since_epoch() - settings_.clock_offset).count();
  if (settings_.clock_drift_per_million == 0) return TimePoint(Duration(drifted));
  const auto rate = static_cast<double>(kMillion + settings_.clock_drift_per_million) / kMillion;
  TimePoint world{Duration(static_cast<std::int64_t>(static_cast<double>(drifted) / rate))};
  while (to_local(world) < local) world += local - to_local(world);
  return world;
}

Suspension::Suspension(VirtualProcess& process) : process_(process) {
  process.suspensions_->list.push_back(*this);
}

Awaitable<void> Suspension::wait() {
  return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void()>(
      [this](auto handler) {
        using Handler = decltype(handler);
        continuation_ = std::make_shared<HandlerContinuation<Handler>>(std::move(handler));
      },
      boost::asio::use_awaitable);
}

void Suspension::resume() {
  if (!continuation_ || process_.state() == LifeState::kDead) return;
  process_.deliver([continuation = std::exchange(continuation_, nullptr)] { continuation->post(); });
}

}  // namespace cairnhollow::simulation

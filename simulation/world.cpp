#include "simulation/world.h"

#include <xxhash.h>

#include <stdexcept>

namespace cairnhollow::simulation {

namespace {

constexpr std::uint64_t kNetworkStream = 1;
constexpr std::uint64_t kFaultStream = 2;
constexpr std::uint64_t kFirstProcessStream = 16;

/// A seed for one purpose, unrelated to the seeds of other purposes.
std::uint64_t derived_seed(std::uint64_t seed, std::uint64_t stream) {
  return XXH64(&stream, sizeof stream, seed);
}

}  // namespace

World::World(WorldSettings settings)
    : settings_(std::move(settings)),
      trace_(settings_.print_log),
      network_(scheduler_, trace_, settings_.latency, derived_seed(settings_.seed, kNetworkStream)),
      random_(derived_seed(settings_.seed, kFaultStream)) {}

World::~World() {
  // Coroutines go first, while everything they refer to still lives; then roles, runtimes and streams.
  for (const auto& instance : instances_) instance->process->drop_suspended();
  scheduler_.clear();
  scheduler_.run_ready();
  for (std::size_t left = instances_.size(); left > 0; --left) instances_[left - 1]->role.reset();
  for (std::size_t left = instances_.size(); left > 0; --left) instances_[left - 1]->runtime.reset();
  scheduler_.clear();
  network_.clear();
  scheduler_.run_ready();
}

World::Instance& World::current(const std::string& name) {
  const auto instance = current_.find(name);
  if (instance == current_.end()) throw std::invalid_argument("no process named " + name);
  return *instance->second;
}

bool World::running(const std::string& name) const {
  const auto instance = current_.find(name);
  return instance != current_.end() && instance->second->process->state() == LifeState::kRunning;
}

bool World::alive(const std::string& name) const {
  const auto instance = current_.find(name);
  return instance != current_.end() && instance->second->process->state() != LifeState::kDead;
}

VirtualRuntime& World::start_bare(ProcessSettings settings) { return start(std::move(settings), nullptr); }

VirtualRuntime& World::start(ProcessSettings settings, const RoleFactory& factory) {
  const std::string name = settings.name;
  const auto previous = current_.find(name);
  if (previous != current_.end() && previous->second->process->state() != LifeState::kDead) {
    throw std::invalid_argument("a process of this name is running: " + name);
  }
  const std::uint64_t ordinal = instances_.size();
  const auto disk = disks_.try_emplace(name);
  if (disk.second) disk.first->second.sync_delay = settings_.sync_delay;
  auto instance = std::make_unique<Instance>();
  instance->process = std::make_unique<VirtualProcess>(scheduler_, trace_, std::move(settings), ordinal);
  instance->runtime =
      std::make_unique<VirtualRuntime>(*instance->process, network_, disk.first->second,
                                       derived_seed(settings_.seed, kFirstProcessStream + ordinal), faults_);
  instance->factory = factory;
  network_.attach(*instance->process);
  network_.resume_held_up();
  Instance* const started = instance.get();
  instances_.push_back(std::move(instance));
  current_[name] = started;
  trace_.event(now(), "start", ordinal, name);
  if (factory) {
    started->role = factory(*started->runtime);
    started->runtime->spawn("start", start_role(started));
  }
  return *started->runtime;
}

Awaitable<void> World::start_role(Instance* instance) {
  Reason reason;
  const bool started = co_await instance->role->start(reason);
  if (!started)
    faults_.push_back(instance->process->settings().name + " did not start: " + reason.to_string());
}

void World::end_process(const std::string& name, bool vanished) {
  Instance& instance = current(name);
  if (instance.process->state() == LifeState::kDead) return;
  trace_.event(now(), vanished ? "vanish" : "kill", instance.process->ordinal(), name);
  instance.process->kill(vanished);
  network_.detach(*instance.process);
  disks_[name].crash(network_.faults());
}

void World::kill(const std::string& name) { end_process(name, false); }
void World::vanish(const std::string& name) { end_process(name, true); }

void World::freeze(const std::string& name) {
  trace_.event(now(), "freeze", current(name).process->ordinal(), name);
  current(name).process->freeze();
}

void World::thaw(const std::string& name) {
  trace_.event(now(), "thaw", current(name).process->ordinal(), name);
  current(name).process->thaw();
  scheduler_.run_ready();
}

void World::restart(const std::string& name) {
  const Instance& previous = current(name);
  start(previous.process->settings(), previous.factory);
}

void World::drain(const std::string& name, Action drained) {
  Instance& instance = current(name);
  trace_.event(now(), "drain", instance.process->ordinal(), name);
  instance.runtime->spawn("drain", drain_role(&instance, std::move(drained)));
}

Awaitable<void> World::drain_role(Instance* instance, Action drained) {
  co_await instance->role->drain();
  // The process exits once this coroutine has returned.
  const std::string name = instance->process->settings().name;
  scheduler_.schedule(now(), [this, name, drained = std::move(drained)] {
    kill(name);
    if (drained) drained();
  });
}

void World::heal() {
  trace_.event(now(), "heal", 0, "");
  network_.faults().heal();
  network_.resume_held_up();
}

bool World::run_until(const std::function<bool()>& done, Duration limit, Duration step) {
  const TimePoint end = now() + limit;
  while (!done()) {
    if (now() >= end) return false;
    run_for(std::min(step, end - now()));
  }
  return true;
}

}  // namespace cairnhollow::simulation

#include "simulation/virtual_network.h"

namespace cairnhollow::simulation {

namespace {

/// The first wait before a connection attempt is sent again; it doubles (RFC 6298).
constexpr Duration kFirstDialRetry = std::chrono::seconds(1);
/// After a heal, retransmission starts anew within this time.
constexpr std::uint64_t kResumeWithinNanoseconds = 200'000'000;

/// Streams opened between two looks for ended ones.
constexpr std::uint64_t kForgetEvery = 64;

}  // namespace

/// One connection attempt under way.
struct VirtualNetwork::Dial {
  Dial(VirtualProcess& from, Endpoint to) : client(from), endpoint(std::move(to)), waiter(from) {}
  VirtualProcess& client;
  Endpoint endpoint;
  Suspension waiter;
  Duration retry_after = kFirstDialRetry;
  std::shared_ptr<StreamEnd> stream;
  bool done = false;
  bool given_up = false;
};

void VirtualNetwork::attach(VirtualProcess& process) { machines_[process.settings().address] = &process; }

void VirtualNetwork::detach(VirtualProcess& process) {
  std::erase_if(listeners_, [&](const auto& entry) { return entry.second.process == &process; });
  for (const auto& [id, ends] : streams_) {
    for (const auto& end : {ends.first, ends.second}) {
      // With its power the machine also loses what earlier processes on it have left to the kernel.
      if (process.vanished() && end->place_.address == process.settings().address) end->stop_retransmitting();
      if (&end->process() != &process || !end->is_open()) continue;
      if (!process.vanished()) end->close();
      end->open_ = false;
    }
  }
  resume_held_up();
}

bool VirtualNetwork::listen(VirtualProcess& process, const Endpoint& endpoint, AcceptAction accept) {
  return listeners_.emplace(endpoint, Listener{&process, std::move(accept)}).second;
}

void VirtualNetwork::stop_listening(const VirtualProcess& process, const Endpoint& endpoint) {
  const auto listener = listeners_.find(endpoint);
  if (listener != listeners_.end() && listener->second.process == &process) listeners_.erase(listener);
}

NetworkPlace VirtualNetwork::place_of(const std::string& address) const {
  const auto machine = machines_.find(address);
  if (machine == machines_.end()) return {ZoneName(), address};
  return {machine->second->settings().zone, address};
}

bool VirtualNetwork::unreachable(const NetworkPlace& from, const NetworkPlace& to) const {
  if (faults_.blocked(from, to)) return true;
  const auto machine = machines_.find(to.address);
  return machine != machines_.end() && machine->second->vanished();
}

Awaitable<std::shared_ptr<StreamEnd>> VirtualNetwork::connect(VirtualProcess& process, Endpoint endpoint,
                                                              TimePoint deadline, Reason& reason) {
  const auto dial = std::make_shared<Dial>(process, endpoint);
  attempt(dial);
  std::optional<Scheduler::EventId> expiry;
  if (deadline != TimePoint::max()) {
    expiry = scheduler_.schedule(deadline, [dial] {
      dial->given_up = true;
      dial->waiter.resume();
    });
  }
  while (!dial->done && !dial->given_up) co_await dial->waiter.wait();
  if (expiry) scheduler_.cancel(*expiry);
  if (dial->done && dial->stream) co_return dial->stream;
  dial->given_up = true;
  const bool refused = dial->done;
  reason = Reason{refused ? ReasonCode::kUnreachable : ReasonCode::kDeadlineExceeded, "open_connection",
                  endpoint.to_string(),
                  refused ? "connection refused" : "no answer to the connection attempt", refused};
  co_return nullptr;
}

void VirtualNetwork::attempt(const std::shared_ptr<Dial>& dial) {
  if (dial->given_up || dial->client.state() == LifeState::kDead) return;
  const NetworkPlace from = place_of(dial->client.settings().address);
  const Duration delay = faults_.delay(from, place_of(dial->endpoint.address));
  scheduler_.schedule_after(delay, [this, dial] { reach(dial); });
}

void VirtualNetwork::retry(const std::shared_ptr<Dial>& dial) {
  scheduler_.schedule_after(dial->retry_after, [this, dial] { attempt(dial); });
  dial->retry_after *= 2;
}

void VirtualNetwork::reach(const std::shared_ptr<Dial>& dial) {
  const NetworkPlace from = place_of(dial->client.settings().address);
  const NetworkPlace to = place_of(dial->endpoint.address);
  if (unreachable(from, to) || unreachable(to, from)) {
    retry(dial);
    return;
  }
  const auto listener = listeners_.find(dial->endpoint);
  if (listener == listeners_.end()) {
    answer(dial, nullptr);
    return;
  }
  const auto client_end = make_stream(dial->client, *listener->second.process);
  const auto server_end = client_end->peer_.lock();
  listener->second.process->deliver([accept = listener->second.accept, server_end] { accept(server_end); });
  answer(dial, client_end);
}

void VirtualNetwork::answer(const std::shared_ptr<Dial>& dial, const std::shared_ptr<StreamEnd>& client_end) {
  const Duration delay =
      faults_.delay(place_of(dial->endpoint.address), place_of(dial->client.settings().address));
  scheduler_.schedule_after(delay, [dial, client_end] {
    if (dial->given_up || dial->client.state() == LifeState::kDead) {
      if (client_end) client_end->close();
      return;
    }
    dial->done = true;
    dial->stream = client_end;
    dial->waiter.resume();
  });
}

std::shared_ptr<StreamEnd> VirtualNetwork::make_stream(VirtualProcess& client, VirtualProcess& server) {
  const std::uint64_t id = next_stream_id_++;
  auto client_end = std::make_shared<StreamEnd>(*this, client, id);
  const auto server_end = std::make_shared<StreamEnd>(*this, server, id);
  client_end->peer_ = server_end;
  server_end->peer_ = client_end;
  client_end->place_ = server_end->peer_place_ = place_of(client.settings().address);
  server_end->place_ = client_end->peer_place_ = place_of(server.settings().address);
  client_end->peer_name_ = server.settings().name;
  server_end->peer_name_ = client.settings().name;
  if (id % kForgetEvery == 0) forget_ended_streams();
  streams_.emplace(id, std::pair(client_end, server_end));
  return client_end;
}

void VirtualNetwork::forget_ended_streams() {
  std::erase_if(streams_, [](const auto& entry) {
    const auto& [one, other] = entry.second;
    return !one->open_ && !other->open_ && one->outgoing_.in_transit.empty() &&
           other->outgoing_.in_transit.empty();
  });
}

void VirtualNetwork::clear() {
  listeners_.clear();
  for (const auto& [id, ends] : streams_) {
    for (const auto& end : {ends.first, ends.second}) {
      end->on_end_ = nullptr;
      end->outgoing_.in_transit.clear();
    }
  }
  streams_.clear();
}

void VirtualNetwork::resume_held_up() {
  for (const auto& [id, ends] : streams_) {
    for (const auto& end : {ends.first, ends.second}) {
      if (!end->outgoing_.held_up || unreachable(end->place_, end->peer_place_)) continue;
      end->outgoing_.held_up = false;
      const TimePoint arrival =
          scheduler_.now() +
          Duration(static_cast<std::int64_t>(faults_.random_below(kResumeWithinNanoseconds)));
      for (auto& item : end->outgoing_.in_transit) item.arrival = std::max(item.arrival, arrival);
      end->outgoing_.last_arrival = std::max(end->outgoing_.last_arrival, arrival);
      end->schedule_head();
    }
  }
}

}  // namespace cairnhollow::simulation

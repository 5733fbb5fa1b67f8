#include "simulation/virtual_stream_listener.h"

#include <utility>

namespace cairnhollow::simulation {

VirtualStreamListener::VirtualStreamListener(VirtualNetwork& network, VirtualProcess& process,
                                             Endpoint endpoint)
    : network_(network),
      process_(process),
      endpoint_(std::move(endpoint)),
      state_(std::make_shared<State>(process)) {}

std::unique_ptr<VirtualStreamListener> VirtualStreamListener::listen(VirtualNetwork& network,
                                                                     VirtualProcess& process,
                                                                     const Endpoint& endpoint,
                                                                     Reason& reason) {
  std::unique_ptr<VirtualStreamListener> listener(new VirtualStreamListener(network, process, endpoint));
  const auto accept = [state = listener->state_](std::shared_ptr<StreamEnd> stream) {
    state->accepted.push_back(std::move(stream));
    state->waiter.resume();
  };
  if (network.listen(process, endpoint, accept)) return listener;
  listener->state_->open = false;
  reason = Reason{ReasonCode::kAlreadyExists, "listen", endpoint.to_string(), "the endpoint is taken"};
  return nullptr;
}

Awaitable<std::shared_ptr<StreamEnd>> VirtualStreamListener::accept(Reason& reason) {
  const auto state = state_;
  while (state->accepted.empty() && state->open) co_await state->waiter.wait();
  if (state->accepted.empty()) {
    reason = Reason{ReasonCode::kCancelled, "accept", "", "the listener is closed"};
    co_return nullptr;
  }
  auto stream = state->accepted.front();
  state->accepted.pop_front();
  co_return stream;
}

void VirtualStreamListener::close() {
  if (!state_->open) return;
  state_->open = false;
  network_.stop_listening(process_, endpoint_);
  for (const auto& stream : std::exchange(state_->accepted, {})) stream->close();
  state_->waiter.resume();
}

}  // namespace cairnhollow::simulation

#include "simulation/virtual_stream.h"

#include "simulation/virtual_network.h"

namespace cairnhollow::simulation {

namespace {

/// A sender gives up on an open stream whose data has not moved for this long (in the range of Linux's
/// tcp_retries2 with a user timeout set; RFC 5482).
constexpr Duration kHeldUpLimit = std::chrono::seconds(20);
/// Time between keep-alive probes (RFC 9293, section 3.8.4) of a stream that is reset on close.
constexpr Duration kProbeInterval = std::chrono::seconds(1);
constexpr std::size_t kHttpHeadSize = 120;
constexpr std::size_t kFrameHeadSize = 4;

std::size_t header_size(const runtime::HttpHeaders& headers) {
  std::size_t size = kHttpHeadSize;
  for (const auto& [name, value] : headers.fields) size += name.size() + value.size() + 4;
  return size;
}

std::string_view content_of(const StreamMessage& message) {
  if (const auto* frame = std::get_if<std::string>(&message)) return *frame;
  if (const auto* request = std::get_if<runtime::HttpRequest>(&message)) return request->body;
  return std::get<runtime::HttpResponse>(message).body;
}

}  // namespace

std::size_t wire_size(const StreamMessage& message) {
  if (const auto* frame = std::get_if<std::string>(&message)) return frame->size() + kFrameHeadSize;
  if (const auto* request = std::get_if<runtime::HttpRequest>(&message)) {
    return header_size(request->headers) + request->target.size() + request->body.size();
  }
  const auto& response = std::get<runtime::HttpResponse>(message);
  return header_size(response.headers) + response.body.size();
}

StreamEnd::StreamEnd(VirtualNetwork& network, VirtualProcess& process, std::uint64_t stream_id)
    : network_(network), process_(process), stream_id_(stream_id), reader_(process) {}

bool StreamEnd::send(StreamMessage message) {
  if (!open_ || process_.state() == LifeState::kDead) return false;
  const auto* request = std::get_if<runtime::HttpRequest>(&message);
  if (request != nullptr && network_.request_observer_) {
    network_.request_observer_(process_.settings().name, peer_name_, *request);
  }
  if (request != nullptr && network_.request_recorder_) {
    network_.request_recorder_(process_.settings().name, peer_name_, *request);
  }
  const auto* frame = std::get_if<std::string>(&message);
  if (frame != nullptr && network_.frame_recorder_)
    network_.frame_recorder_(process_.settings().name, peer_name_, *frame);
  const std::size_t size = wire_size(message);
  outgoing_.bytes += size;
  network_.traffic_[process_.settings().name][peer_name_] += size;
  const Duration delay = network_.faults_.delay(place_, peer_place_);
  if (network_.faults_.last_delay_broke_stream()) {
    break_here();
    return false;
  }
  const TimePoint arrival = std::max(outgoing_.last_arrival, process_.scheduler().now() + delay);
  outgoing_.last_arrival = arrival;
  outgoing_.in_transit.push_back({arrival, std::move(message)});
  if (outgoing_.in_transit.size() == 1) schedule_head();
  return true;
}

void StreamEnd::schedule_head() {
  const TimePoint arrival = outgoing_.in_transit.front().arrival;
  process_.scheduler().schedule(arrival, [self = shared_from_this()] { self->deliver_next(); });
}

void StreamEnd::deliver_next() {
  if (outgoing_.in_transit.empty() || outgoing_.held_up) return;
  if (network_.unreachable(place_, peer_place_)) {
    hold_up();
    return;
  }
  arrive();
  if (!outgoing_.in_transit.empty()) schedule_head();
}

void StreamEnd::hold_up() {
  if (!outgoing_.is_retransmitted) {
    outgoing_.in_transit.clear();
    return;
  }
  Scheduler& scheduler = process_.scheduler();
  outgoing_.held_up = true;
  outgoing_.held_up_since = scheduler.now();
  scheduler.schedule_after(kHeldUpLimit, [self = shared_from_this(), since = scheduler.now()] {
    if (self->outgoing_.held_up && self->outgoing_.held_up_since == since) self->give_up();
  });
}

/// An end that was closed in the ordinary way goes on sending instead: the kernel retries for an orphaned
/// socket.
void StreamEnd::give_up() {
  if (!open_) return;
  stop_retransmitting();
  break_here();
}

void StreamEnd::stop_retransmitting() {
  outgoing_.is_retransmitted = false;
  if (!outgoing_.held_up) return;
  outgoing_.held_up = false;
  outgoing_.in_transit.clear();
}

void StreamEnd::reset_on_close() {
  if (std::exchange(resets_, true)) return;
  probe(Duration(0));
}

void StreamEnd::probe(Duration silent_for) {
  if (!open_) return;
  if (!network_.unreachable(place_, peer_place_) && !network_.unreachable(peer_place_, place_)) {
    silent_for = Duration(0);
    const auto peer = peer_.lock();
    const bool is_peer_gone = !peer || (!peer->open_ && peer->outgoing_.in_transit.empty());
    if (is_peer_gone) break_here();
  }
  if (silent_for >= runtime::kResetUnacknowledgedAfter) give_up();
  if (!open_) return;
  process_.scheduler().schedule_after(
      kProbeInterval, [self = shared_from_this(), silent_for] { self->probe(silent_for + kProbeInterval); });
}

void StreamEnd::arrive() {
  StreamDirection::InTransit arrived = std::move(outgoing_.in_transit.front());
  outgoing_.in_transit.pop_front();
  const auto peer = peer_.lock();
  if (!arrived.message) {
    if (peer) peer->break_here();
    return;
  }
  if (!peer || !peer->open_ || peer->process_.state() == LifeState::kDead) {
    // A reset comes back (RFC 9293, section 3.10.7).
    const Duration delay = network_.faults_.delay(peer_place_, place_);
    process_.scheduler().schedule_after(delay, [self = shared_from_this()] { self->break_here(); });
    return;
  }
  process_.trace().event(process_.scheduler().now(), "arrive", stream_id_, content_of(*arrived.message));
  peer->received_.push_back(std::move(*arrived.message));
  peer->reader_.resume();
}

Awaitable<std::optional<StreamMessage>> StreamEnd::receive() {
  const auto self = shared_from_this();
  while (received_.empty() && open_) co_await reader_.wait();
  if (received_.empty()) co_return std::nullopt;
  std::optional<StreamMessage> message(std::move(received_.front()));
  received_.pop_front();
  co_return message;
}

Awaitable<std::optional<StreamMessage>> StreamEnd::receive_until(TimePoint deadline, bool& timed_out) {
  const auto self = shared_from_this();
  const auto expired = std::make_shared<bool>(false);
  std::optional<Scheduler::EventId> expiry;
  if (deadline != TimePoint::max()) {
    expiry = process_.scheduler().schedule(deadline, [self, expired] {
      *expired = true;
      self->reader_.resume();
    });
  }
  while (received_.empty() && open_ && !*expired) co_await reader_.wait();
  if (expiry) process_.scheduler().cancel(*expiry);
  timed_out = received_.empty() && open_ && *expired;
  if (received_.empty()) co_return std::nullopt;
  std::optional<StreamMessage> message(std::move(received_.front()));
  received_.pop_front();
  co_return message;
}

void StreamEnd::close() {
  if (!open_) return;
  if (resets_) stop_retransmitting();
  const Duration delay = network_.faults_.delay(place_, peer_place_);
  const TimePoint arrival = std::max(outgoing_.last_arrival, process_.scheduler().now() + delay);
  outgoing_.in_transit.push_back({arrival, std::nullopt});
  if (outgoing_.in_transit.size() == 1) schedule_head();
  received_.clear();
  break_here();
}

void StreamEnd::break_here() {
  if (!open_) return;
  open_ = false;
  const auto self = shared_from_this();
  reader_.resume();
  if (!on_end_) return;
  process_.scheduler().schedule_after(
      Duration(0), [self, action = std::exchange(on_end_, nullptr)] { self->process_.deliver(action); });
}

}  // namespace cairnhollow::simulation

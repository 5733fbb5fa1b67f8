#include "runtime/asio/lazy_deadline.h"

#include "runtime/asio/asio_timer.h"

namespace cairnhollow::runtime {

LazyDeadline::LazyDeadline(const boost::asio::any_io_executor& executor, std::function<void()> on_expired)
    : timer_(executor), on_expired_(std::move(on_expired)), self_(std::make_shared<LazyDeadline*>(this)) {}

void LazyDeadline::set(TimePoint deadline) {
  deadline_ = deadline;
  if (deadline_ < armed_until_) arm();
}

void LazyDeadline::cancel() {
  clear();
  armed_until_ = TimePoint::max();
  timer_.cancel();
}

void LazyDeadline::arm() {
  armed_until_ = deadline_;
  timer_.expires_at(to_steady(deadline_));
  timer_.async_wait([self = std::weak_ptr(self_)](boost::system::error_code error) {
    if (error) return;
    if (const auto alive = self.lock()) (*alive)->on_timer();
  });
}

void LazyDeadline::on_timer() {
  armed_until_ = TimePoint::max();
  if (deadline_ == TimePoint::max()) return;
  if (steady_now() < deadline_) {
    arm();
    return;
  }
  clear();
  on_expired_();
}

}  // namespace cairnhollow::runtime

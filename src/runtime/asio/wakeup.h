// Lets one coroutine wait until a callback on the same thread resumes it.
#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

#include "runtime/awaitable.h"

namespace cairnhollow::runtime {

/// At most one coroutine may wait at a time.
class Wakeup {
 public:
  Awaitable<void> wait() {
    const auto keep = [this](auto handler) {
      waiter_ = std::make_unique<HandlerWaiter<decltype(handler)>>(std::move(handler));
    };
    return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void()>(
        keep, boost::asio::use_awaitable);
  }

  /// Resumes the waiting coroutine before returning. Must be called from an executor callback, never from
  /// within a coroutine.
  void notify() {
    if (const auto waiter = std::exchange(waiter_, nullptr)) waiter->resume();
  }

 private:
  struct Waiter {
    virtual ~Waiter() = default;
    virtual void resume() = 0;
  };

  template <class Handler>
  struct HandlerWaiter : Waiter {
    explicit HandlerWaiter(Handler handler) : handler_(std::move(handler)) {}
    void resume() override { handler_(); }
    Handler handler_;
  };

  std::unique_ptr<Waiter> waiter_;
};

}  // namespace cairnhollow::runtime

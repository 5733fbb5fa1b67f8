// Frame connections over simulated streams.
#pragma once

#include <deque>
#include <memory>

#include "runtime/discards_on_close.h"
#include "runtime/network.h"
#include "simulation/virtual_stream_listener.h"

namespace cairnhollow::simulation {

class VirtualFrameConnection : public runtime::FrameConnection, public runtime::DiscardsOnClose {
 public:
  explicit VirtualFrameConnection(std::shared_ptr<StreamEnd> stream) : stream_(std::move(stream)) {}
  ~VirtualFrameConnection() override { stream_->close(); }

  Awaitable<bool> send(std::string frame, Reason& reason) override;
  Awaitable<std::optional<std::string>> receive(Reason& reason) override;
  void close() override { stream_->close(); }
  bool discard_on_close(Reason& reason) override;
  [[nodiscard]] std::string peer() const override { return stream_->peer_name(); }

 private:
  std::shared_ptr<StreamEnd> stream_;
};

class VirtualFrameListener : public runtime::FrameListener {
 public:
  explicit VirtualFrameListener(std::unique_ptr<VirtualStreamListener> streams)
      : streams_(std::move(streams)) {}

  Awaitable<std::shared_ptr<runtime::FrameConnection>> accept(Reason& reason) override;
  void close() override { streams_->close(); }
  [[nodiscard]] Endpoint endpoint() const override { return streams_->endpoint(); }

 private:
  std::unique_ptr<VirtualStreamListener> streams_;
};

}  // namespace cairnhollow::simulation

#include "declared/control/control_core.h"

#include <fmt/format.h>

#include "declared/backend/http_backend.h"

namespace cairnhollow::declared::control {

namespace {

wire::Hello peer_hello(const ControlSettings& settings) {
  wire::Hello hello;
  hello.conversation = wire::Conversation::kNews;
  hello.node = settings.node;
  hello.zone = settings.zone;
  return hello;
}

}  // namespace

ControlCore::ControlCore(runtime::Runtime& runtime, const ControlSettings& settings,
                         ConfigView& configuration, RenewalBarrier& barrier,
                         std::function<void(PeerStatusMessage&)> describe)
    : runtime_(runtime),
      settings_(settings),
      configuration_(configuration),
      describe_sender_(std::move(describe)),
      directory_(runtime),
      events_(runtime, settings.node),
      connector_(backend::make_http_backend_connector(runtime, backend::ConnectionPurpose::kControl)),
      peer_exchange_(runtime, peer_hello(settings), settings.peer_endpoint, directory_,
                     [this] { return this->describe(); }),
      monitor_services_(make_monitor_services()),
      groups_(monitor_services_, configuration, peer_exchange_.peers()),
      follow_server_(runtime, settings.serving_lease, barrier, configuration, directory_),
      platform_(runtime, settings.platform_endpoint, settings.platform_poll_interval, directory_, events_),
      dispatcher_(runtime) {}

MonitorServices ControlCore::make_monitor_services() {
  const std::string owner = fmt::format("{}-{:016x}", settings_.node.value, runtime_.random().next());
  return MonitorServices{runtime_,
                         *connector_,
                         directory_,
                         events_,
                         settings_.node,
                         owner,
                         settings_.probe_interval,
                         settings_.probe_timeout,
                         FailoverLimits{},
                         [this] { return groups_.primaries_in_zone(); }};
}

void ControlCore::start() {
  using Connection = std::shared_ptr<runtime::FrameConnection>;
  dispatcher_.route(wire::Conversation::kFollow, [this](Connection connection, wire::Hello hello) {
    return follow_server_.serve(std::move(connection), std::move(hello));
  });
  dispatcher_.route(wire::Conversation::kNews, [this](Connection connection, wire::Hello hello) {
    return peer_exchange_.serve(std::move(connection), std::move(hello));
  });
  follow_server_.on_suspect([this](const follow::SuspectPrimary& suspect) {
    groups_.handle_suspicion(suspect);
    peer_exchange_.forward_suspicion(suspect);
  });
  peer_exchange_.on_suspect(
      [this](const follow::SuspectPrimary& suspect) { groups_.handle_suspicion(suspect); });
  for (const auto& endpoint : settings_.control_endpoints) peer_exchange_.add_peer(endpoint);
  follow_server_.start();
  groups_.start();
  platform_.start();
}

bool ControlCore::listen(Reason& reason) { return dispatcher_.start(settings_.peer_endpoint, reason); }

void ControlCore::stop() {
  dispatcher_.stop();
  platform_.stop();
  groups_.stop();
  follow_server_.stop();
}

PeerStatusMessage ControlCore::describe() const {
  PeerStatusMessage message;
  message.sender.node = settings_.node;
  message.sender.endpoint = settings_.peer_endpoint;
  message.sender.zone = settings_.zone;
  message.operator_endpoint = settings_.operator_endpoint;
  message.unreachable_groups = groups_.unreachable_groups();
  const TimePoint now = runtime_.now();
  message.followers_serving = follow_server_.registry().serving(now);
  message.revision = configuration_.revision();
  message.followers_least_revision = follow_server_.registry().least_revision(now).value_or(message.revision);
  describe_sender_(message);
  return message;
}

}  // namespace cairnhollow::declared::control

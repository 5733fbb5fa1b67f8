// A small simulated deployment for tests of the control node: three control nodes, one database group with a
// member in each zone, and a writer that follows control and writes to the primary that it is told of.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cli/operator_client.h"
#include "declared/backend/backend_connection.h"
#include "declared/control/settings.h"
#include "declared/follow/follow_client.h"
#include "simulation/world.h"

namespace cairnhollow::declared::control::testing {

/// Writes one record after another and keeps the times at which writes were acknowledged.
class Writer : public runtime::Role {
 public:
  Writer(runtime::Runtime& runtime, std::vector<Endpoint> control_endpoints, ZoneName zone);
  Awaitable<bool> start(Reason& reason) override;
  Awaitable<void> drain() override;

  [[nodiscard]] const std::vector<TimePoint>& acknowledged() const { return acknowledged_; }
  /// The longest time between two acknowledgements of which the later one came after `from`.
  [[nodiscard]] Duration longest_gap_after(TimePoint from) const;
  follow::FollowClient& follower() { return follower_; }

 private:
  Awaitable<void> run();
  Awaitable<bool> write_once();
  void suspect(const follow::GroupState& state);

  runtime::Runtime& runtime_;
  follow::FollowClient follower_;
  std::shared_ptr<backend::BackendConnection> connection_;
  follow::GroupState connected_to_;
  std::uint64_t number_ = 0;
  std::vector<TimePoint> acknowledged_;
};

class ControlFleet {
 public:
  explicit ControlFleet(std::uint64_t seed, std::size_t zones = 3);

  /// Starts everything, applies the configuration and waits until writes are acknowledged.
  void start();
  /// Applies objects; the outcome once it is known.
  std::optional<config::ChangeOutcome> apply(std::vector<config::Object> objects);
  std::optional<FleetStatus> status(const std::string& control_node);
  std::vector<FleetEvent> events(const std::string& control_node);
  /// Asks the control nodes one after the other until the supervisor answers.
  std::optional<SwitchoverOutcome> switch_over(const config::Selector& target, Reason& reason);

  simulation::World& world() { return *world_; }
  Writer& writer() { return *writer_; }
  [[nodiscard]] follow::GroupState known() const;
  /// The primary that the writer was told of, and its machine's address.
  [[nodiscard]] std::string primary() const { return known().primary.value; }
  [[nodiscard]] std::string address_of(const std::string& process) const;
  [[nodiscard]] std::vector<std::string> databases() const;
  [[nodiscard]] std::vector<std::string> controls() const;
  /// Cuts both ways between two processes.
  void cut(const std::string& one, const std::string& other);
  /// Events of one kind that any control node recorded.
  std::size_t count_events(const std::string& kind);
  [[nodiscard]] config::Object backend_object(std::size_t zone, bool drain) const;
  ControlSettings control_settings(std::size_t zone) const;
  /// Starts one more control node with an empty disk that waits to be taken in, "control-<number>".
  void start_standby(std::size_t number);
  /// Tells the platform's list a machine's state, after start_platform().
  void set_machine(const std::string& machine, const std::string& state);
  void start_platform();
  /// Runs until the writer has `count` more acknowledgements.
  bool run_until_acknowledged(std::size_t count, Duration limit);

 private:
  void start_control(std::size_t zone);
  void start_database(std::size_t zone);
  std::vector<config::Object> objects() const;
  template <class Result>
  std::optional<Result> wait_for(const std::shared_ptr<std::optional<Result>>& result, Duration limit);

  std::size_t zones_;
  std::unique_ptr<simulation::World> world_;
  Writer* writer_ = nullptr;  ///< owned by the world
  std::uint64_t next_change_ = 1;
};

}  // namespace cairnhollow::declared::control::testing

// A simulated deployment for tests of the control node: by default three control nodes, one database group
// with a member in each zone, and a writer that follows the control nodes and writes to the group's primary.
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

/// Writes continuously to the primary and records the time of each acknowledgement.
class Writer : public runtime::Role {
 public:
  Writer(runtime::Runtime& runtime, std::vector<Endpoint> control_endpoints, ZoneName zone);
  Awaitable<bool> start(Reason& reason) override;
  Awaitable<void> drain() override;

  [[nodiscard]] const std::vector<TimePoint>& acknowledged() const { return acknowledged_; }
  /// Returns the longest time between two consecutive acknowledgements of which the later one came after
  /// `from`.
  [[nodiscard]] Duration longest_gap_after(TimePoint from) const;
  follow::FollowClient& follower() { return follower_; }

 private:
  Awaitable<void> run();
  Awaitable<bool> write_once();
  void report_suspicion(const follow::GroupState& state);

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

  /// Starts all processes, applies the configuration and waits until writes are acknowledged.
  void start();
  /// Applies objects. Returns std::nullopt if the outcome is not known within 15 s.
  std::optional<config::ChangeOutcome> apply(std::vector<config::Object> objects);
  std::optional<FleetStatus> status(const std::string& control_node);
  std::vector<FleetEvent> events(const std::string& control_node);
  /// Requests a switchover from the control nodes in turn until one does not answer kNotLeader.
  std::optional<SwitchoverOutcome> switch_over(const config::Selector& target, Reason& reason);

  simulation::World& world() { return *world_; }
  Writer& writer() { return *writer_; }
  [[nodiscard]] follow::GroupState known() const;
  /// The name of the primary as known to the writer.
  [[nodiscard]] std::string primary() const { return known().primary.value; }
  [[nodiscard]] std::string address_of(const std::string& process) const;
  [[nodiscard]] std::vector<std::string> databases() const;
  [[nodiscard]] std::vector<std::string> controls() const;
  /// Cuts the network between two processes in both directions.
  void cut(const std::string& one, const std::string& other);
  /// Returns the number of events of one kind recorded by all running control nodes.
  std::size_t count_events(const std::string& kind);
  [[nodiscard]] config::Object backend_object(std::size_t zone, bool drain) const;
  ControlSettings control_settings(std::size_t zone) const;
  /// Starts an additional control node "control-<number>" with an empty disk, which waits to be added as a
  /// voter.
  void start_standby(std::size_t number);
  /// Sets the state of a machine in the platform's list. Requires start_platform().
  void set_machine(const std::string& machine, const std::string& state);
  void start_platform();
  /// Runs until the writer has received `count` more acknowledgements. Returns false if `limit` is reached
  /// first.
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

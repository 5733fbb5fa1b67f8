// The runtime::Runtime of one simulated process.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <memory>
#include <string>
#include <vector>

#include "runtime/runtime.h"
#include "simulation/virtual_disk.h"
#include "simulation/virtual_http.h"
#include "simulation/virtual_lines.h"
#include "simulation/virtual_network.h"

namespace cairnhollow::simulation {

class VirtualRandom : public runtime::Random {
 public:
  explicit VirtualRandom(std::uint64_t seed) : generator_(seed) {}
  std::uint64_t below(std::uint64_t bound) override;
  double unit() override;
  std::uint64_t next() override { return generator_(); }

 private:
  boost::random::mt19937_64 generator_;
};

/// Writes into the world's trace.
class VirtualLogger : public runtime::Logger {
 public:
  explicit VirtualLogger(VirtualProcess& process) : process_(process) {}
  void log(runtime::LogLevel level, std::string_view event,
           std::initializer_list<runtime::LogField> fields) override;
  void log(runtime::LogLevel level, std::string_view event, const Reason& reason,
           std::initializer_list<runtime::LogField> fields) override;

 private:
  VirtualProcess& process_;
};

/// Streams of frames.
class VirtualFrameNetwork : public runtime::Network {
 public:
  VirtualFrameNetwork(VirtualNetwork& network, VirtualProcess& process)
      : network_(network), process_(process) {}
  Awaitable<std::shared_ptr<runtime::FrameConnection>> connect(Endpoint endpoint, TimePoint deadline,
                                                               Reason& reason) override;
  std::unique_ptr<runtime::FrameListener> listen(const Endpoint& endpoint, Reason& reason) override;

 private:
  VirtualNetwork& network_;
  VirtualProcess& process_;
};

/// Lives until the world ends, also when its process was killed.
class VirtualRuntime : public runtime::Runtime {
 public:
  /// `faults` collects the exceptions that left coroutines.
  VirtualRuntime(VirtualProcess& process, VirtualNetwork& network, VirtualDisk& disk, std::uint64_t seed,
                 std::vector<std::string>& faults);

  [[nodiscard]] TimePoint now() const override { return process_.local_now(); }
  [[nodiscard]] std::int64_t wall_clock_microseconds() const override;
  std::unique_ptr<runtime::Timer> make_timer() override;
  void spawn(std::string_view name, Awaitable<void> task) override;
  runtime::Network& network() override { return frames_; }
  runtime::HttpTransport& http() override { return http_; }
  runtime::LineTransport& lines() override { return lines_; }
  runtime::Storage& storage() override { return storage_; }
  runtime::Random& random() override { return random_; }
  runtime::Logger& logger() override { return logger_; }

  VirtualProcess& process() { return process_; }
  ResponseFaults& response_faults() { return http_.response_faults(); }

 private:
  VirtualProcess& process_;
  std::vector<std::string>& faults_;
  VirtualFrameNetwork frames_;
  VirtualHttpTransport http_;
  VirtualLineTransport lines_;
  VirtualStorage storage_;
  VirtualRandom random_;
  VirtualLogger logger_;
};

}  // namespace cairnhollow::simulation

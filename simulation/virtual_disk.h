// The disk of one simulated machine. It survives its processes. What was not synced when a process ends is
// lost, torn or kept, by the world's seed.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "runtime/storage.h"
#include "simulation/network_faults.h"
#include "simulation/virtual_process.h"

namespace cairnhollow::simulation {

/// One file: what processes see and what survives a crash for sure.
struct DiskFile {
  std::string content;
  std::optional<std::string> durable;  ///< unset: a crash may lose the file itself
};

class VirtualDisk {
 public:
  std::map<std::string, std::shared_ptr<DiskFile>> files;
  Duration sync_delay = std::chrono::milliseconds(2);
  bool failing = false;  ///< every write, sync and removal ends with kStorage and changes nothing durable
  /// Nothing that takes room is taken: of what is appended the first half may be there, of what replaces a
  /// file nothing. Syncs, cuts and removals work.
  bool full = false;

  /// A crash: each file falls back to its durable content, or keeps some or all of what came after it.
  void crash(NetworkFaults& random);
  /// The disk is replaced by an empty one.
  void wipe() { files.clear(); }
};

/// Storage of one process on a disk.
class VirtualStorage : public runtime::Storage {
 public:
  VirtualStorage(VirtualProcess& process, VirtualDisk& disk) : process_(process), disk_(disk) {}

  std::unique_ptr<runtime::AppendFile> open(const std::string& name, Reason& reason) override;
  std::optional<std::string> read(const std::string& name, Reason& reason) override;
  Awaitable<bool> write_atomically(const std::string& name, std::string content, Reason& reason) override;
  Awaitable<bool> remove(const std::string& name, Reason& reason) override;
  [[nodiscard]] std::vector<std::string> list() override;

 private:
  VirtualProcess& process_;
  VirtualDisk& disk_;
};

/// Suspends a coroutine of `process` for `delay` of world time.
Awaitable<void> pause(VirtualProcess& process, Duration delay);

}  // namespace cairnhollow::simulation

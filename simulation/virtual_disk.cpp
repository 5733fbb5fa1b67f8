#include "simulation/virtual_disk.h"

namespace cairnhollow::simulation {

namespace {

/// True, with the reason, when the disk fails.
bool fails(const VirtualDisk& disk, const char* step, Reason& reason) {
  if (disk.failing) reason = Reason{ReasonCode::kStorage, step, "", "input/output error"};
  return disk.failing;
}

/// True, with the reason, when the disk has no room.
bool is_full(const VirtualDisk& disk, const char* step, Reason& reason) {
  if (disk.full) reason = Reason{ReasonCode::kStorage, step, "", "no space left on device"};
  return disk.full;
}

class VirtualAppendFile : public runtime::AppendFile {
 public:
  VirtualAppendFile(VirtualProcess& process, VirtualDisk& disk, std::shared_ptr<DiskFile> file)
      : process_(process), disk_(disk), file_(std::move(file)) {}

  bool append(std::string_view bytes, Reason& reason) override {
    if (is_full(disk_, "append", reason)) {
      file_->content.append(bytes.substr(0, bytes.size() / 2));
      return false;
    }
    file_->content.append(bytes);
    return true;
  }

  Awaitable<bool> sync(Reason& reason) override {
    std::string synced = file_->content;
    co_await pause(process_, disk_.sync_delay);
    if (fails(disk_, "sync_file", reason)) co_return false;
    process_.trace().event(process_.scheduler().now(), "sync", process_.ordinal(), synced);
    file_->durable = std::move(synced);
    co_return true;
  }

  bool truncate(std::uint64_t size, Reason& /*reason*/) override {
    if (size < file_->content.size()) file_->content.resize(size);
    return true;
  }

  [[nodiscard]] std::uint64_t size() const override { return file_->content.size(); }

 private:
  VirtualProcess& process_;
  VirtualDisk& disk_;
  std::shared_ptr<DiskFile> file_;
};

/// What is left of the bytes behind the durable ones: all, a part, or a part whose last byte is wrong.
std::string surviving_tail(const std::string& tail, NetworkFaults& random) {
  const std::uint64_t fate = random.random_below(4);
  if (fate == 0) return "";
  if (fate == 1) return tail;
  std::string part = tail.substr(0, random.random_below(tail.size() + 1));
  if (fate == 3 && !part.empty()) part.back() = static_cast<char>(~part.back());
  return part;
}

}  // namespace

void VirtualDisk::crash(NetworkFaults& random) {
  for (auto file = files.begin(); file != files.end();) {
    DiskFile& state = *file->second;
    const std::string durable = state.durable.value_or("");
    if (!state.durable && random.random_below(2) == 0) {
      file = files.erase(file);
      continue;
    }
    if (state.content.starts_with(durable)) {
      state.content = durable + surviving_tail(state.content.substr(durable.size()), random);
    } else if (random.random_below(2) == 0) {
      state.content = durable;  // a truncation that had not become durable is undone
    }
    // A new object, so that a sync of the dead process that is still under way changes nothing.
    file->second = std::make_shared<DiskFile>(DiskFile{state.content, state.content});
    ++file;
  }
}

std::unique_ptr<runtime::AppendFile> VirtualStorage::open(const std::string& name, Reason& /*reason*/) {
  auto& file = disk_.files[name];
  if (!file) file = std::make_shared<DiskFile>();
  return std::make_unique<VirtualAppendFile>(process_, disk_, file);
}

std::optional<std::string> VirtualStorage::read(const std::string& name, Reason& reason) {
  const auto file = disk_.files.find(name);
  if (file != disk_.files.end()) return file->second->content;
  reason = Reason{ReasonCode::kNotFound, "read_file", "", name};
  return std::nullopt;
}

Awaitable<bool> VirtualStorage::write_atomically(const std::string& name, std::string content,
                                                 Reason& reason) {
  // A copy: `name` may end while this coroutine waits.
  const std::string file_name = name;  // NOLINT(performance-unnecessary-copy-initialization)
  co_await pause(process_, disk_.sync_delay);
  if (fails(disk_, "write_file", reason) || is_full(disk_, "write_file", reason)) co_return false;
  process_.trace().event(process_.scheduler().now(), "write", process_.ordinal(), content);
  disk_.files[file_name] = std::make_shared<DiskFile>(DiskFile{content, content});
  co_return true;
}

Awaitable<bool> VirtualStorage::remove(const std::string& name, Reason& reason) {
  // A copy: `name` may end while this coroutine waits.
  const std::string file_name = name;  // NOLINT(performance-unnecessary-copy-initialization)
  co_await pause(process_, disk_.sync_delay);
  if (fails(disk_, "remove_file", reason)) co_return false;
  disk_.files.erase(file_name);
  co_return true;
}

std::vector<std::string> VirtualStorage::list() {
  std::vector<std::string> names;
  for (const auto& [name, file] : disk_.files) names.push_back(name);
  return names;
}

Awaitable<void> pause(VirtualProcess& process, Duration delay) {
  const auto suspension = std::make_shared<Suspension>(process);
  process.scheduler().schedule_after(delay, [suspension] { suspension->resume(); });
  co_await suspension->wait();
}

}  // namespace cairnhollow::simulation

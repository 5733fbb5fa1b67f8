#include "runtime/asio/posix_storage.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <filesystem>
#include <system_error>

namespace cairnhollow::runtime {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kStorageThreads = 2;
constexpr mode_t kFileMode = 0640;
constexpr std::size_t kReadBytes = std::size_t{1024} * 1024;
constexpr std::string_view kTemporarySuffix = ".tmp";

/// Returns errno if a system call failed, or 0 on success.
int error_of(int result) { return result < 0 ? errno : 0; }

Reason storage_reason(std::string_view step, const std::string& name, std::string_view call, int error) {
  const auto code = error == ENOENT ? ReasonCode::kNotFound : ReasonCode::kStorage;
  return Reason{code, std::string(step), "",
                name + ": " + std::string(call) + ": " + std::generic_category().message(error)};
}

bool is_temporary(std::string_view name) {
  return name.size() >= kTemporarySuffix.size() &&
         name.substr(name.size() - kTemporarySuffix.size()) == kTemporarySuffix;
}

int write_all(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = ::write(descriptor, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return errno;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return 0;
}

/// Runs `work` on the pool and resumes the caller on its own executor with the error number that `work`
/// returned. Not a coroutine itself: the arguments are copied before it returns.
Awaitable<int> run_on_pool(asio::thread_pool& pool, const asio::any_io_executor& executor,
                           const std::function<int()>& work) {
  const auto initiate = [&pool, executor, work](auto handler) {
    auto guard = asio::make_work_guard(executor);
    asio::post(pool, [guard = std::move(guard), work, handler = std::move(handler)]() mutable {
      const int error = work();
      const auto target = guard.get_executor();
      asio::post(target, [error, handler = std::move(handler)]() mutable { handler(error); });
    });
  };
  return asio::async_initiate<const asio::use_awaitable_t<>, void(int)>(initiate, asio::use_awaitable);
}

class PosixAppendFile : public AppendFile {
 public:
  PosixAppendFile(asio::thread_pool& pool, asio::any_io_executor executor, std::string name,
                  std::shared_ptr<FileDescriptor> file, std::shared_ptr<FileDescriptor> folder,
                  std::uint64_t size)
      : pool_(pool),
        executor_(std::move(executor)),
        name_(std::move(name)),
        file_(std::move(file)),
        folder_(std::move(folder)),
        size_(size) {}

  bool append(std::string_view bytes, Reason& reason) override;
  Awaitable<bool> sync(Reason& reason) override;
  bool truncate(std::uint64_t size, Reason& reason) override;
  [[nodiscard]] std::uint64_t size() const override { return size_; }

 private:
  bool check_usable(std::string_view step, Reason& reason) const;
  bool fail(std::string_view step, std::string_view call, int error, Reason& reason);

  asio::thread_pool& pool_;
  asio::any_io_executor executor_;
  std::string name_;
  std::shared_ptr<FileDescriptor> file_;
  std::shared_ptr<FileDescriptor> folder_;  ///< reset once the directory entry is durable
  std::uint64_t size_;
  bool failed_ = false;
};

bool PosixAppendFile::check_usable(std::string_view step, Reason& reason) const {
  if (failed_) {
    reason = Reason{ReasonCode::kStorage, std::string(step), "",
                    name_ + ": refused because an earlier write or sync of this file failed"};
  }
  return !failed_;
}

bool PosixAppendFile::fail(std::string_view step, std::string_view call, int error, Reason& reason) {
  failed_ = true;
  reason = storage_reason(step, name_, call, error);
  return false;
}

bool PosixAppendFile::append(std::string_view bytes, Reason& reason) {
  if (!check_usable("append", reason)) return false;
  const int error = write_all(file_->number(), bytes);
  if (error != 0) {
    // Undo a short write, so that the file is as before the call.
    const bool restored = ::ftruncate(file_->number(), static_cast<off_t>(size_)) == 0;
    if (!restored) return fail("append", "write", error, reason);
    reason = storage_reason("append", name_, "write", error);
    return false;
  }
  size_ += bytes.size();
  return true;
}

Awaitable<bool> PosixAppendFile::sync(Reason& reason) {
  if (!check_usable("sync", reason)) co_return false;
  auto work = [file = file_, folder = folder_] {
    const int error = error_of(::fdatasync(file->number()));
    if (error != 0 || !folder) return error;
    return error_of(::fsync(folder->number()));
  };
  const int error = co_await run_on_pool(pool_, executor_, std::move(work));
  // After a failed fsync the kernel may have dropped dirty pages, so no later sync can be trusted.
  if (error != 0) co_return fail("sync", "fsync", error, reason);
  folder_.reset();
  co_return true;
}

bool PosixAppendFile::truncate(std::uint64_t size, Reason& reason) {
  if (!check_usable("truncate", reason)) return false;
  if (size > size_) {
    reason = Reason{ReasonCode::kInvalidArgument, "truncate", "",
                    name_ + ": cannot truncate beyond the end of the file"};
    return false;
  }
  const int error = error_of(::ftruncate(file_->number(), static_cast<off_t>(size)));
  if (error != 0) return fail("truncate", "ftruncate", error, reason);
  size_ = size;
  return true;
}

/// Writes and syncs a temporary file, renames it to `path`, and syncs the folder.
int replace_file(const std::string& path, const std::string& content, int folder) {
  const std::string temporary = path + std::string(kTemporarySuffix);
  const FileDescriptor file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
  if (!file.is_open()) return errno;
  int error = write_all(file.number(), content);
  if (error == 0) error = error_of(::fsync(file.number()));
  if (error == 0) error = error_of(::rename(temporary.c_str(), path.c_str()));
  if (error == 0) return error_of(::fsync(folder));
  ::unlink(temporary.c_str());
  return error;
}

}  // namespace

FileDescriptor::~FileDescriptor() {
  if (is_open()) ::close(number_);
}

PosixStorage::PosixStorage(asio::any_io_executor executor, std::string folder)
    : executor_(std::move(executor)), folder_(std::move(folder)), pool_(kStorageThreads) {
  if (folder_.empty()) {
    unusable_reason_ = "no data folder is configured";
  } else {
    prepare_folder();
  }
}

PosixStorage::~PosixStorage() { pool_.join(); }

void PosixStorage::prepare_folder() {
  std::error_code error;
  std::filesystem::create_directories(folder_, error);
  folder_descriptor_ =
      std::make_shared<FileDescriptor>(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!folder_descriptor_->is_open()) {
    unusable_reason_ = folder_ + ": " + std::generic_category().message(errno);
    return;
  }
  if (::flock(folder_descriptor_->number(), LOCK_EX | LOCK_NB) != 0) {
    unusable_reason_ = folder_ + ": in use by another process";
    return;
  }
  for (const auto& entry : std::filesystem::directory_iterator(folder_, error)) {
    const bool left_over = is_temporary(entry.path().filename().string());
    if (left_over) std::filesystem::remove(entry.path(), error);
  }
}

bool PosixStorage::check_usable(std::string_view step, const std::string& name, Reason& reason) const {
  if (!unusable_reason_.empty()) {
    reason = Reason{ReasonCode::kStorage, std::string(step), "", unusable_reason_};
    return false;
  }
  const bool bad_name = name.empty() || name == "." || name == ".." || is_temporary(name) ||
                        name.find('/') != std::string::npos || name.find('\0') != std::string::npos;
  if (bad_name) {
    reason = Reason{ReasonCode::kInvalidArgument, std::string(step), "", "invalid file name: " + name};
  }
  return !bad_name;
}

std::unique_ptr<AppendFile> PosixStorage::open(const std::string& name, Reason& reason) {
  if (!check_usable("open_file", name, reason)) return nullptr;
  const int flags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC;
  auto file = std::make_shared<FileDescriptor>(::open(path_of(name).c_str(), flags, kFileMode));
  if (!file->is_open()) {
    reason = storage_reason("open_file", name, "open", errno);
    return nullptr;
  }
  struct stat status {};
  if (::fstat(file->number(), &status) != 0) {
    reason = storage_reason("open_file", name, "fstat", errno);
    return nullptr;
  }
  return std::make_unique<PosixAppendFile>(pool_, executor_, name, std::move(file), folder_descriptor_,
                                           static_cast<std::uint64_t>(status.st_size));
}

std::optional<std::string> PosixStorage::read(const std::string& name, Reason& reason) {
  if (!check_usable("read_file", name, reason)) return std::nullopt;
  const FileDescriptor file(::open(path_of(name).c_str(), O_RDONLY | O_CLOEXEC));
  if (!file.is_open()) {
    reason = storage_reason("read_file", name, "open", errno);
    return std::nullopt;
  }
  std::string content;
  std::string chunk(kReadBytes, '\0');
  while (true) {
    const ssize_t count = ::read(file.number(), chunk.data(), chunk.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) {
      reason = storage_reason("read_file", name, "read", errno);
      return std::nullopt;
    }
    if (count == 0) return content;
    content.append(chunk, 0, static_cast<std::size_t>(count));
  }
}

Awaitable<bool> PosixStorage::write_atomically(const std::string& name, std::string content, Reason& reason) {
  // Copied because `name` may be destroyed while this coroutine is suspended.
  const std::string file_name = name;  // NOLINT(performance-unnecessary-copy-initialization)
  if (!check_usable("write_file", file_name, reason)) co_return false;
  auto work = [path = path_of(file_name), content = std::move(content), folder = folder_descriptor_] {
    return replace_file(path, content, folder->number());
  };
  const int error = co_await run_on_pool(pool_, executor_, std::move(work));
  if (error != 0) reason = storage_reason("write_file", file_name, "write", error);
  co_return error == 0;
}

Awaitable<bool> PosixStorage::remove(const std::string& name, Reason& reason) {
  // Copied because `name` may be destroyed while this coroutine is suspended.
  const std::string file_name = name;  // NOLINT(performance-unnecessary-copy-initialization)
  if (!check_usable("remove_file", file_name, reason)) co_return false;
  auto work = [path = path_of(file_name), folder = folder_descriptor_] {
    const int error = error_of(::unlink(path.c_str()));
    return error != 0 ? error : error_of(::fsync(folder->number()));
  };
  const int error = co_await run_on_pool(pool_, executor_, std::move(work));
  if (error != 0) reason = storage_reason("remove_file", file_name, "unlink", error);
  co_return error == 0;
}

std::vector<std::string> PosixStorage::list() {
  std::vector<std::string> names;
  if (!unusable_reason_.empty()) return names;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder_, error)) {
    const std::string name = entry.path().filename().string();
    if (entry.is_regular_file(error) && !is_temporary(name)) names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace cairnhollow::runtime

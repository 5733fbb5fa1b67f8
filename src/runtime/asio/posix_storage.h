// Storage in one folder by POSIX calls. fsync runs on a separate thread, so that a slow disk never blocks the
// program's only thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/thread_pool.hpp>
#include <memory>
#include <string>

#include "runtime/storage.h"

namespace cairnhollow::runtime {

/// A shared file descriptor, closed with its last owner.
class FileDescriptor {
 public:
  explicit FileDescriptor(int number) : number_(number) {}
  ~FileDescriptor();
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  [[nodiscard]] int number() const { return number_; }
  [[nodiscard]] bool is_open() const { return number_ >= 0; }

 private:
  int number_;
};

/// Creates the folder if it is missing and locks it against other processes for the lifetime of this object.
/// If that fails, every operation fails with kStorage and the cause. File names must not contain '/' or end
/// in ".tmp". A file whose write or sync failed refuses further operations, because its contents are unknown.
class PosixStorage : public Storage {
 public:
  PosixStorage(boost::asio::any_io_executor executor, std::string folder);
  ~PosixStorage() override;

  std::unique_ptr<AppendFile> open(const std::string& name, Reason& reason) override;
  std::optional<std::string> read(const std::string& name, Reason& reason) override;
  Awaitable<bool> write_atomically(const std::string& name, std::string content, Reason& reason) override;
  Awaitable<bool> remove(const std::string& name, Reason& reason) override;
  [[nodiscard]] std::vector<std::string> list() override;

 private:
  [[nodiscard]] std::string path_of(const std::string& name) const { return folder_ + "/" + name; }
  /// Returns false and sets the reason if the folder cannot be used or the name is invalid.
  bool check_usable(std::string_view step, const std::string& name, Reason& reason) const;
  void prepare_folder();

  boost::asio::any_io_executor executor_;
  std::string folder_;
  std::shared_ptr<FileDescriptor> folder_descriptor_;
  std::string unusable_reason_;  ///< why the folder cannot be used; empty if it can
  boost::asio::thread_pool pool_;
};

}  // namespace cairnhollow::runtime

// Files of one data folder. Nothing is durable until sync() or write_atomically() has returned true.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/reason.h"
#include "runtime/awaitable.h"

namespace cairnhollow::runtime {

/// An append-only file. At most one operation may be in flight at a time.
class AppendFile {
 public:
  virtual ~AppendFile() = default;
  virtual bool append(std::string_view bytes, Reason& reason) = 0;
  /// Makes all appends and truncations so far durable.
  virtual Awaitable<bool> sync(Reason& reason) = 0;
  /// Truncates the file to `size` bytes; durable after the next sync().
  virtual bool truncate(std::uint64_t size, Reason& reason) = 0;
  [[nodiscard]] virtual std::uint64_t size() const = 0;
};

class Storage {
 public:
  virtual ~Storage() = default;
  /// Opens a file for appending, creating it if it is missing. Returns null on failure.
  virtual std::unique_ptr<AppendFile> open(const std::string& name, Reason& reason) = 0;
  /// Returns the whole content, or std::nullopt with kNotFound if the file does not exist.
  virtual std::optional<std::string> read(const std::string& name, Reason& reason) = 0;
  /// Atomically replaces the file: after a crash it has either the old or the new content. The new content is
  /// durable once this returns true.
  virtual Awaitable<bool> write_atomically(const std::string& name, std::string content, Reason& reason) = 0;
  virtual Awaitable<bool> remove(const std::string& name, Reason& reason) = 0;
  [[nodiscard]] virtual std::vector<std::string> list() = 0;
};

}  // namespace cairnhollow::runtime

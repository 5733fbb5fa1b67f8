// Reads the members of a JSON object and collects all errors, so that one answer can report them together.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"

namespace cairnhollow::declared::proxy {

/// Each accessor returns a default value when it records an error. `object` must outlive the reader.
class FieldReader {
 public:
  explicit FieldReader(const boost::json::object& object) : object_(object) {}

  std::string required_string(std::string_view name, std::size_t maximum_length);
  std::optional<std::string> optional_string(std::string_view name, std::size_t maximum_length);
  bool flag(std::string_view name, bool default_value);
  std::optional<std::uint64_t> optional_number(std::string_view name, std::uint64_t minimum,
                                               std::uint64_t maximum);
  /// Reads an object whose members are all strings. Lengths are in bytes.
  LabelSet labels(std::string_view name, std::size_t maximum_count, std::size_t maximum_length);

  /// Records an error, for rules that span several members.
  void add_error(std::string text) { errors_.push_back(std::move(text)); }
  /// Records an error for each member that no accessor has read. Call last.
  void reject_unknown();
  [[nodiscard]] const std::vector<std::string>& errors() const { return errors_; }

 private:
  const boost::json::value* find(std::string_view name);

  const boost::json::object& object_;
  std::vector<std::string_view> known_;
  std::vector<std::string> errors_;
};

}  // namespace cairnhollow::declared::proxy

#include "declared/proxy/calls/field_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/value.hpp>

namespace cairnhollow::declared::proxy {

namespace {

/// Maximum number of characters of an unknown member's name in error messages, since the name is untrusted
/// input.
constexpr std::size_t kMaximumNameLengthInError = 40;
constexpr std::size_t kMaximumUnknownReported = 8;

}  // namespace

const boost::json::value* FieldReader::find(std::string_view name) {
  known_.push_back(name);
  return object_.if_contains(name);
}

std::string FieldReader::required_string(std::string_view name, std::size_t maximum_length) {
  auto text = optional_string(name, maximum_length);
  if (text && !text->empty()) return std::move(*text);
  if (text || object_.if_contains(name) == nullptr) {
    add_error(fmt::format("{}: required and must not be empty", name));
  }
  return {};
}

std::optional<std::string> FieldReader::optional_string(std::string_view name, std::size_t maximum_length) {
  const auto* value = find(name);
  if (value == nullptr) return std::nullopt;
  const auto* text = value->if_string();
  if (text == nullptr) {
    add_error(fmt::format("{}: must be a string", name));
    return std::nullopt;
  }
  if (text->size() > maximum_length) {
    add_error(fmt::format("{}: longer than {} bytes", name, maximum_length));
    return std::nullopt;
  }
  return std::string(text->data(), text->size());
}

bool FieldReader::flag(std::string_view name, bool default_value) {
  const auto* value = find(name);
  if (value == nullptr) return default_value;
  if (const auto* flag = value->if_bool()) return *flag;
  add_error(fmt::format("{}: must be true or false", name));
  return default_value;
}

std::optional<std::uint64_t> FieldReader::optional_number(std::string_view name, std::uint64_t minimum,
                                                          std::uint64_t maximum) {
  const auto* value = find(name);
  if (value == nullptr) return std::nullopt;
  boost::json::error_code error;
  const auto number = value->is_number() ? value->to_number<std::uint64_t>(error) : 0;
  if (value->is_number() && !error && number >= minimum && number <= maximum) return number;
  add_error(fmt::format("{}: must be a whole number from {} to {}", name, minimum, maximum));
  return std::nullopt;
}

LabelSet FieldReader::labels(std::string_view name, std::size_t maximum_count, std::size_t maximum_length) {
  LabelSet labels;
  const auto* value = find(name);
  if (value == nullptr) return labels;
  const auto* entries = value->if_object();
  if (entries == nullptr || entries->size() > maximum_count) {
    add_error(fmt::format("{}: must be an object of at most {} strings", name, maximum_count));
    return labels;
  }
  for (const auto& entry : *entries) {
    const auto* text = entry.value().if_string();
    if (text == nullptr || text->size() > maximum_length || entry.key().size() > maximum_length) {
      add_error(fmt::format("{}: keys and values must be strings of at most {} bytes", name, maximum_length));
      return labels;
    }
    labels.entries.emplace(std::string(entry.key()), std::string(text->data(), text->size()));
  }
  return labels;
}

void FieldReader::reject_unknown() {
  std::size_t reported = 0;
  for (const auto& entry : object_) {
    const std::string_view name(entry.key().data(), entry.key().size());
    if (std::find(known_.begin(), known_.end(), name) != known_.end()) continue;
    if (++reported > kMaximumUnknownReported) return;
    add_error(fmt::format("{}: unknown member", name.substr(0, kMaximumNameLengthInError)));
  }
}

}  // namespace cairnhollow::declared::proxy

#include "cli/settings_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <limits>

namespace cairnhollow::cli {
namespace {

constexpr std::size_t kLongestName = 253;

struct DurationUnit {
  std::string_view name;
  std::int64_t nanoseconds;
};
/// Longest first: duration_to_string() takes the first that divides.
constexpr std::array<DurationUnit, 6> kDurationUnits{{{"h", 3'600'000'000'000},
                                                      {"m", 60'000'000'000},
                                                      {"s", 1'000'000'000},
                                                      {"ms", 1'000'000},
                                                      {"us", 1'000},
                                                      {"ns", 1}}};

/// A whole number without sign, and where it ends.
struct LeadingNumber {
  std::uint64_t value = 0;
  std::string_view rest;
};

std::optional<LeadingNumber> parse_leading_number(std::string_view text) {
  LeadingNumber number;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number.value);
  if (error != std::errc{}) return std::nullopt;
  number.rest = text.substr(static_cast<std::size_t>(end - text.data()));
  return number;
}

bool is_letter_or_digit(char character) {
  return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

bool is_name(const std::string& text) {
  if (text.empty() || text.size() > kLongestName) return false;
  const bool allowed = std::all_of(text.begin(), text.end(), [](char character) {
    return is_letter_or_digit(character) || character == '-' || character == '.';
  });
  return allowed && is_letter_or_digit(text.front()) && is_letter_or_digit(text.back());
}

std::optional<Endpoint> parse_ip_endpoint(const std::string& text) {
  auto endpoint = parse_endpoint(text);
  if (!endpoint) return std::nullopt;
  boost::system::error_code error;
  boost::asio::ip::make_address(endpoint->address, error);
  if (error) return std::nullopt;
  return endpoint;
}

constexpr const char* kNameReason =
    "must be a name: lower-case letters, digits, '-' and '.', beginning and ending with a letter or digit";
constexpr const char* kEndpointReason =
    "must be an IP address and a port, such as 127.0.0.1:4000 or [::1]:4000";

}  // namespace

std::string SettingsFault::to_string() const {
  std::string text = source;
  if (line > 0) text += fmt::format(":{}", line);
  if (!field.empty()) text += fmt::format(": {}", field);
  return text + ": " + reason;
}

std::optional<SettingsOverride> parse_settings_override(const std::string& text) {
  const auto equals = text.find('=');
  if (equals == std::string::npos || equals == 0) return std::nullopt;
  const std::string key = text.substr(0, equals);
  return SettingsOverride{"--set " + key, key, text.substr(equals + 1)};
}

SettingsReader::SettingsReader(std::string source, const YAML::Node& mapping,
                               std::vector<SettingsFault>& faults)
    : source_(std::move(source)), mapping_(mapping), faults_(faults) {
  check_duplicates();
}

void SettingsReader::apply(const SettingsOverride& setting) {
  flags_[setting.key] = setting.flag;
  try {
    const bool is_text = setting.form == OverrideForm::kText;
    mapping_[setting.key] = is_text ? YAML::Node(setting.value) : YAML::Load(setting.value);
  } catch (const YAML::Exception& error) {
    report(setting.key, fmt::format("is no YAML: {}", error.msg));
    mapping_.remove(setting.key);
    known_.insert(setting.key);
  }
}

void SettingsReader::check_duplicates() {
  std::set<std::string> seen;
  for (const auto& entry : mapping_) {
    const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "";
    if (!seen.insert(key).second) report_at(key, entry.first, "stands twice");
  }
}

int SettingsReader::line_of(const YAML::Node& node) const {
  const auto mark = node.Mark();
  return mark.is_null() ? 0 : mark.line + 1;
}

void SettingsReader::report_at(const std::string& key, const YAML::Node& node, std::string reason) {
  const int line = flags_.count(key) > 0 ? 0 : line_of(node);
  faults_.push_back(SettingsFault{source_of(key), line, field_of(key), std::move(reason)});
}

std::string SettingsReader::source_of(const std::string& key) const {
  const auto flag = flags_.find(key);
  return flag == flags_.end() ? source_ : flag->second;
}

void SettingsReader::report(const std::string& key, std::string reason) {
  const YAML::Node node = std::as_const(mapping_)[key];
  report_at(key, node.IsDefined() ? node : mapping_, std::move(reason));
}

std::optional<YAML::Node> SettingsReader::take(const std::string& key, Presence presence) {
  const bool failed_before = !known_.insert(key).second;
  const YAML::Node node = std::as_const(mapping_)[key];
  if (node.IsDefined() && !node.IsNull()) return node;
  if (presence == Presence::kRequired && !failed_before) report(key, "is required");
  return std::nullopt;
}

std::optional<std::string> SettingsReader::take_scalar(const std::string& key, Presence presence) {
  const auto node = take(key, presence);
  if (!node) return std::nullopt;
  if (node->IsScalar()) return node->Scalar();
  report_at(key, *node, "must be a single value");
  return std::nullopt;
}

void SettingsReader::read(const std::string& key, std::string& value, Presence presence) {
  const auto text = take_scalar(key, presence);
  if (text && text->empty() && presence == Presence::kRequired) report(key, "must not be empty");
  if (text) value = *text;
}

void SettingsReader::read(const std::string& key, bool& value) {
  const auto text = take_scalar(key, Presence::kOptional);
  if (!text) return;
  if (*text == "true" || *text == "false") {
    value = *text == "true";
  } else {
    report(key, "must be true or false");
  }
}

std::optional<std::uint64_t> SettingsReader::take_number(const std::string& key, Range<std::uint64_t> range) {
  const auto text = take_scalar(key, Presence::kOptional);
  if (!text) return std::nullopt;
  const auto number = parse_leading_number(*text);
  if (number && number->rest.empty() && number->value >= range.lowest && number->value <= range.highest) {
    return number->value;
  }
  report(key, fmt::format("must be a whole number from {} to {}", range.lowest, range.highest));
  return std::nullopt;
}

void SettingsReader::read(const std::string& key, std::uint32_t& value, Range<std::uint32_t> range) {
  const auto number = take_number(key, {range.lowest, range.highest});
  if (number) value = static_cast<std::uint32_t>(*number);
}

void SettingsReader::read(const std::string& key, double& value, Range<double> range) {
  const auto text = take_scalar(key, Presence::kOptional);
  if (!text) return;
  double number = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), number);
  const bool is_number = error == std::errc() && end == text->data() + text->size();
  if (is_number && number >= range.lowest && number <= range.highest) {
    value = number;
    return;
  }
  report(key, fmt::format("must be a number from {} to {}", range.lowest, range.highest));
}

void SettingsReader::read(const std::string& key, std::uint64_t& value, Range<std::uint64_t> range) {
  if (const auto number = take_number(key, range)) value = *number;
}

void SettingsReader::read(const std::string& key, Duration& value, Range<Duration> range) {
  const auto text = take_scalar(key, Presence::kOptional);
  if (!text) return;
  const auto duration = parse_duration(*text);
  if (!duration) {
    report(key, "must be a number and a unit (ns, us, ms, s, m, h), such as 250ms");
  } else if (*duration < range.lowest || *duration > range.highest) {
    report(key, fmt::format("must be from {} to {}", duration_to_string(range.lowest),
                            duration_to_string(range.highest)));
  } else {
    value = *duration;
  }
}

void SettingsReader::read(const std::string& key, Endpoint& value, Presence presence) {
  const auto text = take_scalar(key, presence);
  if (!text) return;
  if (const auto endpoint = parse_ip_endpoint(*text)) {
    value = *endpoint;
  } else {
    report(key, kEndpointReason);
  }
}

void SettingsReader::read(const std::string& key, std::vector<Endpoint>& values, Presence presence) {
  const auto node = take(key, presence);
  if (!node) return;
  if (!node->IsSequence()) return report_at(key, *node, "must be a list");
  if (node->size() == 0 && presence == Presence::kRequired) return report_at(key, *node, "must not be empty");
  values.clear();
  for (const auto& item : *node) {
    const auto endpoint = item.IsScalar() ? parse_ip_endpoint(item.Scalar()) : std::nullopt;
    if (endpoint) {
      values.push_back(*endpoint);
    } else {
      report_at(key, item, kEndpointReason);
    }
  }
}

void SettingsReader::read(const std::string& key, std::vector<std::string>& values, Presence presence) {
  const auto node = take(key, presence);
  if (!node) return;
  if (!node->IsSequence()) return report_at(key, *node, "must be a list");
  if (node->size() == 0 && presence == Presence::kRequired) return report_at(key, *node, "must not be empty");
  values.clear();
  for (const auto& item : *node) {
    if (item.IsScalar() && !item.Scalar().empty()) {
      values.push_back(item.Scalar());
    } else {
      report_at(key, item, "must hold texts that are not empty");
    }
  }
}

std::optional<std::string> SettingsReader::read_name(const std::string& key, Presence presence) {
  auto text = take_scalar(key, presence);
  if (!text || is_name(*text)) return text;
  report(key, kNameReason);
  return std::nullopt;
}

std::map<std::string, std::string> SettingsReader::read_name_pairs(const std::string& key) {
  std::map<std::string, std::string> pairs;
  const auto node = take(key, Presence::kOptional);
  if (!node) return pairs;
  if (!node->IsMap()) {
    report_at(key, *node, "must be a mapping of names to names");
    return pairs;
  }
  for (const auto& entry : *node) {
    const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "";
    const std::string value = entry.second.IsScalar() ? entry.second.Scalar() : "";
    if (!is_name(name) || !is_name(value)) {
      report_at(key, entry.first, kNameReason);
    } else if (!pairs.emplace(name, value).second) {
      report_at(key, entry.first, fmt::format("names {} twice", name));
    }
  }
  return pairs;
}

std::optional<std::size_t> SettingsReader::read_choice(const std::string& key,
                                                       const std::vector<std::string>& choices) {
  const auto text = take_scalar(key, Presence::kOptional);
  if (!text) return std::nullopt;
  const auto choice = std::find(choices.begin(), choices.end(), *text);
  if (choice != choices.end()) return static_cast<std::size_t>(choice - choices.begin());
  report(key, fmt::format("must be one of {}", fmt::join(choices, ", ")));
  return std::nullopt;
}

void SettingsReader::read_list(const std::string& key, const std::function<void(SettingsReader&)>& read_item,
                               Presence presence) {
  const auto node = take(key, presence);
  if (!node) return;
  if (!node->IsSequence()) return report_at(key, *node, "must be a list");
  if (node->size() == 0 && presence == Presence::kRequired) return report_at(key, *node, "must not be empty");
  for (std::size_t index = 0; index < node->size(); ++index) {
    const YAML::Node item = (*node)[index];
    if (!item.IsMap()) {
      report_at(key, item, "must hold mappings");
      continue;
    }
    SettingsReader item_reader(source_of(key), item, faults_);
    item_reader.prefix_ = fmt::format("{}[{}].", field_of(key), index);
    read_item(item_reader);
    item_reader.finish();
  }
}

void SettingsReader::finish() {
  for (const auto& entry : mapping_) {
    const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "";
    if (known_.count(key) == 0) report_at(key, entry.first, "is not a known setting");
  }
}

std::optional<YAML::Node> load_settings_file(const std::string& file_name,
                                             std::vector<SettingsFault>& faults) {
  try {
    YAML::Node root = YAML::LoadFile(file_name);
    if (root.IsNull()) return YAML::Node(YAML::NodeType::Map);
    if (root.IsMap()) return root;
    faults.push_back({file_name, root.Mark().line + 1, "", "must be a mapping of settings"});
  } catch (const YAML::BadFile&) {
    faults.push_back({file_name, 0, "", "cannot be read"});
  } catch (const YAML::Exception& error) {
    faults.push_back({file_name, error.mark.line + 1, "", fmt::format("is no YAML: {}", error.msg)});
  } catch (const std::exception& error) {
    // Reading the bytes failed, e.g. of a folder.
    faults.push_back({file_name, 0, "", fmt::format("cannot be read: {}", error.what())});
  }
  return std::nullopt;
}

std::optional<Duration> parse_duration(const std::string& text) {
  const auto number = parse_leading_number(text);
  if (!number) return std::nullopt;
  if (number->rest.empty()) return number->value == 0 ? std::optional(Duration(0)) : std::nullopt;
  for (const DurationUnit& unit : kDurationUnits) {
    if (number->rest != unit.name) continue;
    const auto most = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / unit.nanoseconds);
    if (number->value > most) return std::nullopt;
    return Duration(static_cast<std::int64_t>(number->value) * unit.nanoseconds);
  }
  return std::nullopt;
}

std::string duration_to_string(Duration duration) {
  if (duration.count() == 0) return "0";
  for (const DurationUnit& unit : kDurationUnits) {
    if (duration.count() % unit.nanoseconds == 0) {
      return fmt::format("{}{}", duration.count() / unit.nanoseconds, unit.name);
    }
  }
  return fmt::format("{}ns", duration.count());
}

}  // namespace cairnhollow::cli

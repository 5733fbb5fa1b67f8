// Typed reading of a settings file (YAML). Collects every fault of a file, so that one run shows them all.
#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"

namespace cairnhollow::cli {

/// One thing that is wrong with the settings.
struct SettingsFault {
  std::string source;  ///< the file's name, or the flag that set the value
  int line = 0;        ///< from 1; 0 when the source has no lines
  std::string field;   ///< e.g. "initial_members[1].endpoint"; empty for the file as a whole
  std::string reason;

  /// "proxy.yaml:3: follow_interval: ..."
  [[nodiscard]] std::string to_string() const;
};

/// How a flag's value is to be taken.
enum class OverrideForm : std::uint8_t { kYaml, kText };

/// A setting given as a flag; it goes over the file's.
struct SettingsOverride {
  std::string flag;  ///< as faults name it, e.g. "--data" or "--set zone"
  std::string key;   ///< a key of the file's top level
  std::string value;
  OverrideForm form = OverrideForm::kYaml;
};

/// Parses the "KEY=VALUE" of --set; empty when there is no '=' or no key.
std::optional<SettingsOverride> parse_settings_override(const std::string& text);

/// Bounds of a number or a duration, both ends included.
template <class T>
struct Range {
  T lowest;
  T highest;
};

enum class Presence : std::uint8_t { kRequired, kOptional };

/// Reads one mapping. Each read() takes the key's value when it is there and in order; a key that is missing
/// leaves the value as it was, and is a fault when it is required. A key that no read() asked for is one too.
class SettingsReader {
 public:
  /// `faults` outlives the reader.
  SettingsReader(std::string source, const YAML::Node& mapping, std::vector<SettingsFault>& faults);

  /// Puts a flag's value in place of the file's.
  void apply(const SettingsOverride& setting);

  void read(const std::string& key, std::string& value, Presence presence = Presence::kOptional);
  void read(const std::string& key, bool& value);
  void read(const std::string& key, std::uint32_t& value, Range<std::uint32_t> range);
  void read(const std::string& key, std::uint64_t& value, Range<std::uint64_t> range);
  /// A decimal number, e.g. "0.1".
  void read(const std::string& key, double& value, Range<double> range);
  /// A number and a unit: ns, us, ms, s, m, h. "0" needs no unit.
  void read(const std::string& key, Duration& value, Range<Duration> range);
  /// "address:port" with an IP address.
  void read(const std::string& key, Endpoint& value, Presence presence = Presence::kOptional);
  void read(const std::string& key, std::vector<Endpoint>& values, Presence presence = Presence::kOptional);
  /// A name: lower-case letters, digits, '-' and '.', at most 253 characters, beginning and ending with a
  /// letter or digit.
  template <class Tag>
  void read(const std::string& key, Name<Tag>& value, Presence presence = Presence::kOptional) {
    if (const auto text = read_name(key, presence)) value.value = *text;
  }
  /// A mapping of names to names.
  template <class Key, class Value>
  void read(const std::string& key, std::map<Name<Key>, Name<Value>>& values) {
    for (auto& [name, value] : read_name_pairs(key)) values[Name<Key>(name)] = Name<Value>(value);
  }
  /// A list of texts.
  void read(const std::string& key, std::vector<std::string>& values,
            Presence presence = Presence::kOptional);
  /// One of `choices`, by its place in the list.
  std::optional<std::size_t> read_choice(const std::string& key, const std::vector<std::string>& choices);
  /// A list of mappings; `read_item` is called with a reader for each.
  void read_list(const std::string& key, const std::function<void(SettingsReader&)>& read_item,
                 Presence presence = Presence::kOptional);

  /// Every key that was asked for so far, there or not.
  [[nodiscard]] const std::set<std::string>& known_keys() const { return known_; }
  /// Reports a rule between settings that does not hold.
  void report(const std::string& key, std::string reason);
  /// Reports the keys that nobody asked for. Call once, last.
  void finish();

 private:
  /// The value of a key; marks it as known. Empty when it is missing (then reported when required).
  std::optional<YAML::Node> take(const std::string& key, Presence presence);
  std::optional<std::string> take_scalar(const std::string& key, Presence presence);
  std::optional<std::uint64_t> take_number(const std::string& key, Range<std::uint64_t> range);
  std::optional<std::string> read_name(const std::string& key, Presence presence);
  std::map<std::string, std::string> read_name_pairs(const std::string& key);
  void report_at(const std::string& key, const YAML::Node& node, std::string reason);
  [[nodiscard]] std::string field_of(const std::string& key) const { return prefix_ + key; }
  [[nodiscard]] int line_of(const YAML::Node& node) const;
  /// What faults of a key name as their source.
  [[nodiscard]] std::string source_of(const std::string& key) const;
  void check_duplicates();

  std::string source_;
  std::string prefix_;  ///< of the fields' names in faults: "initial_members[1]."
  YAML::Node mapping_;
  std::vector<SettingsFault>& faults_;
  std::set<std::string> known_;
  std::map<std::string, std::string> flags_;  ///< of the keys that a flag set: the flag
};

/// The file's top-level mapping; empty with a fault when it cannot be read or is no mapping.
std::optional<YAML::Node> load_settings_file(const std::string& file_name,
                                             std::vector<SettingsFault>& faults);

/// "250ms" as a duration; empty when the text is none or too long to hold.
std::optional<Duration> parse_duration(const std::string& text);
/// The shortest text that parse_duration() reads back as `duration`, which is not negative.
std::string duration_to_string(Duration duration);

}  // namespace cairnhollow::cli

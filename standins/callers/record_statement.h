// The statement texts that the stand-in database understands: appending a value to a record and reading a
// record's entries, as JSON. The proxy never looks into them.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"

namespace cairnhollow::standins::callers {

/// A record of one database. `partition_key` decides which database group holds it.
struct RecordKey {
  std::string database;
  std::string partition_key;
  std::string record;
  auto operator<=>(const RecordKey&) const = default;
  /// "database/partition_key/record", as named in a History.
  [[nodiscard]] std::string to_string() const;
};

/// Reads "database/partition_key/record" back; empty when a part is missing.
std::optional<RecordKey> parse_record_key(const std::string& text);

std::string make_get_text(const RecordKey& key);
std::string make_append_text(const RecordKey& key, const std::string& value);
/// The entries in a read's answer body. kCorrupt: the body is not whole.
std::optional<std::vector<std::string>> parse_entries(const std::string& body, Reason& reason);

}  // namespace cairnhollow::standins::callers

// Reads typed fields from a document's mappings and collects all faults with their lines.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/reason.h"
#include "declared/config/document.h"

namespace cairnhollow::declared::config {

/// The faults of one text, in the order found.
class FaultList {
 public:
  /// If `file` is not empty, each fault is prefixed with it.
  explicit FaultList(std::string file) : file_(std::move(file)) {}

  void add(int line, const std::string& field, const std::string& problem);
  [[nodiscard]] bool empty() const { return faults_.empty(); }
  /// Returns kInvalidArgument listing all faults (a long list is truncated and ends with the number of
  /// further faults).
  [[nodiscard]] Reason reason() const;

 private:
  std::string file_;
  std::vector<std::string> faults_;
};

enum class Presence : std::uint8_t { kRequired, kOptional };

/// Reads the entries of one mapping. A field that is missing or faulty leaves its target unchanged. `node`
/// and `faults` are not owned and must outlive the reader.
class MappingReader {
 public:
  /// `path` is the field's path, e.g. "spec"; empty for the document itself.
  MappingReader(const DocumentNode& node, std::string path, FaultList& faults);

  void read(const std::string& key, Presence presence, std::string& target);
  void read(const std::string& key, Presence presence, bool& target);
  void read(const std::string& key, Presence presence, std::uint64_t& target);
  void read(const std::string& key, Presence presence, std::uint32_t& target);
  /// Returns the entry's value, or null if it is missing. The caller reads the value with its own reader.
  const DocumentNode* take(const std::string& key, Presence presence);
  /// Reports every entry that was not requested. Must be called last.
  void finish();

  [[nodiscard]] std::string path_of(const std::string& key) const;
  [[nodiscard]] const DocumentNode& node() const { return node_; }
  FaultList& faults() { return faults_; }

 private:
  const DocumentNode& node_;
  std::string path_;
  FaultList& faults_;
  std::set<std::string> requested_keys_;
};

/// Returns the text of a string or unquoted scalar; std::nullopt for other types.
std::optional<std::string> scalar_text(const DocumentNode& node);

}  // namespace cairnhollow::declared::config

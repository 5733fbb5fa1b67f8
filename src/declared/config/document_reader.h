// Reads typed fields out of a document's mappings and collects every fault with its line.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/reason.h"
#include "declared/config/document.h"

namespace cairnhollow::declared::config {

/// Faults of one text, in the order found.
class FaultList {
 public:
  /// `file` is named in front of each fault when it is not empty.
  explicit FaultList(std::string file) : file_(std::move(file)) {}

  void add(int line, const std::string& field, const std::string& problem);
  [[nodiscard]] bool empty() const { return faults_.empty(); }
  /// kInvalidArgument with all faults (long lists are cut with their count).
  [[nodiscard]] Reason reason() const;

 private:
  std::string file_;
  std::vector<std::string> faults_;
};

enum class Presence : std::uint8_t { kRequired, kOptional };

/// Reads the entries of one mapping. A field that is missing or has a fault leaves its target as it was.
/// `node` and `faults` outlive the reader.
class MappingReader {
 public:
  /// `path` is the field's path, e.g. "spec"; empty for the document itself.
  MappingReader(const DocumentNode& node, std::string path, FaultList& faults);

  void read(const std::string& key, Presence presence, std::string& target);
  void read(const std::string& key, Presence presence, bool& target);
  void read(const std::string& key, Presence presence, std::uint64_t& target);
  void read(const std::string& key, Presence presence, std::uint32_t& target);
  /// The entry's value; null when it is missing. The caller reads it by a reader of its own.
  const DocumentNode* take(const std::string& key, Presence presence);
  /// Reports every entry that was not asked for. To be called last.
  void finish();

  [[nodiscard]] std::string path_of(const std::string& key) const;
  [[nodiscard]] const DocumentNode& node() const { return node_; }
  FaultList& faults() { return faults_; }

 private:
  const DocumentNode& node_;
  std::string path_;
  FaultList& faults_;
  std::set<std::string> known_;
};

/// Text of a string or unquoted scalar; empty for another type.
std::optional<std::string> scalar_text(const DocumentNode& node);

}  // namespace cairnhollow::declared::config

// A YAML or JSON document as one tree with line numbers, so that manifests are read and written by the same
// code in both formats.
#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"

namespace cairnhollow::declared::config {

struct DocumentEntry;

/// A value of a document. YAML's unquoted scalars are kPlain: the field that is read decides what they are.
struct DocumentNode {
  enum class Type : std::uint8_t { kNull, kPlain, kString, kNumber, kBoolean, kMapping, kSequence };

  Type type = Type::kNull;
  std::string text;                    ///< of scalars
  std::vector<DocumentEntry> entries;  ///< of mappings, in the order written
  std::vector<DocumentNode> items;     ///< of sequences
  int line = 0;                        ///< from 1; 0 when unknown (JSON)

  static DocumentNode mapping();
  static DocumentNode sequence();
  static DocumentNode string(std::string text);
  static DocumentNode number(std::uint64_t value);
  static DocumentNode boolean(bool value);
  DocumentNode& add(std::string key, DocumentNode value);
  [[nodiscard]] bool is_scalar() const;
};

struct DocumentEntry {
  std::string key;
  DocumentNode value;
};

// Limits of one text, so that a small input can't grow large (YAML aliases) or exhaust the stack.
inline constexpr std::size_t kMaximumDocumentDepth = 32;
inline constexpr std::size_t kMaximumDocumentNodes = 1'000'000;
inline constexpr std::size_t kMaximumDocumentBytes = 16U << 20;

/// All documents of a YAML stream that are not empty. kInvalidArgument with the line on bad input.
std::optional<std::vector<DocumentNode>> parse_yaml(const std::string& text, Reason& reason);
/// Empty with kInvalidArgument on bad input.
std::optional<boost::json::value> parse_json(const std::string& text, Reason& reason);

DocumentNode from_json(const boost::json::value& value);
boost::json::value to_json(const DocumentNode& node);
/// One YAML document without a leading "---"; ends with a newline.
std::string to_yaml(const DocumentNode& node);

}  // namespace cairnhollow::declared::config

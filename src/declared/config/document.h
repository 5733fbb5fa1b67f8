// Tree representation with line numbers for YAML and JSON documents, so that manifests are read and written
// by the same code in both formats.
#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"

namespace cairnhollow::declared::config {

struct DocumentEntry;

/// A value of a document. Unquoted YAML scalars are kPlain: the field being read determines their type.
struct DocumentNode {
  enum class Type : std::uint8_t { kNull, kPlain, kString, kNumber, kBoolean, kMapping, kSequence };

  Type type = Type::kNull;
  std::string text;                    ///< for scalars
  std::vector<DocumentEntry> entries;  ///< for mappings, in document order
  std::vector<DocumentNode> items;     ///< for sequences
  int line = 0;                        ///< 1-based; 0 if unknown (JSON)

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

// Limits per input text; they prevent expansion of YAML aliases and stack exhaustion.
inline constexpr std::size_t kMaximumDocumentDepth = 32;
inline constexpr std::size_t kMaximumDocumentNodes = 1'000'000;
inline constexpr std::size_t kMaximumDocumentBytes = 16U << 20;

/// Returns all non-empty documents of a YAML stream. Fails with kInvalidArgument and the line number on
/// malformed input.
std::optional<std::vector<DocumentNode>> parse_yaml(const std::string& text, Reason& reason);
/// Fails with kInvalidArgument on malformed input.
std::optional<boost::json::value> parse_json(const std::string& text, Reason& reason);

DocumentNode from_json(const boost::json::value& value);
boost::json::value to_json(const DocumentNode& node);
/// Writes one YAML document without a leading "---"; ends with a newline.
std::string to_yaml(const DocumentNode& node);

}  // namespace cairnhollow::declared::config

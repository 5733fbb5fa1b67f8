// Conversion between JSON and document trees, using Boost.JSON.
#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>

#include "declared/config/document.h"

namespace cairnhollow::declared::config {

std::optional<boost::json::value> parse_json(const std::string& text, Reason& reason) {
  boost::json::parse_options options;
  options.max_depth = kMaximumDocumentDepth;
  boost::system::error_code error;
  if (text.size() <= kMaximumDocumentBytes) {
    boost::json::value value = boost::json::parse(text, error, {}, options);
    if (!error) return value;
  }
  const std::string detail =
      error ? error.message() : fmt::format("more than {} bytes", kMaximumDocumentBytes);
  reason = Reason{ReasonCode::kInvalidArgument, "parse_json", "", detail};
  return std::nullopt;
}

DocumentNode from_json(const boost::json::value& value) {
  DocumentNode node;
  switch (value.kind()) {
    case boost::json::kind::null:
      break;
    case boost::json::kind::bool_:
      return DocumentNode::boolean(value.get_bool());
    case boost::json::kind::string:
      return DocumentNode::string(std::string(value.get_string()));
    case boost::json::kind::uint64:
      return DocumentNode::number(value.get_uint64());
    case boost::json::kind::int64:
    case boost::json::kind::double_:
      node.type = DocumentNode::Type::kNumber;
      node.text = boost::json::serialize(value);
      break;
    case boost::json::kind::array:
      node.type = DocumentNode::Type::kSequence;
      for (const auto& item : value.get_array()) node.items.push_back(from_json(item));
      break;
    case boost::json::kind::object:
      node.type = DocumentNode::Type::kMapping;
      for (const auto& entry : value.get_object())
        node.add(std::string(entry.key()), from_json(entry.value()));
      break;
  }
  return node;
}

boost::json::value to_json(const DocumentNode& node) {
  switch (node.type) {
    case DocumentNode::Type::kNull:
      return nullptr;
    case DocumentNode::Type::kPlain:
    case DocumentNode::Type::kString:
      return boost::json::string(node.text);
    case DocumentNode::Type::kBoolean:
      return node.text == "true";
    case DocumentNode::Type::kNumber: {
      std::uint64_t number = 0;
      std::from_chars(node.text.data(), node.text.data() + node.text.size(), number);
      return number;
    }
    case DocumentNode::Type::kSequence: {
      boost::json::array items;
      for (const auto& item : node.items) items.push_back(to_json(item));
      return items;
    }
    case DocumentNode::Type::kMapping: {
      boost::json::object entries;
      for (const auto& entry : node.entries) entries[entry.key] = to_json(entry.value);
      return entries;
    }
  }
  return nullptr;
}

}  // namespace cairnhollow::declared::config

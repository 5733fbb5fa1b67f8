#include "declared/config/document.h"

namespace cairnhollow::declared::config {

DocumentNode DocumentNode::mapping() {
  DocumentNode node;
  node.type = Type::kMapping;
  return node;
}

DocumentNode DocumentNode::sequence() {
  DocumentNode node;
  node.type = Type::kSequence;
  return node;
}

DocumentNode DocumentNode::string(std::string text) {
  DocumentNode node;
  node.type = Type::kString;
  node.text = std::move(text);
  return node;
}

DocumentNode DocumentNode::number(std::uint64_t value) {
  DocumentNode node;
  node.type = Type::kNumber;
  node.text = std::to_string(value);
  return node;
}

DocumentNode DocumentNode::boolean(bool value) {
  DocumentNode node;
  node.type = Type::kBoolean;
  node.text = value ? "true" : "false";
  return node;
}

DocumentNode& DocumentNode::add(std::string key, DocumentNode value) {
  entries.push_back({std::move(key), std::move(value)});
  return *this;
}

bool DocumentNode::is_scalar() const { return type != Type::kMapping && type != Type::kSequence; }

}  // namespace cairnhollow::declared::config

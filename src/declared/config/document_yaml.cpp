// Conversion between YAML and document trees, using yaml-cpp. No yaml-cpp exception leaves this file.
#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <map>
#include <sstream>

#include "declared/config/document.h"

namespace cairnhollow::declared::config {

namespace {

/// A fault that yaml-cpp does not detect itself.
struct DocumentFault {
  int line = 0;
  std::string problem;
};

/// Builds document trees from parser events within the document limits. Throws DocumentFault.
class TreeBuilder : public YAML::EventHandler {
 public:
  std::vector<DocumentNode> take_documents() { return std::move(documents_); }

  void OnDocumentStart(const YAML::Mark& mark) override {
    // yaml-cpp 0.7 yields empty documents endlessly at an unexpected token such as a comma.
    if (last_start_ == mark.pos) fail(mark, "unexpected character");
    last_start_ = mark.pos;
    anchors_.clear();
  }
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    add(mark, anchor, node_at(mark, DocumentNode::Type::kNull));
  }

  void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                const std::string& value) override {
    const bool quoted = tag == "!";
    DocumentNode node = node_at(mark, quoted ? DocumentNode::Type::kString : DocumentNode::Type::kPlain);
    node.text = value;
    add(mark, anchor, std::move(node));
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    const auto known = anchors_.find(anchor);
    if (known == anchors_.end()) fail(mark, "an alias refers to a node that contains it");
    count(mark, known->second.size);
    DocumentNode node = known->second.node;
    node.line = line_of(mark);
    attach(mark, std::move(node), known->second.size);
  }

  void OnSequenceStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    open(mark, anchor, DocumentNode::Type::kSequence);
  }
  void OnSequenceEnd() override { close(); }

  void OnMapStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    open(mark, anchor, DocumentNode::Type::kMapping);
  }
  void OnMapEnd() override { close(); }

 private:
  /// A sequence or mapping that is not closed yet.
  struct OpenNode {
    DocumentNode node;
    YAML::Mark mark;
    YAML::anchor_t anchor = YAML::NullAnchor;
    std::size_t size = 1;  ///< number of values in the node, including itself
    bool has_key = false;  ///< for a mapping: the last entry has no value yet
  };
  struct AnchoredNode {
    DocumentNode node;
    std::size_t size = 1;
  };

  static int line_of(const YAML::Mark& mark) { return mark.line + 1; }

  [[noreturn]] static void fail(const YAML::Mark& mark, std::string problem) {
    throw DocumentFault{line_of(mark), std::move(problem)};
  }

  static DocumentNode node_at(const YAML::Mark& mark, DocumentNode::Type type) {
    DocumentNode node;
    node.type = type;
    node.line = line_of(mark);
    return node;
  }

  void count(const YAML::Mark& mark, std::size_t values) {
    value_count_ += values;
    if (value_count_ > kMaximumDocumentNodes) fail(mark, "too many values in the input");
  }

  void open(const YAML::Mark& mark, YAML::anchor_t anchor, DocumentNode::Type type) {
    if (open_.size() >= kMaximumDocumentDepth) fail(mark, "nested too deeply");
    count(mark, 1);
    open_.push_back({node_at(mark, type), mark, anchor});
  }

  void close() {
    OpenNode done = std::move(open_.back());
    open_.pop_back();
    record_anchor(done.anchor, done.node, done.size);
    attach(done.mark, std::move(done.node), done.size);
  }

  void add(const YAML::Mark& mark, YAML::anchor_t anchor, DocumentNode node) {
    count(mark, 1);
    record_anchor(anchor, node, 1);
    attach(mark, std::move(node), 1);
  }

  void record_anchor(YAML::anchor_t anchor, const DocumentNode& node, std::size_t size) {
    if (anchor != YAML::NullAnchor) anchors_[anchor] = {node, size};
  }

  /// Adds a finished node to its parent, or to the documents if it has none.
  void attach(const YAML::Mark& mark, DocumentNode node, std::size_t size) {
    if (open_.empty()) {
      if (node.type != DocumentNode::Type::kNull) documents_.push_back(std::move(node));
      return;
    }
    OpenNode& parent = open_.back();
    parent.size += size;
    if (parent.node.type == DocumentNode::Type::kSequence) {
      parent.node.items.push_back(std::move(node));
    } else if (parent.has_key) {
      const int key_line = parent.node.entries.back().value.line;
      parent.node.entries.back().value = std::move(node);
      parent.node.entries.back().value.line = key_line;
      parent.has_key = false;
    } else {
      if (!is_string_scalar(node)) fail(mark, "a mapping key must be a string");
      parent.node.entries.push_back({node.text, node_at(mark, DocumentNode::Type::kNull)});
      parent.has_key = true;
    }
  }

  static bool is_string_scalar(const DocumentNode& node) {
    return node.type == DocumentNode::Type::kPlain || node.type == DocumentNode::Type::kString;
  }

  std::vector<DocumentNode> documents_;
  std::vector<OpenNode> open_;  ///< innermost node at the back
  std::map<YAML::anchor_t, AnchoredNode> anchors_;
  std::size_t value_count_ = 0;
  int last_start_ = -1;  ///< position at which the last document began
};

/// Returns true for text that YAML would read as something other than a string.
bool needs_quotes(const std::string& text) {
  static constexpr std::array<std::string_view, 9> kWords = {"",  "~", "null", "true", "false",
                                                             "y", "n", "yes",  "no"};
  std::string lower = text;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  if (lower == "on" || lower == "off") return true;
  if (std::find(kWords.begin(), kWords.end(), lower) != kWords.end()) return true;
  char* end = nullptr;
  std::strtod(text.c_str(), &end);
  return *end == '\0';
}

void emit(YAML::Emitter& emitter, const DocumentNode& node) {
  switch (node.type) {
    case DocumentNode::Type::kNull:
      emitter << YAML::Null;
      return;
    case DocumentNode::Type::kString:
      if (needs_quotes(node.text)) emitter << YAML::DoubleQuoted;
      emitter << node.text;
      return;
    case DocumentNode::Type::kPlain:
    case DocumentNode::Type::kNumber:
    case DocumentNode::Type::kBoolean:
      emitter << node.text;
      return;
    case DocumentNode::Type::kSequence:
      if (std::all_of(node.items.begin(), node.items.end(),
                      [](const auto& item) { return item.is_scalar(); })) {
        emitter << YAML::Flow;
      }
      emitter << YAML::BeginSeq;
      for (const auto& item : node.items) emit(emitter, item);
      emitter << YAML::EndSeq;
      return;
    case DocumentNode::Type::kMapping:
      if (node.entries.empty()) emitter << YAML::Flow;
      emitter << YAML::BeginMap;
      for (const auto& entry : node.entries) {
        emitter << YAML::Key << entry.key << YAML::Value;
        emit(emitter, entry.value);
      }
      emitter << YAML::EndMap;
      return;
  }
}

Reason invalid_yaml(int line, const std::string& problem) {
  return Reason{ReasonCode::kInvalidArgument, "parse_yaml", "", fmt::format("line {}: {}", line, problem)};
}

}  // namespace

std::optional<std::vector<DocumentNode>> parse_yaml(const std::string& text, Reason& reason) {
  if (text.size() > kMaximumDocumentBytes) {
    reason = invalid_yaml(1, fmt::format("more than {} bytes", kMaximumDocumentBytes));
    return std::nullopt;
  }
  try {
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    TreeBuilder builder;
    while (parser.HandleNextDocument(builder)) {
    }
    return builder.take_documents();
  } catch (const DocumentFault& fault) {
    reason = invalid_yaml(fault.line, fault.problem);
  } catch (const YAML::Exception& error) {
    reason = invalid_yaml(error.mark.line + 1, error.msg);
  } catch (const std::exception& error) {
    reason = invalid_yaml(1, error.what());
  }
  return std::nullopt;
}

std::string to_yaml(const DocumentNode& node) {
  YAML::Emitter emitter;
  emit(emitter, node);
  return std::string(emitter.c_str()) + "\n";
}

}  // namespace cairnhollow::declared::config

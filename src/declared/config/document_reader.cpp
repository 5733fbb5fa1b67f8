#include "declared/config/document_reader.h"

#include <fmt/format.h>

#include <boost/algorithm/string/join.hpp>
#include <charconv>
#include <limits>

namespace cairnhollow::declared::config {

namespace {

constexpr std::size_t kMaximumFaultsShown = 20;

std::optional<std::uint64_t> whole_number(const DocumentNode& node) {
  if (node.type != DocumentNode::Type::kPlain && node.type != DocumentNode::Type::kNumber)
    return std::nullopt;
  std::uint64_t value = 0;
  const char* last = node.text.data() + node.text.size();
  const auto [end, error] = std::from_chars(node.text.data(), last, value);
  if (error != std::errc{} || end != last) return std::nullopt;
  return value;
}

}  // namespace

void FaultList::add(int line, const std::string& field, const std::string& problem) {
  std::string place;
  if (!file_.empty()) place += file_ + ":";
  if (line > 0) place += fmt::format("{}:", line);
  if (!place.empty()) place += " ";
  faults_.push_back(fmt::format("{}{}: {}", place, field, problem));
}

Reason FaultList::reason() const {
  std::vector<std::string> shown = faults_;
  if (shown.size() > kMaximumFaultsShown) {
    const std::size_t hidden = shown.size() - kMaximumFaultsShown;
    shown.resize(kMaximumFaultsShown);
    shown.push_back(fmt::format("and {} more", hidden));
  }
  return Reason{ReasonCode::kInvalidArgument, "read_manifest", "", boost::algorithm::join(shown, "; ")};
}

std::optional<std::string> scalar_text(const DocumentNode& node) {
  if (node.type != DocumentNode::Type::kPlain && node.type != DocumentNode::Type::kString)
    return std::nullopt;
  return node.text;
}

MappingReader::MappingReader(const DocumentNode& node, std::string path, FaultList& faults)
    : node_(node), path_(std::move(path)), faults_(faults) {
  if (node.type != DocumentNode::Type::kMapping) {
    faults.add(node.line, path_.empty() ? "document" : path_, "must be a mapping");
  }
}

std::string MappingReader::path_of(const std::string& key) const {
  return path_.empty() ? key : fmt::format("{}.{}", path_, key);
}

const DocumentNode* MappingReader::take(const std::string& key, Presence presence) {
  requested_keys_.insert(key);
  const DocumentNode* found = nullptr;
  for (const auto& entry : node_.entries) {
    if (entry.key != key) continue;
    if (found != nullptr) {
      faults_.add(entry.value.line, path_of(key), "duplicate key");
    } else {
      found = &entry.value;
    }
  }
  if (found == nullptr && presence == Presence::kRequired && node_.type == DocumentNode::Type::kMapping) {
    faults_.add(node_.line, path_of(key), "is required");
  }
  return found;
}

void MappingReader::read(const std::string& key, Presence presence, std::string& target) {
  const DocumentNode* value = take(key, presence);
  if (value == nullptr) return;
  if (auto text = scalar_text(*value)) {
    target = std::move(*text);
  } else {
    faults_.add(value->line, path_of(key), "must be a string");
  }
}

void MappingReader::read(const std::string& key, Presence presence, bool& target) {
  const DocumentNode* value = take(key, presence);
  if (value == nullptr) return;
  const bool may_be_boolean =
      value->type == DocumentNode::Type::kPlain || value->type == DocumentNode::Type::kBoolean;
  if (may_be_boolean && (value->text == "true" || value->text == "false")) {
    target = value->text == "true";
  } else {
    faults_.add(value->line, path_of(key), "must be true or false");
  }
}

void MappingReader::read(const std::string& key, Presence presence, std::uint64_t& target) {
  const DocumentNode* value = take(key, presence);
  if (value == nullptr) return;
  if (const auto number = whole_number(*value)) {
    target = *number;
  } else {
    faults_.add(value->line, path_of(key), "must be a whole number, not negative");
  }
}

void MappingReader::read(const std::string& key, Presence presence, std::uint32_t& target) {
  const DocumentNode* value = take(key, presence);
  if (value == nullptr) return;
  const auto number = whole_number(*value);
  if (number && *number <= std::numeric_limits<std::uint32_t>::max()) {
    target = static_cast<std::uint32_t>(*number);
  } else {
    faults_.add(value->line, path_of(key), "must be a whole number, not negative and below 2^32");
  }
}

void MappingReader::finish() {
  for (const auto& entry : node_.entries) {
    if (requested_keys_.contains(entry.key)) continue;
    faults_.add(entry.value.line, path_of(entry.key),
                fmt::format("unknown key; known keys: {}", boost::algorithm::join(requested_keys_, ", ")));
  }
}

}  // namespace cairnhollow::declared::config

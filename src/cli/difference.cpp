#include "cli/difference.h"

#include <algorithm>
#include <sstream>
#include <vector>

#include "declared/config/manifest.h"

namespace cairnhollow::cli {

namespace {

std::vector<std::string> split_lines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

/// Lengths of the longest common subsequences of all suffixes.
std::vector<std::vector<std::size_t>> common_lengths(const std::vector<std::string>& before,
                                                     const std::vector<std::string>& after) {
  std::vector<std::vector<std::size_t>> lengths(before.size() + 1,
                                                std::vector<std::size_t>(after.size() + 1, 0));
  for (std::size_t i = before.size(); i-- > 0;) {
    for (std::size_t j = after.size(); j-- > 0;) {
      const bool same = before[i] == after[j];
      lengths[i][j] = same ? lengths[i + 1][j + 1] + 1 : std::max(lengths[i + 1][j], lengths[i][j + 1]);
    }
  }
  return lengths;
}

}  // namespace

std::string line_difference(const std::string& before, const std::string& after) {
  if (before == after) return "";
  const auto old_lines = split_lines(before);
  const auto new_lines = split_lines(after);
  const auto lengths = common_lengths(old_lines, new_lines);
  std::string text;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < old_lines.size() || j < new_lines.size()) {
    if (i < old_lines.size() && j < new_lines.size() && old_lines[i] == new_lines[j]) {
      text += "  " + old_lines[i++] + "\n";
      ++j;
    } else if (j == new_lines.size() || (i < old_lines.size() && lengths[i + 1][j] >= lengths[i][j + 1])) {
      text += "- " + old_lines[i++] + "\n";
    } else {
      text += "+ " + new_lines[j++] + "\n";
    }
  }
  return text;
}

std::string object_difference(const std::optional<declared::config::Object>& before,
                              const std::optional<declared::config::Object>& after) {
  const auto manifest = [](const std::optional<declared::config::Object>& object) {
    return object ? declared::config::to_yaml(declared::config::to_document(*object)) : std::string();
  };
  return line_difference(manifest(before), manifest(after));
}

}  // namespace cairnhollow::cli

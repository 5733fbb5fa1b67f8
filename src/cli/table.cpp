#include "cli/table.h"

#include <algorithm>

namespace cairnhollow::cli {

namespace {

constexpr std::size_t kGap = 2;  // blanks between columns

}  // namespace

std::string Table::to_string() const {
  std::vector<std::size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      text += row[column];
      const bool last = column + 1 == row.size();
      if (!last) text.append(widths[column] - row[column].size() + kGap, ' ');
    }
    text += '\n';
  }
  return text;
}

}  // namespace cairnhollow::cli

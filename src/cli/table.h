// Columns of text, aligned for a terminal.
#pragma once

#include <string>
#include <vector>

namespace cairnhollow::cli {

class Table {
 public:
  explicit Table(std::vector<std::string> header) : rows_{std::move(header)} {}

  /// One cell a column.
  void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  [[nodiscard]] std::string to_string() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace cairnhollow::cli

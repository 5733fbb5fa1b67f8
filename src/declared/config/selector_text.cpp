#include "declared/config/selector_text.h"

#include <fmt/format.h>

#include <boost/algorithm/string.hpp>

namespace cairnhollow::declared::config {

namespace {

constexpr SelectorOperator kOperators[] = {SelectorOperator::kIn, SelectorOperator::kNotIn,
                                           SelectorOperator::kExists, SelectorOperator::kDoesNotExist};

/// Splits at commas outside parentheses.
std::vector<std::string> split_clauses(const std::string& text) {
  std::vector<std::string> clauses(1);
  int depth = 0;
  for (const char c : text) {
    if (c == '(') ++depth;
    if (c == ')') --depth;
    if (c == ',' && depth == 0) {
      clauses.emplace_back();
    } else {
      clauses.back() += c;
    }
  }
  for (auto& clause : clauses) boost::algorithm::trim(clause);
  return clauses;
}

/// Parses "key in (a,b)" and "key notin (a,b)".
std::optional<SelectorExpression> parse_set_clause(const std::string& clause) {
  const auto open = clause.find('(');
  if (open == std::string::npos || clause.back() != ')') return std::nullopt;
  std::vector<std::string> words;
  std::string head = boost::algorithm::trim_copy(clause.substr(0, open));
  boost::algorithm::split(words, head, boost::algorithm::is_space(), boost::algorithm::token_compress_on);
  if (words.size() != 2 || (words[1] != "in" && words[1] != "notin")) return std::nullopt;
  SelectorExpression expression;
  expression.key = words[0];
  expression.op = words[1] == "in" ? SelectorOperator::kIn : SelectorOperator::kNotIn;
  const std::string list = clause.substr(open + 1, clause.size() - open - 2);
  boost::algorithm::split(expression.values, list, [](char c) { return c == ','; });
  for (auto& value : expression.values) boost::algorithm::trim(value);
  return expression;
}

bool is_word(const std::string& text) {
  return !text.empty() && text.find_first_of(" \t()=!") == std::string::npos;
}

/// Adds one clause to the selector; returns false if it is malformed or repeats a key.
bool add_clause(const std::string& clause, Selector& selector) {
  if (clause.empty()) return false;
  if (clause.find('(') != std::string::npos) {
    auto expression = parse_set_clause(clause);
    if (!expression || !is_word(expression->key)) return false;
    selector.match_expressions.push_back(std::move(*expression));
    return true;
  }
  if (clause.front() == '!' || clause.find('=') == std::string::npos) {
    const bool absent = clause.front() == '!';
    const std::string key = boost::algorithm::trim_copy(absent ? clause.substr(1) : clause);
    selector.match_expressions.push_back(
        {key, absent ? SelectorOperator::kDoesNotExist : SelectorOperator::kExists, {}});
    return is_word(key);
  }
  const auto equals = clause.find('=');
  const bool negated = equals > 0 && clause[equals - 1] == '!';
  const std::string key = boost::algorithm::trim_copy(clause.substr(0, negated ? equals - 1 : equals));
  const bool doubled = !negated && clause.compare(equals, 2, "==") == 0;
  const std::string value = boost::algorithm::trim_copy(clause.substr(equals + (doubled ? 2 : 1)));
  if (!is_word(key) || (!value.empty() && !is_word(value))) return false;
  if (negated) {
    selector.match_expressions.push_back({key, SelectorOperator::kNotIn, {value}});
    return true;
  }
  return selector.match_labels.entries.emplace(key, value).second;
}

}  // namespace

std::string_view selector_operator_name(SelectorOperator op) {
  switch (op) {
    case SelectorOperator::kIn:
      return "In";
    case SelectorOperator::kNotIn:
      return "NotIn";
    case SelectorOperator::kExists:
      return "Exists";
    case SelectorOperator::kDoesNotExist:
      return "DoesNotExist";
  }
  return "Unknown";
}

std::optional<SelectorOperator> parse_selector_operator(std::string_view name) {
  for (const SelectorOperator op : kOperators) {
    if (selector_operator_name(op) == name) return op;
  }
  return std::nullopt;
}

std::optional<Selector> parse_selector(const std::string& text, Reason& reason) {
  Selector selector;
  if (boost::algorithm::trim_copy(text).empty()) return selector;
  for (const auto& clause : split_clauses(text)) {
    if (add_clause(clause, selector)) continue;
    reason = Reason{ReasonCode::kInvalidArgument, "parse_selector", "",
                    fmt::format("selector: invalid clause '{}'; must be key=value, key!=value, key in (a,b), "
                                "key notin (a,b), key or !key, and must not repeat a key",
                                clause)};
    return std::nullopt;
  }
  return selector;
}

std::string format_selector(const Selector& selector) {
  std::vector<std::string> clauses;
  for (const auto& [key, value] : selector.match_labels.entries) {
    clauses.push_back(fmt::format("{}={}", key, value));
  }
  for (const auto& expression : selector.match_expressions) {
    const auto values = boost::algorithm::join(expression.values, ",");
    switch (expression.op) {
      case SelectorOperator::kIn:
        clauses.push_back(fmt::format("{} in ({})", expression.key, values));
        break;
      case SelectorOperator::kNotIn:
        clauses.push_back(fmt::format("{} notin ({})", expression.key, values));
        break;
      case SelectorOperator::kExists:
        clauses.push_back(expression.key);
        break;
      case SelectorOperator::kDoesNotExist:
        clauses.push_back("!" + expression.key);
        break;
    }
  }
  return boost::algorithm::join(clauses, ",");
}

}  // namespace cairnhollow::declared::config

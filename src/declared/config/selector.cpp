#include <algorithm>

#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

namespace {

bool matches_expression(const SelectorExpression& expression, const LabelSet& labels) {
  const auto label = labels.entries.find(expression.key);
  const bool present = label != labels.entries.end();
  const bool listed = present && std::find(expression.values.begin(), expression.values.end(),
                                           label->second) != expression.values.end();
  switch (expression.op) {
    case SelectorOperator::kIn:
      return listed;
    case SelectorOperator::kNotIn:
      return !listed;  // as in Kubernetes, NotIn matches if the label is absent
    case SelectorOperator::kExists:
      return present;
    case SelectorOperator::kDoesNotExist:
      return !present;
  }
  return false;
}

}  // namespace

bool Selector::matches(const LabelSet& labels) const {
  const auto entry_matches = [&](const auto& entry) {
    const auto label = labels.entries.find(entry.first);
    return label != labels.entries.end() && label->second == entry.second;
  };
  const auto expression_matches = [&](const SelectorExpression& expression) {
    return matches_expression(expression, labels);
  };
  return std::all_of(match_labels.entries.begin(), match_labels.entries.end(), entry_matches) &&
         std::all_of(match_expressions.begin(), match_expressions.end(), expression_matches);
}

}  // namespace cairnhollow::declared::config

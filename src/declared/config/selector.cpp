#include <algorithm>

#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

namespace {

bool holds(const SelectorExpression& expression, const LabelSet& labels) {
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
  const auto entry_holds = [&](const auto& entry) {
    const auto label = labels.entries.find(entry.first);
    return label != labels.entries.end() && label->second == entry.second;
  };
  const auto expression_holds = [&](const SelectorExpression& expression) {
    return holds(expression, labels);
  };
  return std::all_of(match_labels.entries.begin(), match_labels.entries.end(), entry_holds) &&
         std::all_of(match_expressions.begin(), match_expressions.end(), expression_holds);
}

}  // namespace cairnhollow::declared::config

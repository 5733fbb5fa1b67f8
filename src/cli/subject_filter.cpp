#include "cli/subject_filter.h"

#include <algorithm>

namespace cairnhollow::cli {

bool SubjectFilter::selects(const declared::control::GroupStatus& group) const {
  if (selects(group.group.value)) return true;
  return std::any_of(group.members.begin(), group.members.end(),
                     [this](const auto& member) { return selects(member.backend.value); });
}

Awaitable<std::optional<SubjectFilter>> read_subject_filter(CommandContext& context, Reason& reason) {
  const CommandLine& line = context.line;
  if (!line.selector && line.names.empty()) co_return SubjectFilter{};
  std::set<std::string> names(line.names.begin(), line.names.end());
  if (!line.selector) co_return SubjectFilter{std::move(names)};
  declared::config::ObjectQuery query;
  query.selector = *line.selector;
  const TimePoint deadline = context.deadline();
  const auto list = co_await context.client.list(std::move(query), deadline, reason);
  if (!list) co_return std::nullopt;
  for (const auto& stored : list->objects) names.insert(stored.object.name);
  if (names.empty()) {
    reason = Reason{ReasonCode::kNotFound, "select_subjects", "", "no object is selected"};
    co_return std::nullopt;
  }
  co_return SubjectFilter{std::move(names)};
}

void apply_filter(declared::control::FleetStatus& status, const SubjectFilter& filter) {
  if (filter.selects_all()) return;
  std::erase_if(status.groups, [&](const auto& group) { return !filter.selects(group); });
  std::erase_if(status.proxies, [&](const auto& proxy) { return !filter.selects(proxy.proxy.value); });
}

}  // namespace cairnhollow::cli

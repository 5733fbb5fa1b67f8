#include "cli/read_objects.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace cairnhollow::cli {

namespace {

/// More names of one kind are not asked for by name: the whole kind is read.
constexpr std::size_t kMaximumNamesAsked = 100;

std::vector<declared::config::ObjectQuery> queries_for(
    const std::vector<declared::config::Manifest>& manifests) {
  std::map<declared::config::ObjectKind, std::vector<std::string>> names;
  for (const auto& manifest : manifests) names[manifest.object.kind()].push_back(manifest.object.name);
  std::vector<declared::config::ObjectQuery> queries;
  for (auto& [kind, of_kind] : names) {
    declared::config::ObjectQuery query;
    query.kind = kind;
    if (of_kind.size() <= kMaximumNamesAsked) query.names = std::move(of_kind);
    queries.push_back(std::move(query));
  }
  return queries;
}

bool all_found(const std::vector<std::string>& names, const declared::control::ObjectList& list,
               Reason& reason) {
  std::set<std::string> missing(names.begin(), names.end());
  for (const auto& stored : list.objects) missing.erase(stored.object.name);
  if (missing.empty()) return true;
  std::string detail = "there is no";
  for (const auto& name : missing) detail += fmt::format(" {}", name);
  reason = Reason{ReasonCode::kNotFound, "select_objects", "", detail};
  return false;
}

}  // namespace

Awaitable<std::optional<declared::control::ObjectList>> read_manifests_objects(
    CommandContext& context, const std::vector<declared::config::Manifest>& manifests, Reason& reason) {
  const TimePoint deadline = context.deadline();
  std::optional<declared::control::ObjectList> all;
  const auto queries = queries_for(manifests);
  for (const auto& query : queries) {
    declared::config::ObjectQuery question = query;
    auto list = co_await context.client.list(std::move(question), deadline, reason);
    if (!list) co_return std::nullopt;
    if (!all) all = declared::control::ObjectList{list->revision, {}};
    all->revision = std::min(all->revision, list->revision);
    std::move(list->objects.begin(), list->objects.end(), std::back_inserter(all->objects));
  }
  co_return all;
}

Awaitable<std::optional<declared::control::ObjectList>> read_selected_objects(CommandContext& context,
                                                                              Reason& reason) {
  declared::config::ObjectQuery query;
  query.kind = context.line.kind;
  if (context.line.names.size() <= kMaximumNamesAsked) query.names = context.line.names;
  query.selector = context.line.selector.value_or(declared::config::Selector{});
  const TimePoint deadline = context.deadline();
  auto list = co_await context.client.list(std::move(query), deadline, reason);
  if (!list || !all_found(context.line.names, *list, reason)) co_return std::nullopt;
  if (!context.line.names.empty()) {
    const std::set<std::string> names(context.line.names.begin(), context.line.names.end());
    std::erase_if(list->objects, [&](const auto& stored) { return !names.contains(stored.object.name); });
  }
  co_return list;
}

}  // namespace cairnhollow::cli

#include "registered/control/failover/group_terms.h"

namespace cairnhollow::registered::control {

using registry::GroupTerm;

Awaitable<bool> GroupTerms::complete_read_barrier() {
  Reason reason;
  const auto confirmed = co_await consensus_.read_barrier(runtime_.now() + kCommitTimeout, reason);
  co_return confirmed.has_value();
}

std::optional<GroupTerm> GroupTerms::find(const GroupName& group) const {
  const GroupTerm* term = fleet_.find_term(group);
  if (term == nullptr) return std::nullopt;
  return *term;
}

bool GroupTerms::is_still_closed(const GroupTerm& closed) const {
  const auto now = find(closed.group);
  return now && !now->open && now->epoch == closed.epoch;
}

Awaitable<bool> GroupTerms::close(GroupTerm term, std::string why) {
  log("group_closing", term, why);
  Reason reason;
  registry::SingleCommand command = registry::CloseGroup{term.group, term.epoch};
  const bool closed = co_await calls_.propose_batched(std::move(command), reason);
  if (!closed)
    runtime_.logger().log(runtime::LogLevel::kWarning, "group_not_closed", reason,
                          {{"group", term.group.value}});
  co_return closed;
}

Awaitable<bool> GroupTerms::open(GroupTerm closed, registry::BackendIncarnation primary, std::uint64_t term,
                                 registry::TermStart start, std::string why) {
  Reason reason;
  registry::SingleCommand command =
      registry::OpenGroup{closed.group, closed.epoch, term, primary.name, primary.start_time_ms, start};
  const bool done = co_await calls_.propose_batched(std::move(command), reason);
  GroupTerm opened = closed;
  opened.term = term;
  opened.primary = primary.name;
  log(done ? "group_opened" : "group_not_opened", opened, done ? why : reason.to_string());
  co_return done;
}

Awaitable<bool> GroupTerms::settle(GroupTerm term, std::vector<registry::DepartedMember> departed) {
  std::string names;
  for (const registry::DepartedMember& member : departed)
    names += (names.empty() ? "" : " ") + member.incarnation.name.value;
  Reason reason;
  registry::SingleCommand command = registry::SettleDeparted{term.group, std::move(departed)};
  const bool done = co_await calls_.propose_batched(std::move(command), reason);
  if (done) log("members_settled", term, "another member holds the logs of departed members: " + names);
  co_return done;
}

void GroupTerms::log(const char* event, const GroupTerm& term, const std::string& why) {
  runtime_.logger().log(runtime::LogLevel::kInfo, event,
                        {{"group", term.group.value},
                         {"term", std::to_string(term.term)},
                         {"primary", term.primary.value},
                         {"epoch", std::to_string(term.epoch)},
                         {"why", why}});
}

}  // namespace cairnhollow::registered::control

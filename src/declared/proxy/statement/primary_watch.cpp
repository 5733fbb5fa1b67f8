#include "declared/proxy/statement/primary_watch.h"

#include <utility>

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

void PrimaryAttempts::replaced(const GroupName& group, std::uint64_t term) {
  const auto found = attempts_.find(group);
  if (found == attempts_.end() || found->second.empty()) return;
  runtime_.spawn("end_replaced_attempts", end_attempts(group, term));
}

Awaitable<void> PrimaryAttempts::end_attempts(GroupName group, std::uint64_t term) {
  co_await runtime_.sleep_for(kReplacedPrimaryGrace);
  const Attempts in_flight = attempts_.at(group);  // a copy: closing a connection may end its attempt
  for (const auto& attempt : in_flight) {
    if (attempt->term < term && attempt->end) std::exchange(attempt->end, nullptr)();
  }
}

PrimaryWatch::PrimaryWatch(PrimaryAttempts& attempts, const GroupName& group, std::uint64_t term,
                           std::function<void()> end)
    : group_attempts_(attempts.attempts_[group]), attempt_(std::make_shared<PrimaryAttempts::Attempt>()) {
  attempt_->term = term;
  attempt_->end = std::move(end);
  place_ = group_attempts_.insert(group_attempts_.end(), attempt_);
}

PrimaryWatch::~PrimaryWatch() {
  attempt_->end = nullptr;
  group_attempts_.erase(place_);
}

}  // namespace cairnhollow::declared::proxy

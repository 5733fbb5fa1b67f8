#include "registered/proxy/overload/overload_control.h"

#include <fmt/format.h>

#include <utility>

namespace cairnhollow::registered::proxy {

OverloadControl::OverloadControl(runtime::Runtime& runtime, double link_rate) : runtime_(runtime) {
  if (link_rate > 0) link_.emplace(link_rate);
}

void OverloadControl::start() {
  if (link_) runtime_.spawn("overload", run());
}

bool OverloadControl::admits(std::uint64_t priority) {
  if (!link_) return true;
  const bool admitted = admission_.admits(priority, runtime_.now());
  if (!admitted) ++refused_statements_;
  return admitted;
}

Awaitable<void> OverloadControl::run() {
  while (!stopping_) {
    co_await runtime_.sleep_for(overload::kLoadInterval);
    const TimePoint now = runtime_.now();
    load_ = link_->measure(runtime_.traffic(), now);
    const double before = admission_.refused_classes();
    admission_.update(load_, now);
    log_if_due(before);
  }
}

void OverloadControl::log_if_due(double refused_before) {
  const double refused = admission_.refused_classes();
  const bool has_ended = refused == 0 && refused_before > 0;
  const bool is_due = refused > 0 && runtime_.now() - logged_at_ >= kOverloadLogInterval;
  if (!has_ended && !is_due) return;
  logged_at_ = runtime_.now();
  runtime_.logger().log(has_ended ? runtime::LogLevel::kInfo : runtime::LogLevel::kWarning,
                        has_ended ? "overload_ended" : "overloaded",
                        {{"link_load", fmt::format("{:.2f}", load_)},
                         {"refused_classes", fmt::format("{:.2f}", refused)},
                         {"refused", std::to_string(std::exchange(refused_statements_, 0))}});
}

}  // namespace cairnhollow::registered::proxy

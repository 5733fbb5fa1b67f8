#include "standins/callers/load_generator.h"

#include <fmt/format.h>

#include "standins/callers/arrivals.h"

namespace cairnhollow::standins::callers {

namespace {

constexpr Duration kFinalReadPause = std::chrono::milliseconds(100);
constexpr Duration kFinalReadLimit = std::chrono::seconds(3);

}  // namespace

LoadGenerator::LoadGenerator(runtime::Runtime& runtime, LoadSettings settings)
    : runtime_(runtime),
      settings_(std::move(settings)),
      workload_(settings_.workload
                    ? settings_.workload(settings_)
                    : make_workload(settings_.profile, settings_.sessions, settings_.run_name)),
      session_ended_(runtime) {
  for (std::uint32_t index = 0; index < settings_.sessions; ++index) {
    const SessionName name(fmt::format("{}.session-{}", settings_.run_name, index));
    sessions_.push_back(
        std::make_unique<CallerSession>(runtime_, name, settings_.caller, history_, statistics_));
  }
}

Awaitable<void> LoadGenerator::run() {
  sessions_running_ = sessions_.size();
  for (std::size_t session = 0; session < sessions_.size(); ++session) {
    runtime_.spawn("caller_session", run_session(session));
  }
  co_await offer_operations();
  for (const auto& session : sessions_) session->finish();
  while (sessions_running_ > 0) co_await session_ended_.wait();
}

Awaitable<void> LoadGenerator::run_session(std::size_t session) {
  co_await sessions_[session]->run();
  --sessions_running_;
  session_ended_.notify_all();
}

Awaitable<void> LoadGenerator::offer_operations() {
  const auto timer = runtime_.make_timer();
  const TimePoint end = runtime_.now() + settings_.duration;
  TimePoint due = runtime_.now() + next_arrival(runtime_.random(), settings_.operations_per_second);
  while (due < end) {
    if (runtime_.now() < due) co_await timer->wait_until(due);
    const auto session = static_cast<std::uint32_t>(runtime_.random().below(sessions_.size()));
    sessions_[session]->enqueue(workload_->plan(session, runtime_.random()), due);
    ++statistics_.planned;
    due += next_arrival(runtime_.random(), settings_.operations_per_second);
  }
}

std::set<std::string> LoadGenerator::written_records() const {
  std::set<std::string> records;
  for (const OperationRecord& operation : history_.operations) {
    if (operation.kind == OperationKind::kRead) continue;
    records.insert(operation.records.begin(), operation.records.end());
  }
  return records;
}

Awaitable<bool> LoadGenerator::read_final_records(Duration limit, Reason& reason) {
  for (const auto& session : sessions_) co_await session->resolve_leftovers();
  const TimePoint give_up = runtime_.now() + limit;
  final_reader_ = std::make_unique<ProxyClient>(runtime_, settings_.caller.proxies.front());
  for (const std::string& record : written_records()) {
    const bool read = co_await read_final_record(record, give_up, reason);
    if (!read) co_return false;
  }
  co_return true;
}

Awaitable<bool> LoadGenerator::read_final_record(std::string record, TimePoint give_up, Reason& reason) {
  const auto key = parse_record_key(record);
  StatementRequest request;
  request.database = key->database;
  request.partition_key = key->partition_key;
  request.text = make_get_text(*key);
  request.time_limit = kFinalReadLimit;
  // Without a session token the primary serves the read.
  for (std::size_t tries = 0; tries == 0 || runtime_.now() < give_up; ++tries) {
    const CallAnswer answer = co_await final_reader_->execute(request);
    reason = answer.reason;
    if (answer.outcome == CallOutcome::kDone) {
      const auto entries = parse_entries(answer.result, reason);
      if (!entries) co_return false;
      history_.final_records.push_back({record, *entries});
      co_return true;
    }
    final_reader_->move_to(settings_.caller.proxies[tries % settings_.caller.proxies.size()]);
    co_await runtime_.sleep_for(kFinalReadPause);
  }
  co_return false;
}

}  // namespace cairnhollow::standins::callers

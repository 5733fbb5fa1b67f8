#include "standins/registered/environment.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "standins/registered/document_text.h"

namespace cairnhollow::standins::registered {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint16_t kFirstDatabasePort = 9001;
constexpr std::size_t kBackendsPerGroup = 3;
constexpr std::uint32_t kRecords = 32;
constexpr Duration kCallTimeout = milliseconds(1000);
constexpr Duration kDocumentPause = seconds(2);
constexpr Duration kDocumentRetry = milliseconds(100);
constexpr Duration kShortestPause = seconds(1);
constexpr Duration kLongestPause = seconds(3);
constexpr Duration kLongestFault = seconds(5);
constexpr Duration kSettleTime = seconds(8);
/// How long, and how far apart, the promotion call is slow, and for how long it then holds an order. A held
/// order is over within kSettleTime.
constexpr Duration kLongestSlowPause = seconds(8);
constexpr Duration kShortestSlowTime = seconds(2);
constexpr Duration kLongestSlowTime = seconds(6);
constexpr Duration kShortestHold = milliseconds(500);
constexpr Duration kLongestHold = seconds(6);
constexpr Duration kStartLimit = seconds(20);
/// A primary's crash is over for the callers within this time, or its gap counts as this long.
constexpr Duration kGapWindow = seconds(6);
constexpr int kLagFactor = 300;
constexpr std::uint16_t kTrapPort = 9900;
/// Of the limited tenant; its callers ask for several times as much.
constexpr std::uint64_t kLimitedRate = 10;
constexpr Duration kLimitSettles = seconds(4);
/// Later than any run lasts.
constexpr Duration kNotYet = std::chrono::hours(24);
constexpr unsigned kOk = 200;

cairnhollow::registered::registry::TenantRule tenant_of(const std::string& name, const std::string& key,
                                                        std::uint64_t rate) {
  cairnhollow::registered::registry::TenantRule tenant;
  tenant.name = TenantName(name);
  tenant.keys = {ApiKey(key)};
  tenant.rate_per_s = rate;
  tenant.burst = rate;
  return tenant;
}

/// The keys that callers have, in turn. Of the last two one is always out of force.
const std::vector<std::string> kKeys{"key-weka", "key-weka", "key-kea", "key-tui-1", "key-tui-2"};

std::string database_name(const PolicyOfDatabase& policy, std::size_t group) {
  return fmt::format("{}-{}", policy.name, group);
}

}  // namespace

Environment::Environment(runtime::Runtime& runtime, EnvironmentSettings settings)
    : runtime_(runtime), settings_(std::move(settings)) {
  for (std::size_t number = 1; number <= settings_.groups; ++number) make_group(number);
}

void Environment::make_group(std::size_t number) {
  Group& group = groups_.emplace_back();
  for (std::size_t backend = 1; backend <= kBackendsPerGroup; ++backend)
    group.backends.emplace_back(fmt::format("g{}-b{}", number, backend));
  group.model = std::make_unique<GroupModel>(GroupName(fmt::format("group-{}", number)), group.backends,
                                             settings_.replica_lag);
  for (std::size_t place = 0; place < group.backends.size(); ++place) {
    DatabaseSettings database;
    database.backend = group.backends[place];
    database.endpoint = {fmt::format("{}.{}", settings_.database_network, number),
                         static_cast<std::uint16_t>(kFirstDatabasePort + place)};
    database.zone = ZoneName(kZones[place % kZones.size()]);
    database.control_endpoints = settings_.control_endpoints;
    if (settings_.tenants) database.tenants = &tenant_history_;
    backends_[database.backend] = Backend{&group, database, nullptr};
  }
}

Awaitable<bool> Environment::start_backend(BackendName name) {
  Backend& backend = backends_.at(name);
  auto database = make_database(runtime_, *backend.group->model, backend.settings);
  Reason reason;
  const bool started = co_await database->start(reason);
  if (!started) fmt::print(stderr, "{}: {}\n", name.value, reason.to_string());
  if (started) backend.running = database.get();
  databases_.push_back(std::move(database));
  co_return started;
}

void Environment::start_callers(std::size_t number) {
  for (std::size_t place = 0; place < 2 * kPolicies.size(); ++place) {
    const PolicyOfDatabase& policy = kPolicies[place % kPolicies.size()];
    CallerSettings caller;
    caller.name = fmt::format("caller-{}-{}", number, place);
    caller.proxies = settings_.proxy_endpoints;
    const auto first = static_cast<std::ptrdiff_t>(place % caller.proxies.size());
    std::rotate(caller.proxies.begin(), caller.proxies.begin() + first, caller.proxies.end());
    caller.database = database_name(policy, number);
    caller.policy = policy.policy;
    caller.staleness = milliseconds(policy.staleness_ms);
    caller.records = kRecords;
    caller.keeps_sessions = place % 2 == 0;  // of each policy one, and not only those whose key changes
    if (settings_.tenants) caller.key = ApiKey(kKeys[place % kKeys.size()]);
    if (settings_.tenants) caller.tenants = &tenant_history_;
    Group& group = groups_[number - 1];
    runtime_.spawn("caller", run_caller(runtime_, caller, group.history, counts_.emplace_back(), stopped_));
  }
}

Awaitable<unsigned> Environment::call_control(runtime::HttpRequest request, std::string& body) {
  const auto& endpoints = settings_.control_endpoints;
  const Endpoint endpoint = endpoints[next_control_++ % endpoints.size()];
  Reason reason;
  const TimePoint deadline = runtime_.now() + kCallTimeout;
  const auto connection = co_await runtime_.http().connect(endpoint, deadline, reason);
  if (!connection) co_return 0;
  runtime::SendState sent = runtime::SendState::kNotSent;
  const auto response = co_await connection->exchange(std::move(request), deadline, sent, reason);
  connection->close();
  if (!response) co_return 0;
  body = response->body;
  co_return response->status;
}

Awaitable<void> Environment::send_documents() {
  while (!stopped_) {
    std::vector<DatabaseText> databases;
    std::vector<std::string> names;
    for (std::size_t number = 1; number <= groups_.size(); ++number) {
      names.push_back(groups_[number - 1].model->name().value);
      for (const PolicyOfDatabase& policy : kPolicies)
        databases.push_back(
            {database_name(policy, number), policy.policy, policy.staleness_ms, names.back()});
    }
    ++version_;
    const std::string text = document_text(version_, databases, names, begin_era());
    bool taken = false;
    while (!taken && !stopped_) {
      std::string body;
      runtime::HttpRequest request = replace_document(text);
      const unsigned status = co_await call_control(std::move(request), body);
      taken = status == kOk;
      if (!taken) co_await runtime_.sleep_for(kDocumentRetry);
    }
    if (taken) record_acknowledged();
    co_await runtime_.sleep_for(kDocumentPause);
  }
}

std::vector<cairnhollow::registered::registry::TenantRule> Environment::begin_era() {
  if (!settings_.tenants) return {};
  std::vector<cairnhollow::registered::registry::TenantRule> tenants{
      tenant_of("weka", "key-weka", 0), tenant_of("kea", "key-kea", kLimitedRate),
      tenant_of("tui", version_ % 2 == 0 ? "key-tui-1" : "key-tui-2", 0)};
  for (const cairnhollow::registered::registry::TenantRule& tenant : tenants)
    tenant_history_.eras.push_back({tenant, runtime_.now() + kNotYet});
  return tenants;
}

void Environment::record_acknowledged() {
  acknowledged_ = version_;
  ++documents_;
  for (TenantEra& era : tenant_history_.eras)
    era.acknowledged_at = std::min(era.acknowledged_at, runtime_.now());
}

bool Environment::start_foreign() {
  ForeignWriterSettings writer;
  writer.registration_endpoints = settings_.foreign_endpoints;
  for (const auto& [name, backend] : backends_) writer.backends.push_back(name);
  writer.group = groups_.front().model->name();
  writer.trap = {fmt::format("{}.1", settings_.database_network), kTrapPort};
  return start_foreign_writer(runtime_, writer, foreign_history_, stopped_);
}

Awaitable<void> Environment::crash(BackendName name, Duration longest) {
  Backend& backend = backends_.at(name);
  if (backend.running == nullptr) co_return;
  backend.running->crash();
  backend.running = nullptr;
  const Duration down = runtime_.random().between(milliseconds(200), longest);
  co_await runtime_.sleep_for(down);
  co_await start_backend(name);
}

Awaitable<void> Environment::break_one(Group& group) {
  const BackendName* leader = group.model->leader();
  if (leader == nullptr) co_return;
  const BackendName primary = *leader;
  const std::uint64_t place = runtime_.random().below(group.backends.size());
  const BackendName any = group.backends[place];
  const Duration lasts = runtime_.random().between(milliseconds(500), kLongestFault);
  const bool only_primaries = settings_.faults == BackendFaults::kPrimaries;
  const std::uint64_t kind = only_primaries ? 0 : runtime_.random().below(6);
  fmt::print(stderr, "backend fault {} at {} (primary {}) of {}\n", kind, any.value, primary.value,
             group.model->name().value);
  switch (kind) {
    case 0:
    case 1:
    case 2:
      group.crashes.push_back(runtime_.now());
      co_await crash(primary, only_primaries ? kShortestPause : kLongestFault);
      break;
    case 3:
      co_await crash(any, kLongestFault);
      break;
    case 4: {
      MemberState& member = group.model->member(any);
      member.lag = settings_.replica_lag * kLagFactor;
      co_await runtime_.sleep_for(lasts);
      member.lag = settings_.replica_lag;
      break;
    }
    default:
      for (const BackendName& other : group.backends) {
        if (other != primary) group.model->cut(primary, other);
      }
      co_await runtime_.sleep_for(lasts);
      group.model->heal();
  }
}

Awaitable<void> Environment::break_backends() {
  while (settings_.faults != BackendFaults::kNone) {
    co_await runtime_.sleep_for(runtime_.random().between(kShortestPause, kLongestPause));
    if (settings_.faults == BackendFaults::kNone) co_return;
    const std::uint64_t group = runtime_.random().below(groups_.size());
    breaking_ = true;
    co_await break_one(groups_[group]);
    breaking_ = false;
  }
}

Awaitable<void> Environment::slow_promotions() {
  while (true) {
    co_await runtime_.sleep_for(runtime_.random().between(kShortestPause, kLongestSlowPause));
    if (!settings_.slow_promotions) co_return;
    promotions_->hold_orders(kShortestHold, kLongestHold);
    co_await runtime_.sleep_for(runtime_.random().between(kShortestSlowTime, kLongestSlowTime));
    promotions_->hold_orders(Duration(0), Duration(0));
  }
}

Awaitable<void> Environment::wait_until_writable() {
  const TimePoint limit = runtime_.now() + kStartLimit;
  const auto is_writable = [this](const Group& group) {
    return !group.history.empty() &&
           longest_write_gap(group.history, runtime_.now() - seconds(1), runtime_.now()) < milliseconds(800);
  };
  while (runtime_.now() < limit && !std::all_of(groups_.begin(), groups_.end(), is_writable))
    co_await runtime_.sleep_for(kDocumentRetry);
}

Awaitable<void> Environment::heal() {
  while (breaking_) co_await runtime_.sleep_for(kDocumentRetry);
  for (Group& group : groups_) group.model->heal();
  co_await runtime_.sleep_for(kSettleTime);
}

Awaitable<void> Environment::check_document(EnvironmentReport& report) {
  const TimePoint limit = runtime_.now() + kSettleTime;
  std::uint64_t held = 0;
  while (held == 0 && runtime_.now() < limit) {
    std::string body;
    runtime::HttpRequest request = read_document();
    const unsigned status = co_await call_control(std::move(request), body);
    if (status == kOk) held = version_of(body);
    if (held == 0) co_await runtime_.sleep_for(kDocumentRetry);
  }
  if (held < acknowledged_)
    report.violations.push_back(
        fmt::format("document: {} is read back, {} was acknowledged", held, acknowledged_));
}

EnvironmentReport Environment::judge() {
  EnvironmentReport report;
  for (const CallerCounts& counts : counts_) {
    report.acknowledged += counts.acknowledged;
    report.reads += counts.reads;
    report.refused += counts.promised;
    report.in_doubt += counts.unknown;
  }
  report.documents = documents_;
  report.foreign = foreign_history_.answered.size();
  report.violations = find_foreign_violations(foreign_history_);
  if (settings_.tenants) {
    const TenantBounds bounds{settings_.key_bound, kLimitSettles, {}};
    for (std::string& violation : find_tenant_violations(tenant_history_, bounds))
      report.violations.push_back(std::move(violation));
  }
  for (std::string& violation : find_promotion_violations(promotion_history_))
    report.violations.push_back(std::move(violation));
  for (const Group& group : groups_) {
    report.promotions += group.model->promotions();
    for (const TimePoint at : group.crashes)
      report.gaps.push_back(longest_write_gap(group.history, at, at + kGapWindow));
    std::vector<std::string> final_tokens;
    const BackendName* leader = group.model->leader();
    if (leader == nullptr) report.violations.push_back("no primary at the end: " + group.model->name().value);
    if (leader == nullptr) continue;
    for (const LogEntry& entry : group.model->members().at(*leader).log)
      final_tokens.push_back(entry.record + " " + entry.token);
    for (std::string& violation : find_violations(group.history, final_tokens))
      report.violations.push_back(std::move(violation));
  }
  return report;
}

Awaitable<EnvironmentReport> Environment::run() {
  std::vector<PromotedGroup> promoted;
  for (Group& group : groups_) promoted.push_back({group.model.get(), &group.history});
  promotions_ =
      make_promotion_call(runtime_, std::move(promoted),
                          {settings_.promotion_endpoint, settings_.promotion_takes}, promotion_history_);
  Reason reason;
  bool started = co_await promotions_->start(reason);
  for (const auto& [name, backend] : backends_) {
    const bool running = co_await start_backend(name);
    started = started && running;
  }
  if (!settings_.foreign_endpoints.empty()) started = started && start_foreign();
  if (!started) {
    EnvironmentReport failed;
    failed.violations.emplace_back("the environment did not start");
    co_return failed;
  }
  runtime_.spawn("operator", send_documents());
  for (std::size_t number = 1; number <= groups_.size(); ++number) start_callers(number);
  co_await wait_until_writable();
  if (settings_.faults != BackendFaults::kNone) runtime_.spawn("break_backends", break_backends());
  if (settings_.slow_promotions) runtime_.spawn("slow_promotions", slow_promotions());
  co_await runtime_.sleep_for(settings_.duration);
  settings_.faults = BackendFaults::kNone;
  settings_.slow_promotions = false;
  promotions_->hold_orders(Duration(0), Duration(0));
  co_await heal();
  stopped_ = true;
  co_await heal();
  EnvironmentReport report = judge();
  co_await check_document(report);
  co_return report;
}

}  // namespace cairnhollow::standins::registered

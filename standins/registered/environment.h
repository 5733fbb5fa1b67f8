// Everything around a registered fleet of real processes, in one process: backends that do not check terms,
// the promotion call, an operator, and callers whose history is judged at the end. Breaks its backends at
// random.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runtime/runtime.h"
#include "standins/registered/caller.h"
#include "standins/registered/database.h"
#include "standins/registered/foreign_writer.h"
#include "standins/registered/group_model.h"
#include "standins/registered/promotion_call.h"

namespace cairnhollow::standins::registered {

/// What the environment breaks.
enum class BackendFaults : std::uint8_t { kNone, kPrimaries, kAll };

struct EnvironmentSettings {
  Duration duration = std::chrono::seconds(60);  ///< of the callers' work
  std::size_t groups = 2;
  std::vector<Endpoint> control_endpoints;  ///< operators and backends
  std::vector<Endpoint> proxy_endpoints;    ///< callers
  Endpoint promotion_endpoint;
  std::string database_network = "127.0.3";  ///< group N's backends listen on 127.0.3.N
  Duration replica_lag = std::chrono::milliseconds(8);
  Duration promotion_takes = std::chrono::milliseconds(300);
  bool slow_promotions = false;  ///< for some seconds at random times, promotion orders are held for seconds
  BackendFaults faults = BackendFaults::kAll;
  /// Callers have keys of tenants, of whom one is limited and one changes its key with each document.
  bool tenants = false;
  Duration key_bound = std::chrono::seconds(5);  ///< as the proxies are told
  /// Where another writer, who keeps to no page, sends registrations; empty: there is none.
  std::vector<Endpoint> foreign_endpoints;
};

/// What came of a run.
struct EnvironmentReport {
  std::uint64_t acknowledged = 0;  ///< writes
  std::uint64_t reads = 0;
  std::uint64_t refused = 0;  ///< writes, with a promise
  std::uint64_t in_doubt = 0;
  std::uint64_t promotions = 0;
  std::uint64_t documents = 0;  ///< acknowledged
  std::uint64_t foreign = 0;    ///< malformed registrations that were answered
  std::vector<Duration> gaps;   ///< the longest time without an acknowledged write after each primary's crash
  std::vector<std::string> violations;
};

class Environment {
 public:
  Environment(runtime::Runtime& runtime, EnvironmentSettings settings);

  /// Starts, works, heals, waits, judges. What it started refers to it until the process ends.
  Awaitable<EnvironmentReport> run();

 private:
  struct Group {
    std::unique_ptr<GroupModel> model;
    std::vector<BackendName> backends;
    std::vector<Attempt> history;
    std::vector<TimePoint> crashes;  ///< of its primary
  };
  struct Backend {
    Group* group = nullptr;
    DatabaseSettings settings;
    Database* running = nullptr;  ///< null: it is down
  };

  void make_group(std::size_t number);
  Awaitable<bool> start_backend(BackendName name);
  void start_callers(std::size_t number);
  bool start_foreign();
  /// The tenants of the document of `version_`; noted before it is sent, since it may be in force before its
  /// acknowledgement comes.
  std::vector<cairnhollow::registered::registry::TenantRule> begin_era();
  void record_acknowledged();
  Awaitable<void> send_documents();
  /// Status of the answer; 0: none.
  Awaitable<unsigned> call_control(runtime::HttpRequest request, std::string& body);
  Awaitable<void> break_backends();
  Awaitable<void> slow_promotions();
  Awaitable<void> break_one(Group& group);
  Awaitable<void> crash(BackendName name, Duration longest);
  Awaitable<void> wait_until_writable();
  Awaitable<void> heal();
  Awaitable<void> check_document(EnvironmentReport& report);
  EnvironmentReport judge();

  runtime::Runtime& runtime_;
  EnvironmentSettings settings_;
  std::deque<Group> groups_;
  std::map<BackendName, Backend> backends_;
  std::vector<std::unique_ptr<Database>> databases_;  ///< ended ones, too: their coroutines refer to them
  std::unique_ptr<PromotionCall> promotions_;
  PromotionHistory promotion_history_;
  std::deque<CallerCounts> counts_;
  TenantHistory tenant_history_;
  ForeignHistory foreign_history_;
  std::uint64_t version_ = 0;       ///< of the document sent last
  std::uint64_t acknowledged_ = 0;  ///< the highest version that was
  std::uint64_t documents_ = 0;
  std::size_t next_control_ = 0;
  bool stopped_ = false;   ///< callers and operator
  bool breaking_ = false;  ///< a backend fault is under way
};

}  // namespace cairnhollow::standins::registered

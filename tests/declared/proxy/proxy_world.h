// A small deployment on the virtual runtime: a stand-in control node, one database group of three members,
// proxies and callers.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "declared/proxy/settings.h"
#include "simulation/world.h"
#include "standins/callers/proxy_client.h"
#include "standins/callers/record_statement.h"
#include "standins/database/settings.h"
#include "tests/declared/proxy/control_stub.h"

namespace cairnhollow::declared::proxy {

struct ProxyWorldSettings {
  std::uint64_t seed = 1;
  std::uint32_t proxies = 2;
  std::uint32_t connections = 35;
  std::uint32_t slots = 5;
  Duration statement_duration = std::chrono::milliseconds(2);
  Duration replication_lag{0};
  std::optional<std::uint64_t> replica_wait_milliseconds;  ///< of the route; unset: the default
  std::function<void(ProxySettings&)> adjust_proxy = [](ProxySettings&) {};
};

/// A caller: one session with a connection to one proxy.
struct Caller {
  Caller(simulation::VirtualRuntime& caller_runtime, Endpoint proxy, std::string session_name)
      : runtime(caller_runtime), client(caller_runtime, std::move(proxy)), session(std::move(session_name)) {}
  simulation::VirtualRuntime& runtime;
  standins::callers::ProxyClient client;
  std::string session;
  std::string token;
  std::uint64_t number = 0;
};

class ProxyWorld {
 public:
  explicit ProxyWorld(const ProxyWorldSettings& settings = {});

  simulation::World& world() { return world_; }
  ControlStub& control();
  static GroupName group() { return GroupName("records"); }
  /// "database-0" to "database-2", in zones 0 to 2. "database-0" is the first primary, in term 1.
  static std::string database(std::uint32_t index) { return "database-" + std::to_string(index); }
  static std::string proxy(std::uint32_t index) { return "proxy-" + std::to_string(index); }
  static Endpoint database_endpoint(std::uint32_t index);
  static Endpoint proxy_endpoint(std::uint32_t index);

  /// Fences `members` at `term`, promotes the member, makes the others follow it, and informs control.
  void promote(std::uint32_t index, std::uint64_t term, const std::vector<std::uint32_t>& members);
  /// Adds a caller in zone 0 that is connected to the proxy.
  Caller& add_caller(std::uint32_t proxy_index);

  /// Runs one call to completion.
  standins::callers::CallAnswer write(Caller& caller, const std::string& value,
                                      Duration time_limit = std::chrono::seconds(5));
  standins::callers::CallAnswer read(Caller& caller, Duration time_limit = std::chrono::seconds(5));
  standins::callers::CallAnswer begin(Caller& caller);
  standins::callers::CallAnswer execute_in(Caller& caller, const std::string& transaction,
                                           const std::string& value);
  standins::callers::CallAnswer commit(Caller& caller, const std::string& transaction);
  standins::callers::CallAnswer rollback(Caller& caller, const std::string& transaction);
  /// Runs one exchange with the proxy on a separate connection.
  runtime::HttpResponse exchange(std::uint32_t proxy_index, runtime::HttpRequest request);
  runtime::HttpResponse get(std::uint32_t proxy_index, const std::string& target);
  runtime::HttpResponse post(std::uint32_t proxy_index, const std::string& target, const std::string& body);
  /// Sets the stand-in database's fault settings (POST /admin/faults).
  void set_faults(std::uint32_t database_index, const std::string& json);

  /// Starts a call; the value is set once the call has ended.
  template <class Value>
  std::shared_ptr<std::optional<Value>> start(Awaitable<Value> call) {
    auto result = std::make_shared<std::optional<Value>>();
    operator_->spawn("call", store(std::move(call), result));
    return result;
  }

  /// Runs the world until the call has ended; throws if it does not end within a simulated minute.
  template <class Value>
  Value run(Awaitable<Value> call) {
    return finish(start(std::move(call)));
  }
  template <class Value>
  Value finish(std::shared_ptr<std::optional<Value>> result) {
    const bool ended = world_.run_until([&] { return result->has_value(); }, std::chrono::minutes(1),
                                        std::chrono::milliseconds(1));
    if (!ended) throw std::runtime_error("a call did not end within a simulated minute");
    return std::move(**result);
  }

  /// Builds the caller's next request.
  standins::callers::StatementRequest next_request(Caller& caller, standins::callers::StatementKind kind,
                                                   const std::string& text) const;
  static standins::callers::RecordKey key() { return {"decks", "learner-1", "answers"}; }

 private:
  template <class Value>
  static Awaitable<void> store(Awaitable<Value> call, std::shared_ptr<std::optional<Value>> result) {
    *result = co_await std::move(call);
  }
  void start_databases(const ProxyWorldSettings& settings);
  void start_proxies(const ProxyWorldSettings& settings);
  void configure(const ProxyWorldSettings& settings);
  Awaitable<bool> run_promotion(std::uint32_t index, std::uint64_t term, std::vector<std::uint32_t> members);
  Awaitable<bool> fence(std::uint32_t index, std::uint64_t term);
  standins::callers::CallAnswer remember(Caller& caller, standins::callers::CallAnswer answer);

  simulation::World world_;
  simulation::VirtualRuntime* operator_ = nullptr;
  std::deque<Caller> callers_;
};

}  // namespace cairnhollow::declared::proxy

#include "standins/registered/foreign_writer.h"

#include <fmt/format.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <set>

#include "runtime/http.h"
#include "runtime/lines.h"

namespace cairnhollow::standins::registered {

namespace json = boost::json;

namespace {

constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
constexpr unsigned kTaken = 2;  ///< of a hundred

json::object well_formed(const ForeignWriterSettings& settings, std::uint64_t sequence) {
  return {{"Service", settings.group.value},
          {"Addr", settings.trap.to_string()},
          {"Zone", "kelburn"},
          {"Slots", 4},
          {"State", "ready"},
          {"DbRole", "replica"},
          {"Seq", sequence}};
}

class ForeignWriter {
 public:
  ForeignWriter(runtime::Runtime& runtime, ForeignWriterSettings settings, ForeignHistory& history,
                const bool& stopped)
      : runtime_(runtime), settings_(std::move(settings)), history_(history), stopped_(stopped) {}

  bool listen(Reason& reason) {
    listener_ = runtime_.lines().listen(settings_.trap, reason);
    return listener_ != nullptr;
  }

  Awaitable<void> wait_for_seekers() {
    while (true) {
      Reason reason;
      const auto lines = co_await listener_->accept(reason);
      if (!lines) co_return;
      ++history_.sought;
      lines->close();
    }
  }

  Awaitable<void> write() {
    while (!stopped_) {
      co_await write_one();
      co_await runtime_.sleep_for(settings_.pause);
    }
  }

 private:
  Awaitable<void> write_one() {
    const auto& kinds = foreign_kinds();
    const ForeignKind& kind = kinds[runtime_.random().below(kinds.size())];
    const std::uint64_t own_names = 2;
    const std::uint64_t name = runtime_.random().below(settings_.backends.size() + own_names);
    // What is well read belongs to its own name: under another's it would be news of that one.
    const bool is_anothers = name < settings_.backends.size() && !kind.may_be_taken;
    const std::string id = is_anothers ? settings_.backends[name].value : fmt::format("foreign-{}", name);
    const auto& endpoints = settings_.registration_endpoints;
    const Endpoint endpoint = endpoints[next_endpoint_++ % endpoints.size()];
    runtime::HttpRequest request;
    request.method = runtime::HttpMethod::kPut;
    request.target = "/instances/" + id;
    request.body = print_foreign(kind.name, settings_, ++sequence_);
    const std::string kind_name = kind.name;
    Reason reason;
    const TimePoint deadline = runtime_.now() + kCallTimeout;
    const auto connection = co_await runtime_.http().connect(endpoint, deadline, reason);
    if (!connection) co_return;
    runtime::SendState sent = runtime::SendState::kNotSent;
    const auto response = co_await connection->exchange(std::move(request), deadline, sent, reason);
    connection->close();
    if (response) history_.answered.push_back({kind_name, response->status});
  }

  runtime::Runtime& runtime_;
  ForeignWriterSettings settings_;
  ForeignHistory& history_;
  const bool& stopped_;
  std::unique_ptr<runtime::LineListener> listener_;
  std::size_t next_endpoint_ = 0;
  std::uint64_t sequence_ = 1'000'000;  ///< newer than what backends say of themselves
};

}  // namespace

const std::vector<ForeignKind>& foreign_kinds() {
  static const std::vector<ForeignKind> kinds{{"no service"},
                                              {"no address"},
                                              {"no sequence"},
                                              {"slots as text"},
                                              {"sequence as text"},
                                              {"zone as a number"},
                                              {"an address that is none"},
                                              {"an unknown state"},
                                              {"a list"},
                                              {"half a body"},
                                              {"bytes that are no text"},
                                              {"nothing"},
                                              {"an unknown group", true}};
  return kinds;
}

std::string print_foreign(const std::string& kind, const ForeignWriterSettings& settings,
                          std::uint64_t sequence) {
  json::object body = well_formed(settings, sequence);
  const std::string whole = json::serialize(body);
  if (kind == "no service") body.erase("Service");
  if (kind == "no address") body.erase("Addr");
  if (kind == "no sequence") body.erase("Seq");
  if (kind == "slots as text") body["Slots"] = "4";
  if (kind == "sequence as text") body["Seq"] = "new";
  if (kind == "zone as a number") body["Zone"] = 1;
  if (kind == "an address that is none") body["Addr"] = "somewhere";
  if (kind == "an unknown state") body["State"] = "resting";
  if (kind == "an unknown group") body["Service"] = "nobodys";
  if (kind == "a list") return "[" + whole + "]";
  if (kind == "half a body") return whole.substr(0, whole.size() / 2);
  if (kind == "bytes that are no text") return std::string("\xff\xfe\x00\x80{", 5) + whole;
  if (kind == "nothing") return {};
  return json::serialize(body);
}

std::vector<std::string> find_foreign_violations(const ForeignHistory& history) {
  std::set<std::string> violations;
  for (const ForeignHistory::Answered& answered : history.answered) {
    bool may_be_taken = false;
    for (const ForeignKind& kind : foreign_kinds()) {
      if (answered.kind == kind.name) may_be_taken = kind.may_be_taken;
    }
    if (answered.status / 100 == kTaken && !may_be_taken)
      violations.insert(fmt::format("a registration with {} was taken ({})", answered.kind, answered.status));
  }
  if (history.sought > 0)
    violations.insert(
        fmt::format("{} connections to an address that only malformed registrations name", history.sought));
  return {violations.begin(), violations.end()};
}

bool start_foreign_writer(runtime::Runtime& runtime, ForeignWriterSettings settings, ForeignHistory& history,
                          const bool& stopped) {
  // Its coroutines refer to it until the process ends.
  auto writer = std::make_shared<ForeignWriter>(runtime, std::move(settings), history, stopped);
  Reason reason;
  if (!writer->listen(reason)) return false;
  const auto keep = [](std::shared_ptr<ForeignWriter> kept, bool writes) -> Awaitable<void> {
    if (writes) {
      co_await kept->write();
    } else {
      co_await kept->wait_for_seekers();
    }
  };
  runtime.spawn("foreign_trap", keep(writer, false));
  runtime.spawn("foreign_writer", keep(writer, true));
  return true;
}

}  // namespace cairnhollow::standins::registered

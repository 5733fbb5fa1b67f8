#include "standins/registered/caller.h"

#include <fmt/format.h>

#include <boost/algorithm/string/split.hpp>

#include "platform/wire_words.h"

namespace cairnhollow::standins::registered {

namespace {

namespace words = ::cairnhollow::platform;
using words::take_word;

constexpr Duration kStatementTimeout = std::chrono::milliseconds(1500);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr int kOperationsPerSession = 25;

/// How one statement ended, as the caller sees it.
struct Reply {
  bool whole = false;  ///< an answer came
  bool done = false;
  std::optional<cairnhollow::registered::Refusal> refusal;
  std::vector<std::string> rows;
};

class Session {
 public:
  Session(runtime::Runtime& runtime, const CallerSettings& settings, std::string name,
          std::shared_ptr<runtime::LineConnection> lines)
      : runtime_(runtime), settings_(settings), name_(std::move(name)), lines_(std::move(lines)) {}

  Awaitable<bool> open(std::string database) {
    Reason reason;
    const std::string who = settings_.key.empty() ? "caller" : settings_.key.value;
    std::string start = fmt::format("START {} {}\r\n", database, who);
    co_await lines_->write(std::move(start), reason);
    const auto line = co_await lines_->read_line(runtime_.now() + kStatementTimeout, reason);
    co_return line && line->starts_with("READY");
  }

  Awaitable<Reply> run(std::string text) {
    Reason reason;
    Reply reply;
    const std::string id = fmt::format("{}.{}", name_, next_id_++);
    std::string query = fmt::format("QUERY {} {}\r\n", id, text);
    if (settings_.tenants != nullptr)
      settings_.tenants->sent.push_back({id, operation(), settings_.key, runtime_.now()});
    co_await lines_->write(std::move(query), reason);
    const TimePoint deadline = runtime_.now() + kStatementTimeout;
    while (true) {
      const auto line = co_await lines_->read_line(deadline, reason);
      if (!line) co_return reply;
      std::string_view rest = *line;
      const std::string_view word = take_word(rest);
      if (word == "ROW") reply.rows.emplace_back(rest);
      if (word == "DONE") reply.done = true;
      if (word == "ERR") reply.refusal = words::parse_refusal_code(take_word(rest));
      if (word != "READY") continue;
      reply.whole = true;
      co_return reply;
    }
  }
  void close() { lines_->close(); }
  /// What is sent from now on is of another operation.
  void begin_operation() { ++operation_; }
  /// A close while nothing was asked is no failure: the caller goes elsewhere.
  [[nodiscard]] bool is_open() const { return lines_->is_open(); }

 private:
  [[nodiscard]] std::string operation() const { return fmt::format("{}/{}", name_, operation_); }

  runtime::Runtime& runtime_;
  const CallerSettings& settings_;
  std::string name_;
  std::shared_ptr<runtime::LineConnection> lines_;
  std::uint64_t next_id_ = 1;
  std::uint64_t operation_ = 0;
};

class Caller {
 public:
  Caller(runtime::Runtime& runtime, CallerSettings settings, std::vector<Attempt>& history,
         CallerCounts& counts)
      : runtime_(runtime), settings_(std::move(settings)), history_(history), counts_(counts) {}

  Awaitable<void> run(const bool& stopped) {
    while (!stopped) {
      Reason reason;
      const Endpoint proxy = settings_.proxies[next_proxy_++ % settings_.proxies.size()];
      auto lines = co_await runtime_.lines().connect(proxy, runtime_.now() + kConnectTimeout, reason);
      if (lines) {
        name_ = fmt::format("{}-{}", settings_.name, next_session_++);
        Session session(runtime_, settings_, name_, lines);
        co_await run_session(session, stopped);
        session.close();
      }
      co_await runtime_.sleep_for(settings_.pause);
    }
  }

 private:
  Awaitable<void> run_session(Session& session, const bool& stopped) {
    const bool opened = co_await session.open(settings_.database);
    if (!opened) co_return;
    std::string set = "SET tag " + name_;
    const Reply reply = co_await session.run(std::move(set));
    bool sound = reply.done;
    for (int operation = 0; sound && !stopped && goes_on(operation); ++operation) {
      sound = co_await run_operation(session);
      co_await runtime_.sleep_for(settings_.pause);
      sound = sound && session.is_open();
    }
  }

  [[nodiscard]] bool goes_on(int operations) const {
    return settings_.keeps_sessions || operations < kOperationsPerSession;
  }

  Awaitable<bool> run_operation(Session& session) {
    session.begin_operation();
    Attempt attempt;
    attempt.session = name_;
    attempt.policy = settings_.policy;
    attempt.staleness = settings_.staleness;
    attempt.record = fmt::format("r{}", runtime_.random().below(settings_.records));
    attempt.begun = runtime_.now();
    const std::uint64_t kind = runtime_.random().below(4);
    const bool writes = kind == 0 || kind == 1;
    if (writes) attempt.token = fmt::format("{}.{}", name_, next_token_++);
    bool sound = false;
    if (kind == 0) sound = co_await write(session, attempt);
    if (kind == 1) sound = co_await write_in_transaction(session, attempt);
    if (kind > 1) sound = co_await read(session, attempt);
    attempt.ended = runtime_.now();
    count(attempt);
    history_.push_back(std::move(attempt));
    co_return sound;
  }

  void count(const Attempt& attempt) {
    if (attempt.has_read) ++counts_.reads;
    if (attempt.token.empty()) return;
    if (attempt.outcome == AttemptOutcome::kAcknowledged) ++counts_.acknowledged;
    if (attempt.outcome == AttemptOutcome::kPromisedNotKept) ++counts_.promised;
    if (attempt.outcome == AttemptOutcome::kUnknown) ++counts_.unknown;
  }

  static void take_outcome(const Reply& reply, Attempt& attempt) {
    attempt.cut = !reply.whole;
    if (reply.done) attempt.outcome = AttemptOutcome::kAcknowledged;
    if (reply.refusal && cairnhollow::registered::guarantees_no_effect(*reply.refusal))
      attempt.outcome = AttemptOutcome::kPromisedNotKept;
  }

  Awaitable<bool> write(Session& session, Attempt& attempt) {
    std::string text = fmt::format("WRITE {} {}", attempt.record, attempt.token);
    const Reply reply = co_await session.run(std::move(text));
    take_outcome(reply, attempt);
    co_return reply.whole;
  }

  Awaitable<bool> read(Session& session, Attempt& attempt) {
    std::string text = "READ " + attempt.record;
    const Reply reply = co_await session.run(std::move(text));
    if (reply.done && reply.rows.size() == 1) {
      std::string_view rest = reply.rows.front();
      attempt.tag = take_word(rest);
      attempt.has_read = true;
      if (!rest.empty()) boost::algorithm::split(attempt.tokens, rest, [](char sign) { return sign == ','; });
    }
    co_return reply.whole;
  }

  /// A refusal before the commit leaves the transaction failed: it is rolled back.
  Awaitable<bool> write_in_transaction(Session& session, Attempt& attempt) {
    std::string begin = "BEGIN";
    Reply reply = co_await session.run(std::move(begin));
    if (!reply.done) co_return reply.whole;
    std::string text = fmt::format("WRITE {} {}", attempt.record, attempt.token);
    reply = co_await session.run(std::move(text));
    attempt.outcome = AttemptOutcome::kPromisedNotKept;  // nothing is kept that was not committed
    if (!reply.whole) co_return false;
    if (!reply.done) {
      std::string roll_back = "ROLLBACK";
      reply = co_await session.run(std::move(roll_back));
      co_return reply.whole;
    }
    attempt.outcome = AttemptOutcome::kUnknown;
    std::string commit = "COMMIT";
    reply = co_await session.run(std::move(commit));
    take_outcome(reply, attempt);
    co_return reply.whole;
  }

  runtime::Runtime& runtime_;
  CallerSettings settings_;
  std::vector<Attempt>& history_;
  CallerCounts& counts_;
  std::string name_;
  std::size_t next_proxy_ = 0;
  std::uint64_t next_session_ = 1;
  std::uint64_t next_token_ = 1;
};

}  // namespace

Awaitable<void> run_caller(runtime::Runtime& runtime, CallerSettings settings, std::vector<Attempt>& history,
                           CallerCounts& counts, const bool& stopped) {
  Caller caller(runtime, std::move(settings), history, counts);
  co_await caller.run(stopped);
}

}  // namespace cairnhollow::standins::registered

// A group of three stand-in databases on the virtual runtime, called through the HTTP driver step by step.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "declared/backend/http_backend.h"
#include "simulation/world.h"
#include "standins/database/settings.h"

namespace cairnhollow::standins::database {

/// Members are named "a", "b" and "c", each in a zone of the same name; the caller is a process of its own.
class DatabaseGroup {
 public:
  /// `change` may alter the settings of each member before it starts.
  explicit DatabaseGroup(std::uint64_t seed, void (*change)(DatabaseSettings&) = nullptr);
  ~DatabaseGroup();

  simulation::World& world() { return *world_; }
  runtime::Runtime& caller() { return world_->runtime("caller"); }
  [[nodiscard]] TimePoint in(Duration time) { return caller().now() + time; }
  [[nodiscard]] static Endpoint endpoint(const std::string& member);

  /// Runs `task` on the caller's process to its end; throws when it has not ended after a minute.
  template <class T>
  T run(Awaitable<T> task) {
    const auto result = start(std::move(task));
    if (!world_->run_until([&] { return result->has_value(); }, kLongestCall, kStep)) {
      throw std::runtime_error("a call did not end");
    }
    return std::move(**result);
  }

  /// Starts `task` on the caller's process; the result is empty until it has ended.
  template <class T>
  std::shared_ptr<std::optional<T>> start(Awaitable<T> task) {
    auto result = std::make_shared<std::optional<T>>();
    caller().spawn("test", store(std::move(task), result));
    return result;
  }

  /// A new connection; null with a reason.
  std::shared_ptr<declared::backend::BackendConnection> connect(
      const std::string& member,
      declared::backend::ConnectionPurpose purpose = declared::backend::ConnectionPurpose::kStatements);
  /// The connection kept for calls to this member; opened anew when it is closed.
  declared::backend::BackendConnection& control(const std::string& member);
  declared::backend::BackendConnection& statements(const std::string& member);

  /// Fences `members` at `term`, promotes the one with the longest log and has the others follow it.
  /// Returns its name; empty when a step was refused.
  std::string fail_over(std::uint64_t term, const std::string& owner,
                        const std::vector<std::string>& members);
  std::optional<declared::backend::FenceAnswer> fence(const std::string& member, std::uint64_t term,
                                                      const std::string& owner);
  bool promote(const std::string& member, std::uint64_t term, const std::string& owner);
  bool follow(const std::string& member, std::uint64_t term, const std::string& primary);
  std::optional<declared::backend::BackendStatus> status(const std::string& member);
  declared::backend::ExecuteAnswer append(const std::string& member, std::uint64_t term,
                                          const std::string& value,
                                          std::optional<RequestId> request = std::nullopt,
                                          std::uint64_t answered_up_to = 0);
  declared::backend::ExecuteAnswer read(const std::string& member, Position minimum, Duration wait);
  std::optional<declared::backend::ResolveAnswer> resolve(const std::string& member, std::uint64_t term,
                                                          const RequestId& request);
  /// Statements on the record "r" of the database "learners".
  [[nodiscard]] static declared::backend::Statement append_statement(const std::string& value);
  [[nodiscard]] static declared::backend::Statement read_statement();
  /// The requirements of a write in `term`, with the usual deadline.
  [[nodiscard]] declared::backend::Requirements requirements(std::uint64_t term,
                                                             std::optional<RequestId> request = std::nullopt);
  /// The body of a read of the record, from what the member has applied; the refusal when there is none.
  std::string content(const std::string& member);
  /// Cuts a member off from the other two, both ways; callers still reach it.
  void isolate(const std::string& member);
  /// Sends `body` to the member's admin call; true when it was taken.
  bool set_faults(const std::string& member, const std::string& body);

  [[nodiscard]] const Reason& reason() const { return reason_; }

 private:
  static constexpr Duration kLongestCall = std::chrono::minutes(1);
  static constexpr Duration kStep = std::chrono::milliseconds(1);

  template <class T>
  static Awaitable<void> store(Awaitable<T> task, std::shared_ptr<std::optional<T>> result) {
    T value = co_await std::move(task);
    result->emplace(std::move(value));
  }

  std::unique_ptr<simulation::World> world_;
  std::unique_ptr<declared::backend::BackendConnector> statement_connector_;
  std::unique_ptr<declared::backend::BackendConnector> control_connector_;
  std::map<std::string, std::shared_ptr<declared::backend::BackendConnection>> control_;
  std::map<std::string, std::shared_ptr<declared::backend::BackendConnection>> statements_;
  Reason reason_;
};

}  // namespace cairnhollow::standins::database

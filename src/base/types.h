// Identifiers and small values that every module uses.
#pragma once

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cairnhollow {

/// A name that cannot be mixed up with a name of another kind.
template <class Tag>
struct Name {
  std::string value;

  Name() = default;
  explicit Name(std::string text) : value(std::move(text)) {}
  [[nodiscard]] bool empty() const { return value.empty(); }
  auto operator<=>(const Name&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

using NodeName = Name<struct NodeTag>;          ///< a proxy or control node
using BackendName = Name<struct BackendTag>;    ///< one database server
using GroupName = Name<struct GroupTag>;        ///< a database group: one primary and its replicas
using RouteName = Name<struct RouteTag>;        ///< a route object
using ZoneName = Name<struct ZoneTag>;          ///< a failure domain
using RegionName = Name<struct RegionTag>;      ///< zones that are near each other, under one law
using DatabaseName = Name<struct DatabaseTag>;  ///< what a caller's statement names
using DomainName = Name<struct DomainTag>;      ///< a configuration log of its own; empty: the only one
using SessionName = Name<struct SessionTag>;    ///< a client session; chosen by the caller
using TransactionId = Name<struct TransactionTag>;
using TenantName = Name<struct TenantTag>;  ///< who pays: callers that share limits and nothing else
using ApiKey = Name<struct ApiKeyTag>;      ///< proves a caller's tenant; never logged, shown or counted by

/// A place in a database group's log. Ordered by term, then index (Raft, section 5.3).
struct Position {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  auto operator<=>(const Position&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, index);
  }
};

/// Identifies one request of one client session; the number grows by one per request of the session.
struct RequestId {
  SessionName session;
  std::uint64_t number = 0;
  auto operator<=>(const RequestId&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(session, number);
  }
};

/// An IP address and port; no host names (the platform gives numbers).
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
  /// "127.0.0.1:4000" or "[::1]:4000".
  [[nodiscard]] std::string to_string() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, port);
  }
};

/// Parses "127.0.0.1:4000" or "[::1]:4000"; empty when the text is neither, e.g. names a host.
std::optional<Endpoint> parse_endpoint(const std::string& text);

/// Labels of an object or of a statement: key to value.
struct LabelSet {
  std::map<std::string, std::string> entries;
  auto operator<=>(const LabelSet&) const = default;
  [[nodiscard]] std::optional<std::string> find(const std::string& key) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(entries);
  }
};

using Duration = std::chrono::nanoseconds;

/// Whole milliseconds, for log lines and messages.
inline std::int64_t in_ms(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// A clock of one process that never steps back; its zero has no meaning in another process.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};
using TimePoint = MonotonicClock::time_point;

}  // namespace cairnhollow

template <class Tag>
struct std::hash<cairnhollow::Name<Tag>> {
  std::size_t operator()(const cairnhollow::Name<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.value);
  }
};

// What a proxy that does not serve a group says to one that does.
#pragma once

#include <cereal/types/variant.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/reason.h"
#include "registered/limits/quota_ledger.h"
#include "registered/protocol/statement.h"
#include "registered/proxy/links/stateful_pool.h"
#include "registered/registry/model.h"
#include "wire/format.h"

namespace cairnhollow::registered::proxy {

/// A StatementRequest on the way. Times are told as durations, since clocks differ.
struct ForwardedOrder {
  registry::RouteRule route;
  std::string id;
  std::string text;
  std::optional<PreparedShape> prepared;
  std::string argument;
  bool writes = false;
  SessionValues values;
  std::optional<Position> committed;
  Duration committed_ago{0};
  Duration time_left{0};
  bool opens_transaction = false;
  bool read_only_transaction = false;
  bool may_have_run = false;  ///< at another proxy that gave no answer
  ApiKey key;  ///< of the caller; whoever runs the order asks its own document which tenant that is

  template <class Archive>
  void serialize(Archive& archive) {
    auto ago = committed_ago.count();
    auto left = time_left.count();
    archive(route, id, text, prepared, argument, writes, values, committed, ago, left, opens_transaction,
            read_only_transaction);
    wire::since(archive, wire::kTenantsFormat, key, ApiKey());
    wire::since(archive, wire::kTenantsFormat, may_have_run, false);
    committed_ago = Duration(ago);
    time_left = Duration(left);
  }
};

struct ForwardRun {
  ForwardedOrder order;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(order);
  }
};

/// A further statement of a transaction that is open at the server under `pin`, or its commit.
struct ForwardInTransaction {
  std::uint64_t pin = 0;
  ForwardedOrder order;
  bool commits = false;
  bool wrote = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(pin, order, commits, wrote);
  }
};

/// The transaction is over: rolled back unless its commit was answered.
struct ForwardEnd {
  std::uint64_t pin = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(pin);
  }
};

/// Asks a quota owner of the tenant, or of the cold backend where one is named, for tokens, one for each
/// operation or statement.
struct ForwardTokens {
  TenantName tenant;
  std::uint64_t needed = 0;  ///< by operations that wait
  std::uint64_t ahead = 0;   ///< by those that are likely to come while a token lives
  BackendName cold_backend;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, needed, ahead);
    wire::since(archive, wire::kPlacementFormat, cold_backend, BackendName());
  }
};

/// The alternatives' places are part of the format: new ones go last.
struct ForwardRequest {
  std::uint64_t correlation = 0;
  std::variant<ForwardRun, ForwardInTransaction, ForwardEnd, ForwardTokens> body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation, body);
  }
};

struct ForwardAnswer {
  std::uint64_t correlation = 0;
  Answer answer;
  std::uint64_t pin = 0;  ///< of the transaction opened; 0: none
  bool at_primary = false;
  bool may_try_another = false;  ///< not run, for a reason that lies with this proxy
  bool nothing_run = false;      ///< no backend can have run the order, in any attempt
  limits::Grant grant;           ///< to ForwardTokens
  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation, answer, pin, at_primary, may_try_another);
    wire::since(archive, wire::kTenantsFormat, nothing_run, false);
    wire::since(archive, wire::kTenantsFormat, grant, limits::Grant());
  }
};

}  // namespace cairnhollow::registered::proxy

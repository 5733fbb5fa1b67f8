// Wire messages between a proxy that forwards statements and one that runs them or grants tokens.
#pragma once

#include <cereal/types/array.hpp>
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
#include "registered/scheduling/slot_shares.h"
#include "wire/format.h"

namespace cairnhollow::registered::proxy {

/// A StatementRequest on the wire. Times are sent as durations, since the proxies' clocks differ.
struct ForwardedStatement {
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
  bool may_have_run = false;  ///< an earlier attempt at another proxy gave no answer
  ApiKey key;  ///< the caller's key; the proxy that runs the statement finds the tenant in its own document
  /// Version of the document that the forwarding proxy holds; 0: unknown, on a connection of an earlier
  /// build. The statement runs under no older one.
  std::uint64_t document_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    auto ago = committed_ago.count();
    auto left = time_left.count();
    archive(route, id, text, prepared, argument, writes, values, committed, ago, left, opens_transaction,
            read_only_transaction);
    wire::since(archive, wire::kTenantsFormat, key, ApiKey());
    wire::since(archive, wire::kTenantsFormat, may_have_run, false);
    wire::since(archive, wire::kForwardedVersionFormat, document_version, std::uint64_t{0});
    committed_ago = Duration(ago);
    time_left = Duration(left);
  }
};

struct ForwardRun {
  ForwardedStatement statement;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(statement);
  }
};

/// Runs a further statement, or the commit, of the transaction that the server holds open as `pin`.
struct ForwardInTransaction {
  std::uint64_t pin = 0;
  ForwardedStatement statement;
  bool commits = false;
  bool wrote = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(pin, statement, commits, wrote);
  }
};

/// Ends the transaction: it is rolled back unless its commit was answered.
struct ForwardEnd {
  std::uint64_t pin = 0;
  bool operator==(const ForwardEnd&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(pin);
  }
};

/// Liveness probe: ends transaction 0, which never exists, so the other proxy answers immediately.
inline constexpr ForwardEnd kLivenessProbe{0};

/// Requests tokens from a quota owner of the tenant, or of `cold_backend` if it is set: one token per
/// operation of the tenant or statement to the backend.
struct ForwardTokens {
  TenantName tenant;
  std::uint64_t needed = 0;  ///< tokens for operations that are waiting
  std::uint64_t ahead = 0;   ///< tokens for operations expected within a token's lifetime
  BackendName cold_backend;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, needed, ahead);
    wire::since(archive, wire::kPlacementFormat, cold_backend, BackendName());
  }
};

/// Reports to another owner of the backend what this one needs of its slots.
struct ForwardDemand {
  GroupName group;
  BackendName backend;
  NodeName owner;  ///< the reporting proxy
  scheduling::SlotDemand demand;
  bool wants_reply = false;  ///< the other owner is to report its demand, too
  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, backend, owner, demand, wants_reply);
  }
};

/// The indexes of the variant's alternatives are part of the wire format: append new ones only.
struct ForwardRequest {
  std::uint64_t correlation = 0;
  std::variant<ForwardRun, ForwardInTransaction, ForwardEnd, ForwardTokens, ForwardDemand> body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation, body);
  }
};

struct ForwardAnswer {
  std::uint64_t correlation = 0;
  Answer answer;
  std::uint64_t pin = 0;  ///< the transaction that was opened; 0: none
  bool at_primary = false;
  bool may_try_another = false;  ///< not run, for a reason specific to the answering proxy
  bool nothing_run = false;      ///< no backend can have run the statement, in any attempt
  limits::Grant grant;           ///< the answer to ForwardTokens
  /// The group that ran the statement, if it is another one than the forwarding proxy's route leads to.
  GroupName other_group;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation, answer, pin, at_primary, may_try_another);
    wire::since(archive, wire::kTenantsFormat, nothing_run, false);
    wire::since(archive, wire::kTenantsFormat, grant, limits::Grant());
    wire::since(archive, wire::kEvidenceFormat, other_group, GroupName());
  }
};

}  // namespace cairnhollow::registered::proxy

// Commands of the registered fleet's replicated state machine.
#pragma once

#include <cereal/types/variant.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "registered/registry/departed_members.h"
#include "registered/registry/model.h"
#include "registered/registry/unsettled_promotions.h"

namespace cairnhollow::registered::registry {

/// Takes effect only if its version is higher than the current one.
struct ReplaceDocument {
  ConfigurationDocument document;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(document);
  }
};

struct RegisterBackend {
  BackendEntry entry;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(entry);
  }
};

struct DeregisterBackend {
  BackendName name;
  std::uint64_t start_time_ms = 0;  ///< start time of the incarnation that ends; 0: the registered one
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name);
    wire::since(archive, wire::kPlacementFormat, start_time_ms, std::uint64_t{0});
  }
};

/// Committed before a proxy's first lease, so that the next leader knows which proxies may hold one.
struct AdmitProxy {
  AdmittedProxy proxy;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(proxy);
  }
};

/// Committed once all leases of the proxy have expired.
struct ForgetProxy {
  NodeName node;
  std::uint64_t incarnation = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation);
  }
};

/// Closes the group: the primary of this epoch must no longer be used.
struct CloseGroup {
  GroupName group;
  std::uint64_t epoch = 0;  ///< epoch seen by the sender; without effect if the current epoch differs
  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, epoch);
  }
};

/// Opens the group with `primary` leading `term`. Follows a close, or is the first command of a group.
/// Without effect while an unsettled promotion attempt of the group names another backend.
struct OpenGroup {
  GroupName group;
  std::uint64_t epoch = 0;  ///< epoch seen by the sender; without effect if the current epoch differs
  std::uint64_t term = 0;
  BackendName primary;
  std::uint64_t primary_start_time_ms = 0;  ///< start time of the primary's incarnation; 0: unknown
  std::optional<TermStart> start{};         ///< empty: unknown
  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, epoch, term, primary);
    wire::since(archive, wire::kPlacementFormat, primary_start_time_ms, std::uint64_t{0});
    wire::since(archive, wire::kEvidenceFormat, start, std::optional<TermStart>());
  }
};

/// Stops all traffic to the zone's backends.
struct BeginEvacuation {
  ZoneName zone;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone);
  }
};

/// Permits traffic to the zone's backends again.
struct EndEvacuation {
  ZoneName zone;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone);
  }
};

/// A remaining member is known to hold what these departed members of the group held.
struct SettleDeparted {
  GroupName group;
  std::vector<DepartedMember> departed;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, departed);
  }
};

/// Committed before a promotion is requested. Takes effect only if the group is in the attempt's epoch, is
/// closed or led by the attempt's backend, and UnsettledPromotions::begin() accepts the attempt.
struct BeginPromotion {
  PromotionAttempt attempt;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt);
  }
};

/// These attempts, of any group, cannot take effect any more.
struct SettlePromotions {
  std::vector<PromotionAttempt> attempts;
  /// The platform answered each of them, and so has handled what it had received before.
  bool answered = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempts, answered);
  }
};

/// The connections of these attempts, of any group, were reset.
struct WithdrawPromotions {
  std::vector<PromotionAttempt> attempts;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempts);
  }
};

/// The attempts that earlier processes of `holder` made in terms up to `last_fencing` are withdrawn: the end
/// of a process resets its connections. The limit keeps a command that is delivered late, from a process
/// that has ended itself, from withdrawing attempts of a later process.
struct WithdrawEarlierPromotions {
  NodeName holder;
  std::uint64_t process = 0;       ///< the holder's present process; never 0
  std::uint64_t last_fencing = 0;  ///< the consensus term recovered by that process
  template <class Archive>
  void serialize(Archive& archive) {
    archive(holder, last_fencing);
    // Every process has an identity, so none is written in a format that earlier builds read.
    wire::since(archive, wire::kPromotionsFormat, process, std::uint64_t{0});
  }
};

/// The index of each alternative is part of the log format; append new alternatives at the end.
using SingleCommand =
    std::variant<ReplaceDocument, RegisterBackend, DeregisterBackend, AdmitProxy, ForgetProxy, CloseGroup,
                 OpenGroup, BeginEvacuation, EndEvacuation, SettleDeparted, BeginPromotion, SettlePromotions,
                 WithdrawPromotions, WithdrawEarlierPromotions>;

/// Commands that are applied in order as one change of the state.
struct CommandBatch {
  std::vector<SingleCommand> commands;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(commands);
  }
};

/// The index of each alternative is part of the log format; append new alternatives at the end.
using Command =
    std::variant<ReplaceDocument, RegisterBackend, DeregisterBackend, AdmitProxy, ForgetProxy, CloseGroup,
                 OpenGroup, CommandBatch, BeginEvacuation, EndEvacuation, SettleDeparted, BeginPromotion,
                 SettlePromotions, WithdrawPromotions, WithdrawEarlierPromotions>;

/// A log entry.
struct LoggedCommand {
  Command command;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(command);
  }
};

}  // namespace cairnhollow::registered::registry

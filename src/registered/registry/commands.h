// Commands of the registered fleet's replicated state machine.
#pragma once

#include <cereal/types/variant.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "registered/registry/model.h"

namespace cairnhollow::registered::registry {

/// Holds when its version is above the one held.
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
  std::uint64_t born_ms = 0;  ///< of the incarnation that ends; 0: the one that is held
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name);
    wire::since(archive, wire::kPlacementFormat, born_ms, std::uint64_t{0});
  }
};

/// Before a proxy's first lease, so that the next leader knows who may hold one.
struct AdmitProxy {
  AdmittedProxy proxy;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(proxy);
  }
};

/// Once the proxy's leases have surely run out.
struct ForgetProxy {
  NodeName node;
  std::uint64_t incarnation = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation);
  }
};

/// The primary of this epoch is given up.
struct CloseGroup {
  GroupName group;
  std::uint64_t epoch = 0;  ///< that the sender saw; another one: no effect
  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, epoch);
  }
};

/// `primary` leads `term`. Follows a close, or is the first of a group.
struct OpenGroup {
  GroupName group;
  std::uint64_t epoch = 0;  ///< that the sender saw; another one: no effect
  std::uint64_t term = 0;
  BackendName primary;
  std::uint64_t primary_born_ms = 0;  ///< which incarnation of it; 0: not known
  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, epoch, term, primary);
    wire::since(archive, wire::kPlacementFormat, primary_born_ms, std::uint64_t{0});
  }
};

/// Nothing more is to be sent to the zone's backends.
struct BeginEvacuation {
  ZoneName zone;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone);
  }
};

/// The zone's backends may be used again.
struct EndEvacuation {
  ZoneName zone;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone);
  }
};

/// The alternatives' places are part of the log's format: new ones go last.
using SingleCommand = std::variant<ReplaceDocument, RegisterBackend, DeregisterBackend, AdmitProxy,
                                   ForgetProxy, CloseGroup, OpenGroup, BeginEvacuation, EndEvacuation>;

/// Commands that take effect one after the other, as one change of the state.
struct CommandBatch {
  std::vector<SingleCommand> commands;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(commands);
  }
};

/// The alternatives' places are part of the log's format: new ones go last.
using Command = std::variant<ReplaceDocument, RegisterBackend, DeregisterBackend, AdmitProxy, ForgetProxy,
                             CloseGroup, OpenGroup, CommandBatch, BeginEvacuation, EndEvacuation>;

/// One command as it stands in the log.
struct LoggedCommand {
  Command command;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(command);
  }
};

}  // namespace cairnhollow::registered::registry

// Commands of the registered fleet's replicated state machine.
#pragma once

#include <cereal/types/variant.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "registry/model.h"

namespace cairnhollow::registry {

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
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name);
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
  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, epoch, term, primary);
  }
};

using SingleCommand = std::variant<ReplaceDocument, RegisterBackend, DeregisterBackend, AdmitProxy,
                                   ForgetProxy, CloseGroup, OpenGroup>;

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
                             CloseGroup, OpenGroup, CommandBatch>;

/// One command as it stands in the log.
struct LoggedCommand {
  Command command;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(command);
  }
};

}  // namespace cairnhollow::registry

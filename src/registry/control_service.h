// What a control node of a registered fleet does for operators and backends, independent of how they speak.
#pragma once

#include <optional>
#include <string>

#include "base/reason.h"
#include "registry/model.h"
#include "runtime/awaitable.h"

namespace cairnhollow::registry {

class ControlService {
 public:
  virtual ~ControlService() = default;

  /// True once a document of this or a higher version is in force. kInvalidArgument: the document is invalid,
  /// whatever its version; `reason.detail` names every fault. Other codes: no clear outcome, ask again.
  virtual Awaitable<bool> replace_document(ConfigurationDocument document, Reason& reason) = 0;
  /// The newest document's text, confirmed by a quorum round that began after the call. kNotFound: there is
  /// none yet. Other codes: this node can't be certain.
  virtual Awaitable<std::optional<std::string>> read_document(Reason& reason) = 0;
  /// True once what the backend says of itself is known for good.
  virtual Awaitable<bool> register_backend(BackendEntry entry, bool says_primary, Reason& reason) = 0;
  virtual Awaitable<bool> deregister_backend(BackendName name, Reason& reason) = 0;
};

/// Orders that only the leader gives, one at a time in the whole fleet.
struct PromotionOrder {
  GroupName group;
  BackendName backend;
  NodeName holder;            ///< of the duty
  std::uint64_t fencing = 0;  ///< grows whenever the holder changes
};

/// Makes a replica the primary of its group's next term.
class PromotionCaller {
 public:
  virtual ~PromotionCaller() = default;
  /// True when the order was taken. kConflict: the backend does not run. Other codes: it may have been taken.
  virtual Awaitable<bool> promote(PromotionOrder order, TimePoint deadline, Reason& reason) = 0;
};

}  // namespace cairnhollow::registry

// What a control node of a registered fleet does for operators and backends, independent of how they speak.
#pragma once

#include <optional>
#include <string>

#include "base/reason.h"
#include "registered/registry/model.h"
#include "registered/registry/registration_fault.h"
#include "runtime/awaitable.h"

namespace cairnhollow::registered::registry {

/// What a backend is told when its registration is taken.
struct Registration {
  /// Where it is to say the same again, until that fails; empty: anywhere.
  std::optional<Endpoint> again_at;
};

class ControlService {
 public:
  virtual ~ControlService() = default;

  /// True once a document of this or a higher version is in force. kInvalidArgument: the document is invalid,
  /// whatever its version; `reason.detail` names every fault. Other codes: no clear outcome, ask again.
  virtual Awaitable<bool> replace_document(ConfigurationDocument document, Reason& reason) = 0;
  /// The newest document's text, confirmed by a quorum round that began after the call. kNotFound: there is
  /// none yet. Other codes: this node can't be certain.
  virtual Awaitable<std::optional<std::string>> read_document(Reason& reason) = 0;
  /// Answers once what the backend says of itself is known for good. kNotFound: the newest document does not
  /// name its group. kConflict: another backend answers at its address. Other codes: no clear outcome, ask
  /// again.
  virtual Awaitable<std::optional<Registration>> register_backend(BackendEntry entry, Reason& reason) = 0;
  virtual Awaitable<bool> deregister_backend(BackendName name, Reason& reason) = 0;
  /// A registration could not be read: to be counted and logged.
  virtual void record_refused(const RefusedRegistration& /*refused*/) {}
  /// True once it is durable that nothing more is to be sent to the zone's backends, as far as no later order
  /// ends it. kNotFound: no such zone. Other codes: no clear outcome, ask again. An order that holds already
  /// is confirmed by a quorum round that began after the call.
  virtual Awaitable<bool> begin_evacuation(ZoneName zone, Reason& reason) = 0;
  /// The same for the end: the zone's backends may be used again.
  virtual Awaitable<bool> end_evacuation(ZoneName zone, Reason& reason) = 0;
};

/// What a proxy does for backends that say again what the fleet knows: so that their number times their
/// heartbeats falls on the proxies, whose number grows as theirs, and not on a handful of control nodes.
class RegistrationRelay {
 public:
  virtual ~RegistrationRelay() = default;
  /// Whether every control node knows this already. Registrations that are not known go to control.
  [[nodiscard]] virtual bool knows(const BackendEntry& entry) const = 0;
  /// Where control takes registrations; empty while no control node is followed.
  [[nodiscard]] virtual std::optional<Endpoint> control_endpoint() const = 0;
  /// A registration could not be read: to be counted and logged.
  virtual void record_refused(const RefusedRegistration& /*refused*/) const {}
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
  /// True when the order was taken. kConflict: the backend does not run. kOverloaded: not taken, too many
  /// were given. Other codes: it may have been taken.
  virtual Awaitable<bool> promote(PromotionOrder order, TimePoint deadline, Reason& reason) = 0;
};

}  // namespace cairnhollow::registered::registry

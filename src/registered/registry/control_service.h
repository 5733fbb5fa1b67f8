// Transport-independent interfaces that a registered fleet offers to operators and backends, and the
// promotion calls it makes.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/reason.h"
#include "registered/registry/model.h"
#include "registered/registry/registration_fault.h"
#include "runtime/awaitable.h"

namespace cairnhollow::registered::registry {

/// Result of an accepted registration.
struct Registration {
  /// Endpoint for further heartbeats, until it fails; std::nullopt: any control node.
  std::optional<Endpoint> heartbeat_endpoint;
};

class ControlService {
 public:
  virtual ~ControlService() = default;

  /// Returns true once a document of this or a higher version is in force. Fails with kInvalidArgument if the
  /// document is invalid, whatever its version; `reason.detail` then names every fault. With any other code
  /// the outcome is unknown and the caller should retry.
  virtual Awaitable<bool> replace_document(ConfigurationDocument document, Reason& reason) = 0;
  /// Returns the text of the newest document, confirmed by a quorum round that started after the call. Fails
  /// with kNotFound if there is none; with any other code this node cannot determine it.
  virtual Awaitable<std::optional<std::string>> read_document(Reason& reason) = 0;
  /// Returns once the registration is durable. Fails with kNotFound if the newest document does not contain
  /// the backend's group, and with kConflict if another backend answers at its address. With any other code
  /// the outcome is unknown and the caller should retry.
  virtual Awaitable<std::optional<Registration>> register_backend(BackendEntry entry, Reason& reason) = 0;
  virtual Awaitable<bool> deregister_backend(BackendName name, Reason& reason) = 0;
  /// Counts and logs a registration that could not be parsed.
  virtual void record_refused(const RefusedRegistration& /*refused*/) {}
  /// Returns true once it is durable that nothing more is sent to the zone's backends, until a later order
  /// ends the evacuation. Fails with kNotFound if the zone is unknown; with any other code the outcome is
  /// unknown and the caller should retry. If the evacuation is already in effect, it is confirmed by a quorum
  /// round that started after the call.
  virtual Awaitable<bool> begin_evacuation(ZoneName zone, Reason& reason) = 0;
  /// Ends an evacuation, so that the zone's backends may be used again. Otherwise like begin_evacuation().
  virtual Awaitable<bool> end_evacuation(ZoneName zone, Reason& reason) = 0;
};

/// Answers repeated heartbeats on proxies, so that this load is spread over the proxies, whose number grows
/// with the number of backends, instead of over a few control nodes.
class RegistrationRelay {
 public:
  virtual ~RegistrationRelay() = default;
  /// Returns true if every control node already holds this registration. Unknown registrations go to control.
  [[nodiscard]] virtual bool knows(const BackendEntry& entry) const = 0;
  /// Endpoint for registrations on a control node; std::nullopt while no control node is followed.
  [[nodiscard]] virtual std::optional<Endpoint> control_endpoint() const = 0;
  /// Counts and logs a registration that could not be parsed.
  virtual void record_refused(const RefusedRegistration& /*refused*/) const {}
};

/// A promotion order. Issued only by the leader; orders for several groups may be in progress at once.
struct PromotionOrder {
  GroupName group;
  BackendName backend;
  NodeName holder;            ///< holder of the promotion duty
  std::uint64_t fencing = 0;  ///< fencing token; grows whenever the holder changes
};

/// Outcome of a promotion request.
enum class PromotionOutcome : std::uint8_t {
  kAccepted,  ///< the platform accepted it
  kRejected,  ///< the platform rejected it; reason code kConflict (the backend is not running) or kOverloaded
              ///< (rate limit)
  kNotSent,   ///< nothing was sent
  kUnknown,   ///< it may have been accepted, now or later: no answer, or an answer that does not tell
};

/// A connection to the platform on which one promotion can be requested. However it ends, it is reset, so
/// that what the network holds up is not delivered later.
class PromotionChannel {
 public:
  virtual ~PromotionChannel() = default;
  /// Requests the promotion, at most once per channel. Waits for the answer until `deadline`;
  /// TimePoint::max() waits until the connection ends. Sets `reason` unless the outcome is kAccepted. The
  /// connection has ended when the request returns.
  virtual Awaitable<PromotionOutcome> request(PromotionOrder order, TimePoint deadline, Reason& reason) = 0;
  /// Resets the connection. A request in progress ends with kUnknown, or with kNotSent if nothing of it was
  /// written.
  virtual void reset() = 0;
  [[nodiscard]] virtual bool is_open() const = 0;
};

/// Opens connections for promoting a replica to primary of its group's next term.
class PromotionCaller {
 public:
  virtual ~PromotionCaller() = default;
  /// Returns null on failure; nothing is requested then.
  virtual Awaitable<std::shared_ptr<PromotionChannel>> connect(TimePoint deadline, Reason& reason) = 0;
};

}  // namespace cairnhollow::registered::registry

// The first frame on every connection to a control node, and its answer: protocol version negotiation.
#pragma once

#include <optional>
#include <string>

#include "base/types.h"
#include "wire/codec.h"

namespace cairnhollow::wire {

/// The protocol that the connecting side speaks after its Hello.
enum class Conversation : std::uint8_t {
  kConsensus = 1,          ///< control node to control node: consensus messages
  kFollow = 2,             ///< proxy or relay to control node: FollowRequest / FollowAnswer
  kNews = 3,               ///< control node to control node: GroupState announcements
  kServing = 4,            ///< proxy to control node of a registered fleet: ProxyReport / ProxyUpdate
  kLeader = 5,             ///< control node to leader of a registered fleet: ControlCall / ControlAnswer
  kForwarding = 6,         ///< proxy to proxy of a registered fleet: ForwardRequest / ForwardAnswer
  kServingCompressed = 7,  ///< as kServing, with the deltas of ProxyUpdate compressed
  /// Owner of a backend to another one: ForwardRequest / ForwardAnswer with ForwardDemand only. Apart from
  /// kForwarding, since an earlier build closes a connection on a request that it cannot read.
  kBackendRoom = 8,
  /// As kForwarding, with the document version in each statement. Apart from kForwarding, since an earlier
  /// build closes a connection on a statement that it cannot read.
  kForwardingVersioned = 9,
};

/// Used by builds whose Hello offers a single version and gets no answer. Messages use unmarked formats.
inline constexpr std::uint32_t kFirstProtocolVersion = 1;
/// The Hello offers a version range and is answered. Messages may use marked formats.
inline constexpr std::uint32_t kProtocolVersion = 2;

/// The protocol versions that one side supports, inclusive at both ends.
struct ProtocolRange {
  std::uint32_t lowest = kFirstProtocolVersion;
  std::uint32_t highest = kProtocolVersion;
  bool operator==(const ProtocolRange&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(lowest, highest);
  }
};

struct Hello {
  /// The lowest version supported. The only version in an unmarked Hello.
  std::uint32_t protocol_version = kFirstProtocolVersion;
  Conversation conversation = Conversation::kFollow;
  NodeName node;
  ZoneName zone;
  std::uint32_t highest_version = kProtocolVersion;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(protocol_version, conversation, node, zone);
    since(archive, kMarkedFormat, highest_version, protocol_version);
  }
  [[nodiscard]] ProtocolRange versions() const { return {protocol_version, highest_version}; }
};

/// The server's first frame after a Hello that offers a version range, and after every Hello that it refuses.
struct HelloAnswer {
  ProtocolRange supported;    ///< by the server
  std::uint32_t version = 0;  ///< the highest version supported by both; 0 if refused
  Reason refusal;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(supported, version, refusal);
  }
};

/// Returns the server's answer to a Hello from `peer` that offers these versions. A refusal is kUnsupported
/// at step "hello" and names both ranges.
HelloAnswer answer_hello(const ProtocolRange& offered, const std::string& peer);

/// Encodes an answer as a frame. No frame of a conversation starts with the same bytes.
std::string encode_hello_answer(const HelloAnswer& answer);
bool is_hello_answer(const std::string& frame);
/// Fails as decode() does.
std::optional<HelloAnswer> decode_hello_answer(const std::string& frame, Reason& reason);

/// The client side of version negotiation, over all its connections to one kind of server. Control nodes of
/// earlier builds close the connection, without an answer, on a Hello that offers a range. After a connection
/// without any frame the next Hello is therefore in the earlier form, and the one after it offers the range
/// again.
class ClientHandshake {
 public:
  /// Returns the first frame to send on the next connection.
  std::string next_frame(const Hello& hello);

  enum class Outcome { kConversation, kAccepted, kRefused };
  /// Processes a received frame. kConversation: the frame is not an answer to the Hello. kRefused: `reason`
  /// is the server's and names `peer`; retrying is useless until one side is upgraded.
  Outcome handle_frame(const std::string& frame, const std::string& peer, Reason& reason);

 private:
  bool unanswered_ = false;  ///< the last Hello offered a range and no frame has arrived since
};

}  // namespace cairnhollow::wire

// The first frame on every connection to a control node, and the answer to it: which protocol is spoken.
#pragma once

#include <optional>
#include <string>

#include "base/types.h"
#include "wire/codec.h"

namespace cairnhollow::wire {

/// What the connecting side will speak after its Hello.
enum class Conversation : std::uint8_t {
  kConsensus = 1,          ///< control node to control node: consensus messages
  kFollow = 2,             ///< proxy or relay to control node: FollowRequest / FollowAnswer
  kNews = 3,               ///< control node to control node: GroupState announcements
  kServing = 4,            ///< proxy to control node of a registered fleet: ProxyReport / ProxyUpdate
  kLeader = 5,             ///< control node to leader of a registered fleet: ControlCall / ControlAnswer
  kForwarding = 6,         ///< proxy to proxy of a registered fleet: ForwardRequest / ForwardAnswer
  kServingCompressed = 7,  ///< as kServing, with the deltas of ProxyUpdate compressed
};

/// Of builds whose Hello says no range and gets no answer; messages are in formats without a mark.
inline constexpr std::uint32_t kFirstProtocolVersion = 1;
/// Hello says a range and is answered; messages may be in formats with a mark.
inline constexpr std::uint32_t kProtocolVersion = 2;

/// The protocol versions that a side speaks, both ends included.
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
  /// The lowest version spoken. All that an unmarked Hello says.
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

/// The server's first frame to a Hello that says a range, and to every Hello that it refuses.
struct HelloAnswer {
  ProtocolRange spoken;       ///< by the server
  std::uint32_t version = 0;  ///< the highest that both speak; 0: refused
  Reason refusal;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(spoken, version, refusal);
  }
};

/// What the server of a connection from `peer` answers to a Hello with these versions. A refusal is
/// kUnsupported at step "hello" and names both ranges.
HelloAnswer answer_hello(const ProtocolRange& offered, const std::string& peer);

/// The frame of an answer; no frame of a conversation starts like it.
std::string encode_hello_answer(const HelloAnswer& answer);
bool is_hello_answer(const std::string& frame);
/// Empty as decode() is.
std::optional<HelloAnswer> decode_hello_answer(const std::string& frame, Reason& reason);

/// The client's side of a Hello, over all its connections to one kind of server. Control nodes of builds
/// before the range close on a Hello with one, without a word; so after a connection that gave no frame the
/// next Hello is as those know it, and then again one with the range.
class Greeting {
 public:
  /// The first frame of the next connection.
  std::string next_frame(const Hello& hello);

  enum class Effect { kConversation, kAccepted, kRefused };
  /// Of a frame received. kConversation: the frame is not the answer to a Hello. kRefused: with the server's
  /// reason, which names `peer`; another attempt before one of the two is upgraded is in vain.
  Effect take(const std::string& frame, const std::string& peer, Reason& reason);

 private:
  bool unanswered_ = false;  ///< the last Hello said a range, and no frame has come since
};

}  // namespace cairnhollow::wire

#include "wire/hello.h"

#include <fmt/format.h>

#include <algorithm>

namespace cairnhollow::wire {

namespace {

/// Distinct from a format mark and from the first byte of an unmarked message.
constexpr std::string_view kAnswerMark("\3CHA", 4);

}  // namespace

HelloAnswer answer_hello(const ProtocolRange& offered, const std::string& peer) {
  HelloAnswer answer;
  const std::uint32_t version = std::min(offered.highest, answer.supported.highest);
  if (version >= std::max(offered.lowest, answer.supported.lowest)) {
    answer.version = version;
    return answer;
  }
  answer.refusal = Reason{
      ReasonCode::kUnsupported, "hello", peer,
      fmt::format("{} speaks protocol versions {} to {}, and the control node {} to {}: "
                  "upgrade the older of the two",
                  peer, offered.lowest, offered.highest, answer.supported.lowest, answer.supported.highest)};
  return answer;
}

std::string encode_hello_answer(const HelloAnswer& answer) {
  return std::string(kAnswerMark) + encode(answer, kMarkedFormat);
}

bool is_hello_answer(const std::string& frame) { return frame.starts_with(kAnswerMark); }

std::string ClientHandshake::next_frame(const Hello& hello) {
  unanswered_ = !unanswered_;
  return encode(hello, unanswered_ ? kMarkedFormat : kWrittenFormat);
}

std::optional<HelloAnswer> decode_hello_answer(const std::string& frame, Reason& reason) {
  if (is_hello_answer(frame)) return decode<HelloAnswer>(frame.substr(kAnswerMark.size()), reason);
  reason = Reason{ReasonCode::kCorrupt, "decode_message", "", "the frame is not an answer to a Hello"};
  return std::nullopt;
}

ClientHandshake::Outcome ClientHandshake::handle_frame(const std::string& frame, const std::string& peer,
                                                       Reason& reason) {
  unanswered_ = false;
  if (!is_hello_answer(frame)) return Outcome::kConversation;
  Reason decode_reason;
  const auto answer = decode_hello_answer(frame, decode_reason);
  if (answer && answer->version > 0) return Outcome::kAccepted;
  reason = answer ? answer->refusal : decode_reason;
  reason.peer = peer;
  return Outcome::kRefused;
}

}  // namespace cairnhollow::wire

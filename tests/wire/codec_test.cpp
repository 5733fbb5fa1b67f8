// Message decoding rejects invalid bytes, whatever lengths they claim.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "consensus/messages.h"
#include "declared/control/news/news_messages.h"
#include "declared/follow/messages.h"
#include "wire/codec.h"

namespace cairnhollow::wire {
namespace {

struct Flagged {
  bool flag = false;
  std::string text;
  std::vector<std::string> list;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(flag, text, list);
  }
};

/// Counts constructed instances. Takes at least 24 bytes in a message.
struct Counted {
  static inline std::uint64_t made = 0;
  std::string first, second, third;

  Counted() { ++made; }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(first, second, third);
  }
};

template <class List>
struct Holder {
  List list;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(list);
  }
};

}  // namespace
}  // namespace cairnhollow::wire

namespace rc {

template <>
struct Arbitrary<cairnhollow::wire::Flagged> {
  static Gen<cairnhollow::wire::Flagged> arbitrary() {
    using cairnhollow::wire::Flagged;
    return gen::build<Flagged>(gen::set(&Flagged::flag), gen::set(&Flagged::text), gen::set(&Flagged::list));
  }
};

}  // namespace rc

namespace cairnhollow::wire {
namespace {

/// The byte-order flag that encode() writes before a message.
std::string start_of_message() { return std::string(1, '\1'); }

/// A length as the archive writes it.
std::string count(std::uint64_t value) {
  std::string bytes;
  for (int byte = 0; byte < 8; ++byte) bytes.push_back(static_cast<char>(value >> (8 * byte)));
  return bytes;
}

template <class Message>
void assert_fault(const std::string& bytes, const std::string& detail) {
  Reason reason;
  const auto message = decode<Message>(bytes, reason);
  CPPUNIT_ASSERT(!message.has_value());
  CPPUNIT_ASSERT(reason.code == ReasonCode::kCorrupt);
  CPPUNIT_ASSERT_EQUAL(std::string("decode_message"), reason.step);
  CPPUNIT_ASSERT_MESSAGE(reason.detail, reason.detail.find(detail) != std::string::npos);
}

/// Decodes `bytes`, and variants of them with changed, removed or added bytes.
template <class Message>
void assert_survives_damage(const std::string& bytes) {
  std::string damaged = bytes;
  const auto changes = *rc::gen::inRange(1, 6);
  for (int change = 0; change < changes; ++change) {
    const auto place = *rc::gen::inRange<std::size_t>(0, damaged.size() + 1);
    if (place == damaged.size()) damaged.push_back(*rc::gen::arbitrary<char>());
    damaged[place] = *rc::gen::arbitrary<char>();
  }
  damaged.resize(*rc::gen::inRange<std::size_t>(0, damaged.size() + 1));
  Reason reason;
  const auto message = decode<Message>(damaged, reason);
  RC_ASSERT(message.has_value() || reason.code == ReasonCode::kCorrupt);
}

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(messages_round_trip);
  CPPUNIT_TEST(text_longer_than_the_message_is_refused);
  CPPUNIT_TEST(list_longer_than_the_message_is_refused);
  CPPUNIT_TEST(allocates_only_elements_that_the_message_can_hold);
  CPPUNIT_TEST(lists_that_fill_the_message_are_read);
  CPPUNIT_TEST(min_encoded_sizes_are_those_of_empty_values);
  CPPUNIT_TEST(flag_that_is_neither_true_nor_false_is_refused);
  CPPUNIT_TEST(other_byte_order_is_refused);
  CPPUNIT_TEST(trailing_bytes_are_refused);
  CPPUNIT_TEST(any_bytes_decode_to_a_message_or_are_refused);
  CPPUNIT_TEST(damaged_messages_decode_to_a_message_or_are_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void messages_round_trip() {
    CPPUNIT_ASSERT(rc::check("messages round-trip", [](const Flagged& message) {
      Reason reason;
      const auto read = decode<Flagged>(encode(message), reason);
      RC_ASSERT(read.has_value());
      RC_ASSERT(read->flag == message.flag);
      RC_ASSERT(read->text == message.text);
      RC_ASSERT(read->list == message.list);
    }));
  }

  /// A frame of a few bytes must not make its reader allocate gigabytes.
  void text_longer_than_the_message_is_refused() {
    const std::string flag(1, '\0');
    for (const std::uint64_t claimed : {std::uint64_t{3}, std::uint64_t{1} << 31U, ~std::uint64_t{0}}) {
      assert_fault<Flagged>(start_of_message() + flag + count(claimed) + "ab", "more than the message holds");
    }
  }

  void list_longer_than_the_message_is_refused() {
    const std::string before = start_of_message() + std::string(1, '\0') + count(0);
    for (const std::uint64_t claimed : {std::uint64_t{9}, std::uint64_t{1} << 25U, ~std::uint64_t{0}}) {
      assert_fault<Flagged>(before + count(claimed) + count(0), "more than the message holds");
    }
  }

  /// A one-megabyte message that claims a million elements must not allocate them.
  void allocates_only_elements_that_the_message_can_hold() {
    const std::uint64_t claimed = 1'000'000;
    const std::string bytes = start_of_message() + count(claimed) + std::string(claimed, '\0');
    Counted::made = 0;
    assert_fault<Holder<std::vector<Counted>>>(bytes, "more than the message holds");
    assert_fault<Holder<std::deque<Counted>>>(bytes, "more than the message holds");
    // One instance is made to determine the least size.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Counted::made), Counted::made <= 1);
  }

  void lists_that_fill_the_message_are_read() {
    Reason reason;
    const auto read = decode<Holder<std::vector<Counted>>>(
        start_of_message() + count(100) + std::string(std::size_t{100} * 24, '\0'), reason);
    CPPUNIT_ASSERT_MESSAGE(reason.to_string(), read);
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, read->list.size());
    Holder<std::vector<consensus::PeerRequest>> requests;
    requests.list.resize(3);
    requests.list.back().body = consensus::TimeoutNowRequest{};
    CPPUNIT_ASSERT(decode<Holder<std::vector<consensus::PeerRequest>>>(encode(requests), reason));
  }

  void min_encoded_sizes_are_those_of_empty_values() {
    const std::size_t mark = start_of_message().size();
    CPPUNIT_ASSERT_EQUAL(encode(consensus::LogEntry{}).size() - mark,
                         min_encoded_size<consensus::LogEntry>());
    CPPUNIT_ASSERT_EQUAL(encode(declared::config::StoredObject{}).size() - mark,
                         min_encoded_size<declared::config::StoredObject>());
    consensus::PeerRequest request;
    request.body = consensus::TimeoutNowRequest{};
    CPPUNIT_ASSERT_EQUAL(encode(request).size() - mark, min_encoded_size<consensus::PeerRequest>());
    // A field that an earlier format lacks is not counted.
    CPPUNIT_ASSERT_EQUAL(encode(declared::config::RouteSpec{}, kEarliestFormat).size() - mark,
                         min_encoded_size<declared::config::RouteSpec>());
  }

  void flag_that_is_neither_true_nor_false_is_refused() {
    assert_fault<Flagged>(start_of_message() + "\2" + count(0) + count(0), "neither true nor false");
  }

  void other_byte_order_is_refused() { assert_fault<Flagged>(std::string(20, '\0'), "byte order"); }

  void trailing_bytes_are_refused() {
    assert_fault<Flagged>(encode(Flagged{}) + "x", "bytes left over after the end of the message");
  }

  void any_bytes_decode_to_a_message_or_are_refused() {
    CPPUNIT_ASSERT(rc::check("any bytes decode to a message or are refused", [](const std::string& noise) {
      const std::string bytes = start_of_message() + noise;
      Reason reason;
      const bool good = decode<declared::follow::FollowAnswer>(bytes, reason) ||
                        decode<declared::follow::FollowRequest>(bytes, reason) ||
                        decode<consensus::PeerRequest>(bytes, reason) ||
                        decode<consensus::PeerAnswer>(bytes, reason) ||
                        decode<declared::control::PeerStatusMessage>(bytes, reason);
      RC_ASSERT(good || reason.code == ReasonCode::kCorrupt);
    }));
  }

  void damaged_messages_decode_to_a_message_or_are_refused() {
    consensus::AppendRequest append;
    append.entries.resize(2);
    append.entries.front().payload = "entry";
    consensus::PeerRequest request;
    request.body = append;
    declared::control::PeerStatusMessage news;
    news.groups.resize(2);
    news.known_nodes.resize(2);
    const std::string request_bytes = encode(request);
    const std::string news_bytes = encode(news);
    CPPUNIT_ASSERT(rc::check("damaged messages decode to a message or are refused", [&] {
      assert_survives_damage<consensus::PeerRequest>(request_bytes);
      assert_survives_damage<declared::control::PeerStatusMessage>(news_bytes);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace
}  // namespace cairnhollow::wire

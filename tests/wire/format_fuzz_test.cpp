// Damaged bytes of every message and record decode to a value or a typed refusal without crashing. Altered
// bytes with a checksum are never accepted.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

#include "tests/declared/config/generators.h"
#include "tests/wire/format_samples.h"
#include "wire/codec.h"
#include "wire/hello.h"

namespace cairnhollow::wire {
namespace {

using tests::FormatSample;

bool has_checksum(const std::string& name) {
  static const std::set<std::string> names{"state_machine_snapshot", "snapshot_file", "record_frame",
                                           "database_record_frame"};
  return names.contains(name);
}

/// A damaged record frame decodes to std::nullopt.
bool is_frame(const std::string& name) { return name.ends_with("record_frame"); }

void check_damaged(const FormatSample& sample, const std::string& damaged) {
  Reason reason;
  const auto read = sample.round_trip(damaged, reason);
  if (!read) {
    const bool typed = reason.code == ReasonCode::kCorrupt || reason.code == ReasonCode::kUnsupported;
    CPPUNIT_ASSERT_MESSAGE(sample.name + ": " + reason.to_string(), typed || is_frame(sample.name));
  } else if (has_checksum(sample.name)) {
    CPPUNIT_ASSERT_MESSAGE(sample.name, *read == sample.bytes && damaged == sample.bytes);
  }
}

std::string any_damage(const std::vector<FormatSample>& samples, const std::string& bytes) {
  std::string damaged = bytes;
  const auto place = [&] { return *rc::gen::inRange<std::size_t>(0, damaged.size() + 1); };
  for (auto steps = *rc::gen::inRange(1, 5); steps > 0; --steps) {
    const auto at = place();
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        damaged.resize(at);
        break;
      case 1:
        damaged.insert(at, *rc::gen::arbitrary<std::string>());
        break;
      case 2: {
        const auto& other = samples[*rc::gen::inRange<std::size_t>(0, samples.size())].bytes;
        damaged = damaged.substr(0, at) + other.substr(*rc::gen::inRange<std::size_t>(0, other.size() + 1));
        break;
      }
      default:
        if (at < damaged.size()) damaged[at] = *rc::gen::arbitrary<char>();
    }
  }
  return damaged;
}

class FormatFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FormatFuzzTest);
  CPPUNIT_TEST(every_truncation_is_refused);
  CPPUNIT_TEST(every_flipped_bit_decodes_or_is_refused);
  CPPUNIT_TEST(damaged_bytes_decode_or_are_refused);
  CPPUNIT_TEST(any_hello_frame_has_a_defined_outcome);
  CPPUNIT_TEST(earliest_format_requests_round_trip);
  CPPUNIT_TEST_SUITE_END();

 public:
  void every_truncation_is_refused() {
    for (const auto& sample : tests::format_samples()) {
      if (sample.name == "forwarded_resolve") continue;  // text, read by the HTTP and JSON parsers
      for (std::size_t size = 0; size < sample.bytes.size(); ++size) {
        Reason reason;
        const bool accepted = sample.round_trip(sample.bytes.substr(0, size), reason).has_value();
        CPPUNIT_ASSERT_MESSAGE(sample.name + " cut at " + std::to_string(size), !accepted);
      }
    }
  }

  void every_flipped_bit_decodes_or_is_refused() {
    for (const auto& sample : tests::format_samples()) {
      if (sample.name == "forwarded_resolve") continue;
      for (std::size_t bit = 0; bit < sample.bytes.size() * 8; ++bit) {
        std::string damaged = sample.bytes;
        damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
        check_damaged(sample, damaged);
      }
    }
  }

  void damaged_bytes_decode_or_are_refused() {
    const auto samples = tests::format_samples();
    CPPUNIT_ASSERT(rc::check("damaged bytes decode to a value or are refused", [&] {
      for (const auto& sample : samples) {
        if (sample.name != "forwarded_resolve") check_damaged(sample, any_damage(samples, sample.bytes));
      }
    }));
  }

  void any_hello_frame_has_a_defined_outcome() {
    Hello hello;
    hello.node = NodeName("proxy-1");
    const std::string marked = encode(hello, kMarkedFormat);
    const std::string answer = encode_hello_answer(answer_hello(hello.versions(), "peer"));
    const std::vector<FormatSample> samples{{"hello", marked, nullptr}, {"answer", answer, nullptr}};
    CPPUNIT_ASSERT(rc::check("any Hello frame has a defined effect", [&] {
      Reason reason;
      const bool read = decode<Hello>(any_damage(samples, marked), reason).has_value();
      RC_ASSERT(read || reason.failed());
      ClientHandshake handshake;
      Reason refusal;
      const auto outcome = handshake.handle_frame(any_damage(samples, answer), "peer", refusal);
      RC_ASSERT(outcome != ClientHandshake::Outcome::kRefused || refusal.peer == "peer");
    }));
  }

  /// The two unmarked formats are distinguished by which one matches the bytes.
  void earliest_format_requests_round_trip() {
    CPPUNIT_ASSERT(rc::check("requests in the earliest format round-trip", [] {
      declared::config::ChangeRequest request{"id", *rc::gen::arbitrary<std::uint64_t>(), "alice",
                                              *declared::config::any_changes()};
      for (auto& change : request.changes) {
        auto* route = std::get_if<declared::config::RouteSpec>(&change.object.spec);
        if (route != nullptr)
          route->replica_wait_milliseconds = declared::config::kDefaultReplicaWaitMilliseconds;
      }
      Reason reason;
      const auto read = decode<declared::config::ChangeRequest>(encode(request, kEarliestFormat), reason);
      RC_ASSERT(read.has_value());
      RC_ASSERT(encode(*read) == encode(request));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormatFuzzTest);

}  // namespace
}  // namespace cairnhollow::wire

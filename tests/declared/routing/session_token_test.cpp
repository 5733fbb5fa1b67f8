// Tests session tokens: anything but a complete token of this version is rejected rather than misread.
#include "declared/routing/session_token.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <xxhash.h>

#include "declared/routing/base64url.h"

namespace cairnhollow::declared::routing {
namespace {

/// Checks a property with a fixed seed; rapidcheck prints the counterexample.
template <class Property>
void check_property(const std::string& name, Property property) {
  rc::detail::TestParams parameters;
  parameters.seed = 20240611;
  parameters.maxSuccess = 300;
  rc::detail::TestMetadata metadata;
  metadata.id = name;
  const auto result = rc::detail::checkTestable(property, metadata, parameters);
  rc::detail::printResultMessage(result, std::cerr);
  CPPUNIT_ASSERT_MESSAGE(name, result.template is<rc::detail::SuccessResult>());
}

SessionToken some_token() {
  SessionToken token;
  token.observe(GroupName("records-1"), Position{3, 1000});
  token.observe(GroupName("records-2"), Position{1, 7});
  return token;
}

constexpr std::size_t kChecksumLength = 8;

/// Returns the token's bytes without the checksum.
std::string content_of(const SessionToken& token) {
  const auto bytes = decode_base64url(encode_session_token(token));
  CPPUNIT_ASSERT(bytes && bytes->size() > kChecksumLength);
  return bytes->substr(0, bytes->size() - kChecksumLength);
}

/// Returns the text of a token with this content and a matching checksum.
std::string encode_with_checksum(const std::string& content) {
  XXH64_canonical_t checksum;
  XXH64_canonicalFromHash(&checksum, XXH64(content.data(), content.size(), 0));
  return encode_base64url(content +
                          std::string(reinterpret_cast<const char*>(checksum.digest), kChecksumLength));
}

void assert_rejected(const std::string& text) {
  Reason reason;
  const auto token = decode_session_token(text, reason);
  CPPUNIT_ASSERT_MESSAGE(text, !token.has_value());
  CPPUNIT_ASSERT(reason.code == ReasonCode::kCorrupt);
}

class SessionTokenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTokenTest);
  CPPUNIT_TEST(test_observe_never_lowers_a_position);
  CPPUNIT_TEST(test_unseen_group_requires_the_zero_position);
  CPPUNIT_TEST(test_dropped_group_has_no_known_requirement);
  CPPUNIT_TEST(test_decodes_what_it_encodes);
  CPPUNIT_TEST(test_malformed_tokens_are_rejected);
  CPPUNIT_TEST(test_any_changed_character_is_rejected);
  CPPUNIT_TEST(test_other_version_is_rejected);
  CPPUNIT_TEST(test_declared_lengths_beyond_the_token_are_rejected);
  CPPUNIT_TEST(test_random_bytes_are_rejected);
  CPPUNIT_TEST(test_number_of_groups_is_bounded);
  CPPUNIT_TEST(test_group_keeps_its_position_when_its_domain_is_named);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// During a change of settings some proxies name the domain, some do not, and some use another name for it.
  void test_group_keeps_its_position_when_its_domain_is_named() {
    const GroupName unqualified("records");
    const GroupName north("north/records");
    const GroupName south("south/records");
    SessionToken before;
    before.observe(unqualified, Position{1, 5});
    CPPUNIT_ASSERT(before.required(north) == (Position{1, 5}));
    SessionToken after;
    after.observe(north, Position{1, 6});
    CPPUNIT_ASSERT(after.required(unqualified) == (Position{1, 6}));
    CPPUNIT_ASSERT(!after.required(south).has_value());
    SessionToken both = after;
    both.observe(unqualified, Position{1, 7});
    CPPUNIT_ASSERT(both.required(north) == (Position{1, 7}));
    // Two groups of the same name: the lower position may belong to the other group under a former domain
    // name.
    both.observe(south, Position{1, 4});
    CPPUNIT_ASSERT(both.required(north) == (Position{1, 7}));
    CPPUNIT_ASSERT(after.required(GroupName("north/other")) == Position{});
  }

  void test_observe_never_lowers_a_position() {
    auto token = some_token();
    token.observe(GroupName("records-1"), Position{2, 5000});
    CPPUNIT_ASSERT(*token.required(GroupName("records-1")) == (Position{3, 1000}));
    token.observe(GroupName("records-1"), Position{4, 1});
    CPPUNIT_ASSERT(*token.required(GroupName("records-1")) == (Position{4, 1}));
  }

  void test_unseen_group_requires_the_zero_position() {
    CPPUNIT_ASSERT(some_token().required(GroupName("records-3")) == Position{});
  }

  void test_dropped_group_has_no_known_requirement() {
    SessionToken token;
    for (std::size_t index = 0; index <= kMaximumTokenGroups; ++index) {
      token.observe(GroupName("group-" + std::to_string(index)), Position{1, index});
    }
    CPPUNIT_ASSERT(!token.required(GroupName("group-0")).has_value());
    CPPUNIT_ASSERT(!token.required(GroupName("another")).has_value());
    Reason reason;
    const auto decoded = decode_session_token(encode_session_token(token), reason);
    CPPUNIT_ASSERT(decoded && !decoded->complete);
  }

  void test_decodes_what_it_encodes() {
    check_property("a token is decoded as it was encoded",
                   [](const std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>& positions) {
                     SessionToken token;
                     for (const auto& [group, position] : positions) {
                       if (token.positions.size() == kMaximumTokenGroups || group.size() > 40) continue;
                       token.observe(GroupName(group), Position{position.first, position.second});
                     }
                     Reason reason;
                     const auto decoded = decode_session_token(encode_session_token(token), reason);
                     RC_ASSERT(decoded.has_value());
                     RC_ASSERT(decoded->positions == token.positions);
                   });
  }

  void test_malformed_tokens_are_rejected() {
    assert_rejected("");
    assert_rejected("A");
    assert_rejected("not a token");
    assert_rejected("AAAAAAAAAAAAAAAAAAAAAAAA");
    assert_rejected(std::string(kMaximumTokenLength + 1, 'A'));
    const auto encoded = encode_session_token(some_token());
    assert_rejected(encoded + "AAAA");
    for (std::size_t length = 0; length < encoded.size(); ++length)
      assert_rejected(encoded.substr(0, length));
  }

  void test_any_changed_character_is_rejected() {
    const auto encoded = encode_session_token(some_token());
    for (std::size_t place = 0; place < encoded.size(); ++place) {
      auto changed = encoded;
      changed[place] = changed[place] == 'A' ? 'B' : 'A';
      assert_rejected(changed);
    }
  }

  void test_other_version_is_rejected() {
    auto content = content_of(some_token());
    CPPUNIT_ASSERT_EQUAL(encode_session_token(some_token()), encode_with_checksum(content));
    ++content.front();
    assert_rejected(encode_with_checksum(content));
  }

  /// Anyone can compute the checksum, so declared lengths must not be trusted beyond the token's own length.
  void test_declared_lengths_beyond_the_token_are_rejected() {
    SessionToken token;
    token.observe(GroupName("g"), Position{1, 1});
    const auto content = content_of(token);
    const auto name = content.rfind('g');
    CPPUNIT_ASSERT(name != std::string::npos);
    // The number of groups follows the version and the byte order; the length of a name precedes the name.
    // Both are eight bytes, little endian.
    for (const std::size_t length_offset : {std::size_t{2}, name - 8}) {
      auto changed = content;
      changed[length_offset + 3] = '\x40';
      Reason reason;
      CPPUNIT_ASSERT(!decode_session_token(encode_with_checksum(changed), reason).has_value());
      CPPUNIT_ASSERT_EQUAL(std::string("a declared length exceeds the token"), reason.detail);
    }
  }

  void test_random_bytes_are_rejected() {
    check_property("random bytes are rejected as a token", [](const std::string& bytes) {
      Reason reason;
      RC_ASSERT(!decode_session_token(encode_base64url(bytes), reason).has_value());
      RC_ASSERT(!decode_session_token(bytes, reason).has_value());
    });
  }

  void test_number_of_groups_is_bounded() {
    SessionToken token;
    for (std::size_t index = 0; index < 3 * kMaximumTokenGroups; ++index) {
      token.observe(GroupName("group-with-a-rather-long-name-" + std::to_string(index)), Position{1, index});
    }
    CPPUNIT_ASSERT_EQUAL(kMaximumTokenGroups, token.positions.size());
    CPPUNIT_ASSERT(encode_session_token(token).size() <= kMaximumTokenLength);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTokenTest);

}  // namespace
}  // namespace cairnhollow::declared::routing

// A first configuration that arrives slowly is awaited; if it stops arriving, another control node is tried.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/endian/conversion.hpp>

#include "declared/follow/follow_client.h"
#include "declared/follow/messages.h"
#include "tests/support/byte_peer.h"
#include "tests/support/loopback.h"
#include "wire/codec.h"

namespace cairnhollow::declared::follow {
namespace {

using std::chrono::milliseconds;
using tests::Loopback;

constexpr std::uint64_t kRevision = 7;
constexpr Duration kTimeout = milliseconds(400);
constexpr Duration kBetweenPieces = milliseconds(100);
constexpr std::size_t kPieces = 10;

/// The answer to a client's first request, prefixed with its length.
std::string first_answer() {
  config::ConfigSnapshot snapshot;
  config::Object object{"proxy-1", {}, config::ProxySpec{}};
  object.labels.entries["text"] = std::string(10000, 'x');
  snapshot.objects.push_back({object, kRevision});
  FollowUpdate update;
  update.configuration = snapshot;
  FollowAnswer answer;
  answer.nonce = 1;
  answer.revision = kRevision;
  answer.update = wire::encode(update);
  const std::string frame = wire::encode(answer);
  const std::uint32_t length = boost::endian::native_to_big(static_cast<std::uint32_t>(frame.size()));
  return std::string(reinterpret_cast<const char*>(&length), sizeof length) + frame;
}

class SlowConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowConfigurationTest);
  CPPUNIT_TEST(waits_for_a_configuration_that_keeps_arriving);
  CPPUNIT_TEST(abandons_a_configuration_that_stops_arriving);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    listener_ = std::make_unique<tests::ByteListener>(loopback_.context().get_executor());
    FollowClientSettings settings;
    settings.node = NodeName("proxy-1");
    settings.control_endpoints = {listener_->endpoint()};
    settings.follow_timeout = kTimeout;
    client_ = std::make_unique<FollowClient>(loopback_.runtime(), settings);
    client_->start();
  }
  void tearDown() override {
    client_->stop();
    listener_->close();
    loopback_.run_to_end();
  }

  void waits_for_a_configuration_that_keeps_arriving() {
    loopback_.run(answer_in_pieces(kPieces));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, client_->statistics().node_switches);
    CPPUNIT_ASSERT_EQUAL(kRevision, client_->current().revision);
  }

  void abandons_a_configuration_that_stops_arriving() {
    loopback_.run(answer_in_pieces(kPieces / 2));
    CPPUNIT_ASSERT(client_->statistics().node_switches > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, client_->current().revision);
  }

 private:
  /// Sends the first `pieces` pieces of the answer and waits until the client has applied it or moved on.
  Awaitable<void> answer_in_pieces(std::size_t pieces) {
    auto& runtime = loopback_.runtime();
    auto peer = co_await listener_->accept();
    const std::string answer = first_answer();
    const std::size_t length = answer.size() / kPieces + 1;
    for (std::size_t piece = 0; piece < pieces; ++piece) {
      co_await runtime.sleep_for(kBetweenPieces);
      const std::string bytes = answer.substr(piece * length, length);
      co_await peer.try_send(bytes);
    }
    const TimePoint limit = loopback_.limit();
    while (client_->current().revision == 0 && client_->statistics().node_switches == 0 &&
           runtime.now() < limit) {
      co_await runtime.sleep_for(milliseconds(10));
    }
    peer.close();
  }

  Loopback loopback_;
  std::unique_ptr<tests::ByteListener> listener_;
  std::unique_ptr<FollowClient> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowConfigurationTest);

}  // namespace
}  // namespace cairnhollow::declared::follow

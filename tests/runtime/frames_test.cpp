// Frames over TCP: complete, truncated, oversized and malformed ones.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <boost/endian/conversion.hpp>

#include "runtime/asio/asio_network.h"
#include "tests/support/byte_peer.h"
#include "tests/support/loopback.h"

namespace cairnhollow::runtime {

using tests::BytePeer;
using tests::Loopback;

namespace {

std::string header_for(std::uint32_t length) {
  const std::uint32_t big = boost::endian::native_to_big(length);
  return {reinterpret_cast<const char*>(&big), sizeof big};
}

std::string framed(const std::string& content) {
  return header_for(static_cast<std::uint32_t>(content.size())) + content;
}

}  // namespace

class FramesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FramesTest);
  CPPUNIT_TEST(frames_arrive_complete_and_in_order);
  CPPUNIT_TEST(large_frame_arrives_complete);
  CPPUNIT_TEST(frames_are_reassembled_from_any_fragments);
  CPPUNIT_TEST(connection_closed_within_a_frame_body_is_lost);
  CPPUNIT_TEST(connection_closed_within_a_frame_header_is_lost);
  CPPUNIT_TEST(oversized_length_closes_the_connection);
  CPPUNIT_TEST(malformed_bytes_close_the_connection);
  CPPUNIT_TEST(oversized_frame_is_not_sent);
  CPPUNIT_TEST(closing_ends_a_receive_in_flight);
  CPPUNIT_TEST(nothing_is_received_after_closing);
  CPPUNIT_TEST(a_closed_listener_accepts_nothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loopback_ = std::make_unique<Loopback>();
    listener_ = loopback_->runtime().network().listen({"127.0.0.1", 0}, reason_);
    CPPUNIT_ASSERT_MESSAGE(reason_.to_string(), listener_ != nullptr);
  }
  void tearDown() override {
    if (connection_) connection_->close();
    listener_->close();
    loopback_->run_to_end();
  }

  void frames_arrive_complete_and_in_order() {
    loopback_->run(send_by_connection({"first", "", "third"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, received_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("first"), received_[0]);
    CPPUNIT_ASSERT_EQUAL(std::string(), received_[1]);
    CPPUNIT_ASSERT_EQUAL(std::string("third"), received_[2]);
  }

  void large_frame_arrives_complete() {
    std::string large(std::size_t{5} * 1024 * 1024, 'a');
    for (std::size_t at = 0; at < large.size(); at += 997) large[at] = static_cast<char>(at);
    loopback_->runtime().spawn("send", send_bytes(framed(large) + framed("next")));
    loopback_->run(receive_frames(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received_.size());
    CPPUNIT_ASSERT(received_[0] == large);
    CPPUNIT_ASSERT_EQUAL(std::string("next"), received_[1]);
  }

  void frames_are_reassembled_from_any_fragments() {
    CPPUNIT_ASSERT(rc::check("frames are reassembled from any fragments",
                             [this](const std::vector<std::string>& frames, std::size_t piece) {
                               const std::size_t length = piece % 40 + 1;
                               loopback_->run(send_in_pieces(frames, length));
                               RC_ASSERT(received_ == frames);
                             }));
  }

  void connection_closed_within_a_frame_body_is_lost() {
    loopback_->run(receive_after(header_for(10) + "abc"));
    assert_lost("closed in the middle of a frame");
  }

  void connection_closed_within_a_frame_header_is_lost() {
    loopback_->run(receive_after(header_for(10).substr(0, 2)));
    assert_lost("closed in the middle of a frame");
  }

  void oversized_length_closes_the_connection() {
    loopback_->run(receive_after(header_for(kMaximumFrameBytes + 1) + "abc"));
    assert_lost("the peer announced a frame of");
  }

  void malformed_bytes_close_the_connection() {
    loopback_->run(receive_after("GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n"));
    assert_lost("the peer announced a frame of");
  }

  void oversized_frame_is_not_sent() {
    std::vector<std::string> frames{std::string(kMaximumFrameBytes + 1U, 'a')};
    loopback_->run(send_by_connection(std::move(frames)));
    CPPUNIT_ASSERT(received_.empty());
    CPPUNIT_ASSERT(send_reason_.code == ReasonCode::kInvalidArgument);
  }

  void closing_ends_a_receive_in_flight() {
    loopback_->run(close_while_receiving());
    CPPUNIT_ASSERT(received_.empty());
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kConnectionLost);
  }

  void nothing_is_received_after_closing() {
    loopback_->run(receive_after(""));
    loopback_->run(receive_frames(1));
    CPPUNIT_ASSERT(received_.empty());
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kConnectionLost);
  }

  void a_closed_listener_accepts_nothing() {
    listener_->close();
    loopback_->run(accept());
    CPPUNIT_ASSERT(!connection_);
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kCancelled);
  }

 private:
  void assert_lost(const std::string& detail_begin) {
    CPPUNIT_ASSERT(received_.empty());
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kConnectionLost);
    CPPUNIT_ASSERT_EQUAL(std::string("receive_frame"), reason_.step);
    CPPUNIT_ASSERT_EQUAL(detail_begin, reason_.detail.substr(0, detail_begin.size()));
  }

  Awaitable<BytePeer> connect() { return BytePeer::connect(listener_->endpoint()); }

  Awaitable<void> accept() { connection_ = co_await listener_->accept(reason_); }

  /// Receives at most `count` frames, fewer if the connection ends.
  Awaitable<void> receive_frames(std::size_t count) {
    received_.clear();
    if (!connection_) co_await accept();
    while (received_.size() < count) {
      auto frame = co_await connection_->receive(reason_);
      if (!frame) break;
      received_.push_back(std::move(*frame));
    }
  }

  Awaitable<void> send_bytes(std::string bytes) {
    BytePeer peer = co_await connect();
    co_await peer.send(bytes);
  }

  Awaitable<void> receive_after(std::string bytes) {
    co_await send_bytes(std::move(bytes));
    co_await receive_frames(1);
  }

  Awaitable<void> send_in_pieces(std::vector<std::string> frames, std::size_t length) {
    connection_.reset();
    BytePeer peer = co_await connect();
    std::string bytes;
    for (const std::string& frame : frames) bytes += framed(frame);
    for (std::size_t at = 0; at < bytes.size(); at += length) {
      co_await peer.send(std::string_view(bytes).substr(at, length));
    }
    co_await receive_frames(frames.size());
  }

  Awaitable<void> send_by_connection(std::vector<std::string> frames) {
    const Endpoint endpoint = listener_->endpoint();
    const TimePoint limit = loopback_->limit();
    const auto client = co_await loopback_->runtime().network().connect(endpoint, limit, send_reason_);
    CPPUNIT_ASSERT(client != nullptr);
    std::size_t count = 0;
    for (std::string& frame : frames) {
      const bool sent = co_await client->send(std::move(frame), send_reason_);
      if (sent) ++count;
    }
    co_await receive_frames(count);
    client->close();
  }

  Awaitable<void> close_while_receiving() {
    BytePeer peer = co_await connect();
    co_await accept();
    loopback_->runtime().spawn("close", close_soon());
    co_await receive_frames(1);
  }

  Awaitable<void> close_soon() {
    co_await loopback_->runtime().sleep_for(std::chrono::milliseconds(1));
    connection_->close();
  }

  std::unique_ptr<Loopback> loopback_;
  std::unique_ptr<FrameListener> listener_;
  std::shared_ptr<FrameConnection> connection_;
  std::vector<std::string> received_;
  Reason reason_;
  Reason send_reason_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FramesTest);

}  // namespace cairnhollow::runtime

// The client's end of HTTP, met by servers that answer late, short, twice or not at all.
#include "http/client_connection.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/byte_peer.h"
#include "tests/support/loopback.h"

namespace cairnhollow::http {

using runtime::HttpRequest;
using runtime::HttpResponse;
using runtime::SendState;
using tests::ByteListener;
using tests::BytePeer;
using tests::Loopback;

namespace {

constexpr Duration kShort = std::chrono::milliseconds(20);
constexpr const char* kAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

}  // namespace

class ClientConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientConnectionTest);
  CPPUNIT_TEST(a_connection_carries_one_exchange_after_another);
  CPPUNIT_TEST(a_late_answer_never_reaches_another_exchange);
  CPPUNIT_TEST(an_answer_that_nobody_asked_for_ends_the_connection);
  CPPUNIT_TEST(an_answer_followed_by_more_bytes_is_not_trusted);
  CPPUNIT_TEST(an_answer_cut_in_the_middle_is_none);
  CPPUNIT_TEST(an_answer_without_a_length_is_none);
  CPPUNIT_TEST(an_answer_that_is_no_http_is_none);
  CPPUNIT_TEST(an_oversize_answer_is_none);
  CPPUNIT_TEST(no_answer_at_all_may_still_have_been_seen);
  CPPUNIT_TEST(interim_answers_are_passed_over);
  CPPUNIT_TEST(an_answer_may_end_the_connection);
  CPPUNIT_TEST(a_passed_deadline_sends_nothing);
  CPPUNIT_TEST(a_target_that_would_forge_a_request_is_not_sent);
  CPPUNIT_TEST(nobody_listening_is_unreachable);
  CPPUNIT_TEST(an_ordinary_close_ends_the_stream);
  CPPUNIT_TEST(a_close_resets_a_connection_set_to_reset);
  CPPUNIT_TEST(a_deadline_resets_a_connection_set_to_reset);
  CPPUNIT_TEST(destruction_resets_a_connection_set_to_reset);
  CPPUNIT_TEST(a_closed_connection_cannot_be_set_to_reset);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loopback_ = std::make_unique<Loopback>();
    listener_ = std::make_unique<ByteListener>(loopback_->context().get_executor());
  }
  void tearDown() override {
    connection_.reset();
    listener_->close();
    loopback_->run_to_end();
  }

  void a_connection_carries_one_exchange_after_another() {
    server_closes_ = false;
    answer_with({kAnswer, "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"});
    exchange();
    CPPUNIT_ASSERT(response_.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), response_->body);
    exchange();
    CPPUNIT_ASSERT(response_.has_value());
    CPPUNIT_ASSERT_EQUAL(404U, response_->status);
    CPPUNIT_ASSERT(connection_->is_open());
  }

  void a_late_answer_never_reaches_another_exchange() {
    loopback_->run(answer_after_the_deadline());
    CPPUNIT_ASSERT(!response_.has_value());
    CPPUNIT_ASSERT(sent_ == SendState::kMaybeSent);
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kDeadlineExceeded);
    exchange();
    CPPUNIT_ASSERT(!response_.has_value());
    CPPUNIT_ASSERT(sent_ == SendState::kNotSent);
    CPPUNIT_ASSERT(!connection_->is_open());
  }

  void an_answer_that_nobody_asked_for_ends_the_connection() {
    loopback_->run(send_unasked());
    exchange();
    CPPUNIT_ASSERT(!response_.has_value());
    CPPUNIT_ASSERT(sent_ == SendState::kNotSent);
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kConnectionLost);
  }

  void an_answer_followed_by_more_bytes_is_not_trusted() {
    answer_with({std::string(kAnswer) + kAnswer});
    exchange();
    assert_lost_after_sending();
  }

  void an_answer_cut_in_the_middle_is_none() {
    answer_with({"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nshort"});
    exchange();
    assert_lost_after_sending();
  }

  void an_answer_without_a_length_is_none() {
    answer_with({"HTTP/1.1 200 OK\r\n\r\nall until the end?"});
    exchange();
    assert_lost_after_sending();
  }

  void an_answer_that_is_no_http_is_none() {
    answer_with({std::string("\x16\x03\x01\x00garbage\r\n\r\n", 15)});
    exchange();
    assert_lost_after_sending();
  }

  void an_oversize_answer_is_none() {
    answer_with({"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n"});
    exchange();
    assert_lost_after_sending();
  }

  void no_answer_at_all_may_still_have_been_seen() {
    answer_with({""});
    exchange();
    assert_lost_after_sending();
  }

  void interim_answers_are_passed_over() {
    answer_with({std::string("HTTP/1.1 103 Early Hints\r\n\r\n") + kAnswer});
    exchange();
    CPPUNIT_ASSERT(response_.has_value());
    CPPUNIT_ASSERT_EQUAL(200U, response_->status);
  }

  void an_answer_may_end_the_connection() {
    answer_with({"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok"});
    exchange();
    CPPUNIT_ASSERT(response_.has_value());
    CPPUNIT_ASSERT(!connection_->is_open());
  }

  void a_passed_deadline_sends_nothing() {
    server_closes_ = false;
    answer_with({});
    loopback_->run(exchange_until(loopback_->runtime().now()));
    CPPUNIT_ASSERT(!response_.has_value());
    CPPUNIT_ASSERT(sent_ == SendState::kNotSent);
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kDeadlineExceeded);
  }

  void a_target_that_would_forge_a_request_is_not_sent() {
    server_closes_ = false;
    answer_with({});
    request_.target = "/a HTTP/1.1\r\nhost: a\r\n\r\nGET /b";
    exchange();
    CPPUNIT_ASSERT(!response_.has_value());
    CPPUNIT_ASSERT(sent_ == SendState::kNotSent);
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kInvalidArgument);
  }

  void nobody_listening_is_unreachable() {
    const Endpoint endpoint = listener_->endpoint();
    listener_->close();
    loopback_->run(connect(endpoint));
    CPPUNIT_ASSERT(!connection_);
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kUnreachable);
    CPPUNIT_ASSERT_EQUAL(endpoint.to_string(), reason_.peer);
  }

  void an_ordinary_close_ends_the_stream() {
    loopback_->run(close_while_waiting());
    CPPUNIT_ASSERT(end_at_server_ == boost::asio::error::eof);
  }

  void a_close_resets_a_connection_set_to_reset() {
    sets_to_reset_ = true;
    loopback_->run(close_while_waiting());
    CPPUNIT_ASSERT(end_at_server_ == boost::asio::error::connection_reset);
  }

  void a_deadline_resets_a_connection_set_to_reset() {
    sets_to_reset_ = true;
    loopback_->run(end_by_deadline());
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kDeadlineExceeded);
    CPPUNIT_ASSERT(end_at_server_ == boost::asio::error::connection_reset);
  }

  void destruction_resets_a_connection_set_to_reset() {
    sets_to_reset_ = true;
    loopback_->run(destroy());
    CPPUNIT_ASSERT(end_at_server_ == boost::asio::error::connection_reset);
  }

  void a_closed_connection_cannot_be_set_to_reset() {
    loopback_->run(connect_to_listener());
    connection_->close();
    CPPUNIT_ASSERT(!connection_->reset_on_close(reason_));
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kConnectionLost);
  }

 private:
  /// Connects to a server that answers one request with each text and then, if server_closes_, closes.
  void answer_with(std::vector<std::string> answers) {
    loopback_->runtime().spawn("server", serve(std::move(answers)));
    loopback_->run(connect(listener_->endpoint()));
    CPPUNIT_ASSERT(connection_ != nullptr);
  }

  void exchange() { loopback_->run(exchange_until(loopback_->limit())); }

  void assert_lost_after_sending() {
    CPPUNIT_ASSERT(!response_.has_value());
    CPPUNIT_ASSERT(sent_ == SendState::kMaybeSent);
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kConnectionLost);
    CPPUNIT_ASSERT_EQUAL(listener_->endpoint().to_string(), reason_.peer);
    CPPUNIT_ASSERT(!connection_->is_open());
  }

  Awaitable<void> connect(Endpoint endpoint) {
    connection_ = co_await loopback_->runtime().http().connect(endpoint, loopback_->limit(), reason_);
  }

  Awaitable<void> connect_to_listener() { return connect(listener_->endpoint()); }

  Awaitable<void> exchange_until(TimePoint deadline) {
    reason_ = {};
    HttpRequest request = request_;
    response_ = co_await connection_->exchange(std::move(request), deadline, sent_, reason_);
  }

  Awaitable<void> serve(std::vector<std::string> answers) {
    BytePeer peer = co_await listener_->accept();
    for (const std::string& answer : answers) {
      co_await peer.receive_until("\r\n\r\n");
      co_await peer.send(answer);
    }
    if (server_closes_) peer.shut_down_sending();
    co_await peer.receive_all();
  }

  Awaitable<void> answer_after_the_deadline() {
    co_await connect_to_listener();
    BytePeer peer = co_await listener_->accept();
    co_await exchange_until(loopback_->runtime().now() + kShort);
    co_await peer.receive_until("\r\n\r\n");
    co_await peer.try_send(kAnswer);
    co_await peer.receive_all();
  }

  Awaitable<void> send_unasked() {
    co_await connect_to_listener();
    BytePeer peer = co_await listener_->accept();
    co_await peer.send(kAnswer);
    while (connection_->is_open()) {
      co_await loopback_->runtime().sleep_for(std::chrono::milliseconds(1));
    }
  }

  /// Connects, and sets the connection to reset if sets_to_reset_.
  Awaitable<BytePeer> connect_and_accept() {
    co_await connect_to_listener();
    if (sets_to_reset_) CPPUNIT_ASSERT(connection_->reset_on_close(reason_));
    co_return co_await listener_->accept();
  }

  Awaitable<void> close_while_waiting() {
    BytePeer peer = co_await connect_and_accept();
    loopback_->runtime().spawn("exchange", exchange_until(loopback_->limit()));
    co_await peer.receive_until("\r\n\r\n");
    connection_->close();
    end_at_server_ = co_await peer.wait_for_end();
  }

  Awaitable<void> end_by_deadline() {
    BytePeer peer = co_await connect_and_accept();
    co_await exchange_until(loopback_->runtime().now() + kShort);
    end_at_server_ = co_await peer.wait_for_end();
  }

  Awaitable<void> destroy() {
    BytePeer peer = co_await connect_and_accept();
    connection_.reset();
    end_at_server_ = co_await peer.wait_for_end();
  }

  std::unique_ptr<Loopback> loopback_;
  std::unique_ptr<ByteListener> listener_;
  std::shared_ptr<runtime::HttpConnection> connection_;
  HttpRequest request_{runtime::HttpMethod::kGet, "/v1/status", {}, ""};
  std::optional<HttpResponse> response_;
  bool server_closes_ = true;
  bool sets_to_reset_ = false;
  boost::system::error_code end_at_server_;
  SendState sent_ = SendState::kNotSent;
  Reason reason_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientConnectionTest);

}  // namespace cairnhollow::http

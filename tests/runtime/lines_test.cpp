// Lines over TCP: reassembled across reads up to the maximum length; the connection is closed on longer ones.
#include "runtime/lines.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "runtime/runtime.h"
#include "tests/declared/config/properties.h"
#include "tests/support/loopback.h"

namespace cairnhollow::runtime {

namespace {

const Endpoint kAnyPort{"127.0.0.1", 0};

}  // namespace

class LinesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinesTest);
  CPPUNIT_TEST(lines_are_reassembled_from_any_fragments);
  CPPUNIT_TEST(line_of_maximum_length_arrives);
  CPPUNIT_TEST(longer_line_closes_the_connection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loopback_ = std::make_unique<tests::Loopback>();
    Reason reason;
    listener_ = loopback_->runtime().lines().listen(kAnyPort, reason);
    CPPUNIT_ASSERT_MESSAGE(reason.to_string(), listener_);
  }
  void tearDown() override {
    listener_.reset();
    loopback_.reset();
  }

  void lines_are_reassembled_from_any_fragments() {
    const auto property = [this](const std::vector<std::string>& texts, std::size_t piece) {
      std::vector<std::string> lines;
      std::string bytes;
      for (std::string text : texts) {
        std::erase(text, '\n');
        lines.push_back(text);
        bytes += text + "\r\n";
      }
      loopback_->run(exchange(bytes, piece % 40 + 1, lines.size()));
      RC_ASSERT(received_ == lines);
    };
    declared::config::assert_property("lines are reassembled from any fragments", property, 50);
  }

  void line_of_maximum_length_arrives() {
    for (const std::size_t size :
         {std::size_t{1000}, std::size_t{70'000}, std::size_t{300'000}, kMaximumLineBytes}) {
      const std::string line(size, 'x');
      loopback_->run(exchange(line + "\r\nnext\r\n", size, 2));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received_.size());
      CPPUNIT_ASSERT_EQUAL(size, received_[0].size());
      CPPUNIT_ASSERT_EQUAL(std::string("next"), received_[1]);
    }
  }

  void longer_line_closes_the_connection() {
    loopback_->run(
        exchange(std::string(kMaximumLineBytes + 100, 'x') + "\r\nnext\r\n", kMaximumLineBytes, 2));
    CPPUNIT_ASSERT(received_.empty());
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kInvalidArgument);
  }

 private:
  /// Sends the bytes in pieces of `piece` bytes and receives `count` lines at the other end.
  Awaitable<void> exchange(std::string bytes, std::size_t piece, std::size_t count) {
    received_.clear();
    Reason reason;
    const TimePoint limit = loopback_->limit();
    const auto client = co_await loopback_->runtime().lines().connect(listener_->endpoint(), limit, reason);
    const auto server = co_await listener_->accept(reason);
    loopback_->runtime().spawn("send", send(client, std::move(bytes), piece));
    while (received_.size() < count) {
      const auto line = co_await server->read_line(limit, reason_);
      if (!line) break;
      received_.push_back(*line);
    }
    client->close();
    server->close();
  }
  static Awaitable<void> send(std::shared_ptr<LineConnection> client, std::string bytes, std::size_t piece) {
    Reason reason;
    for (std::size_t begin = 0; begin < bytes.size(); begin += piece) {
      std::string part = bytes.substr(begin, piece);
      const bool sent = co_await client->write(std::move(part), reason);
      if (!sent) co_return;
    }
  }

  std::unique_ptr<tests::Loopback> loopback_;
  std::unique_ptr<LineListener> listener_;
  std::vector<std::string> received_;
  Reason reason_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinesTest);

}  // namespace cairnhollow::runtime

// A TCP socket that is set to reset: its peer sees a reset and no end of stream, whatever closes it.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <optional>

#include "runtime/asio/tcp.h"
#include "runtime/http.h"
#include "tests/support/byte_peer.h"
#include "tests/support/loopback.h"

namespace cairnhollow::runtime {

using boost::asio::ip::tcp;
using boost::system::error_code;
using tests::ByteListener;
using tests::BytePeer;
using tests::Loopback;

namespace {

template <class Value>
Value option_of(tcp::socket& socket, int level, int name) {
  Value value{};
  socklen_t size = sizeof value;
  CPPUNIT_ASSERT_EQUAL(0, ::getsockopt(socket.native_handle(), level, name, &value, &size));
  return value;
}

/// A process that holds every socket of this one open until it is killed by SIGKILL, at the latest with this
/// object.
class SocketHolder {
 public:
  SocketHolder() : process_(::fork()) {
    if (process_ != 0) return;
    while (true) ::pause();
  }
  ~SocketHolder() { kill(); }
  SocketHolder(const SocketHolder&) = delete;
  SocketHolder& operator=(const SocketHolder&) = delete;

  void kill() {
    if (process_ <= 0) return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = 0;
  }

 private:
  pid_t process_;
};

}  // namespace

class ResetOnCloseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResetOnCloseTest);
  CPPUNIT_TEST(ordinary_close_ends_the_stream);
  CPPUNIT_TEST(close_resets);
  CPPUNIT_TEST(discarding_close_resets);
  CPPUNIT_TEST(destruction_resets);
  CPPUNIT_TEST(killed_process_resets);
  CPPUNIT_TEST(kernel_drops_unacknowledged_data);
  CPPUNIT_TEST(closed_socket_cannot_be_set);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loopback_ = std::make_unique<Loopback>();
    listener_ = std::make_unique<ByteListener>(loopback_->context().get_executor());
    loopback_->run(open());
  }
  void tearDown() override {
    socket_.reset();
    peer_.reset();
    listener_.reset();
    loopback_.reset();
  }

  void ordinary_close_ends_the_stream() {
    socket_->close();
    CPPUNIT_ASSERT(end_at_peer() == boost::asio::error::eof);
  }

  void close_resets() {
    CPPUNIT_ASSERT(!enable_reset_on_close(*socket_));
    socket_->close();
    CPPUNIT_ASSERT(end_at_peer() == boost::asio::error::connection_reset);
  }

  /// Guards against a call that is delivered after its sender gave it up, on a connection without probes.
  void discarding_close_resets() {
    CPPUNIT_ASSERT(!enable_discard_on_close(*socket_));
    CPPUNIT_ASSERT_EQUAL(0, option_of<int>(*socket_, SOL_SOCKET, SO_KEEPALIVE));
    const std::chrono::milliseconds user_timeout(
        option_of<unsigned>(*socket_, IPPROTO_TCP, TCP_USER_TIMEOUT));
    CPPUNIT_ASSERT(user_timeout == kResetUnacknowledgedAfter);
    socket_->close();
    CPPUNIT_ASSERT(end_at_peer() == boost::asio::error::connection_reset);
  }

  void destruction_resets() {
    CPPUNIT_ASSERT(!enable_reset_on_close(*socket_));
    socket_.reset();
    CPPUNIT_ASSERT(end_at_peer() == boost::asio::error::connection_reset);
  }

  void killed_process_resets() {
    CPPUNIT_ASSERT(!enable_reset_on_close(*socket_));
    SocketHolder other_process;
    // Past Asio, so that only the other process has the connection and nothing has ended it.
    ::close(socket_->release());
    other_process.kill();
    CPPUNIT_ASSERT(end_at_peer() == boost::asio::error::connection_reset);
  }

  void kernel_drops_unacknowledged_data() {
    CPPUNIT_ASSERT(!enable_reset_on_close(*socket_));
    const std::chrono::milliseconds user_timeout(
        option_of<unsigned>(*socket_, IPPROTO_TCP, TCP_USER_TIMEOUT));
    CPPUNIT_ASSERT(user_timeout == kResetUnacknowledgedAfter);
    CPPUNIT_ASSERT(option_of<int>(*socket_, SOL_SOCKET, SO_KEEPALIVE) != 0);
    const std::chrono::seconds idle(option_of<int>(*socket_, IPPROTO_TCP, TCP_KEEPIDLE));
    const std::chrono::seconds interval(option_of<int>(*socket_, IPPROTO_TCP, TCP_KEEPINTVL));
    CPPUNIT_ASSERT(idle < kResetUnacknowledgedAfter);
    CPPUNIT_ASSERT(interval * option_of<int>(*socket_, IPPROTO_TCP, TCP_KEEPCNT) <=
                   kResetUnacknowledgedAfter);
  }

  void closed_socket_cannot_be_set() {
    socket_->close();
    CPPUNIT_ASSERT(enable_reset_on_close(*socket_).failed());
  }

 private:
  Awaitable<void> open() {
    Reason reason;
    socket_ = co_await connect_tcp(loopback_->context().get_executor(), listener_->endpoint(),
                                   loopback_->limit(), reason);
    CPPUNIT_ASSERT(socket_.has_value());
    peer_ = co_await listener_->accept();
  }
  error_code end_at_peer() {
    error_code end;
    loopback_->run(wait_for_end(end));
    return end;
  }
  Awaitable<void> wait_for_end(error_code& end) { end = co_await peer_->wait_for_end(); }

  std::unique_ptr<Loopback> loopback_;
  std::unique_ptr<ByteListener> listener_;
  std::optional<tcp::socket> socket_;
  std::optional<BytePeer> peer_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResetOnCloseTest);

}  // namespace cairnhollow::runtime

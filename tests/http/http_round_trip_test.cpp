// One exchange over loopback, as the smallest proof that both ends fit together.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <memory>

#include "host/asio_runtime.h"

namespace cairnhollow::http {

class HttpRoundTripTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpRoundTripTest);
  CPPUNIT_TEST(answer_carries_status_headers_and_body);
  CPPUNIT_TEST_SUITE_END();

  class EchoHandler : public runtime::HttpHandler {
   public:
    Awaitable<runtime::HttpResponse> handle(runtime::HttpRequest request,
                                            runtime::HttpConnectionId) override {
      runtime::HttpResponse response;
      response.status = 201;
      response.headers.fields["x-target"] = request.target;
      response.body = request.body;
      co_return response;
    }
  };

 public:
  void answer_carries_status_headers_and_body() {
    boost::asio::io_context context;
    const auto runtime = host::make_asio_runtime(context, {});
    EchoHandler handler;
    Reason reason;
    const auto server = runtime->http().serve({"127.0.0.1", 0}, handler, reason);
    CPPUNIT_ASSERT(server);
    std::optional<runtime::HttpResponse> response;
    runtime->spawn("client", call(*runtime, *server, response));
    context.run();
    CPPUNIT_ASSERT(response);
    CPPUNIT_ASSERT_EQUAL(201U, response->status);
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/cards"), *response->headers.find("x-target"));
    CPPUNIT_ASSERT_EQUAL(std::string("kia ora"), response->body);
  }

 private:
  static Awaitable<void> call(runtime::Runtime& runtime, runtime::HttpServer& server,
                              std::optional<runtime::HttpResponse>& response) {
    Reason reason;
    const TimePoint deadline = runtime.now() + std::chrono::seconds(5);
    const auto connection = co_await runtime.http().connect(server.endpoint(), deadline, reason);
    runtime::HttpRequest request;
    request.method = runtime::HttpMethod::kPost;
    request.target = "/v1/cards";
    request.body = "kia ora";
    runtime::SendState sent = runtime::SendState::kNotSent;
    response = co_await connection->exchange(request, deadline, sent, reason);
    server.close();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpRoundTripTest);

}  // namespace cairnhollow::http

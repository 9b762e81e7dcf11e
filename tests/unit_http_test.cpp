#include "http_client.h"
#include "http_server.h"
#include "raw_caller.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;

/** Checks the HTTP server and client: replies, streamed responses, refused connections and cancellation. */
class HttpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpTest);
    CPPUNIT_TEST(repliesWithBody);
    CPPUNIT_TEST(streamsChunksInOrder);
    CPPUNIT_TEST(completedResponseCountsUntilItIsWritten);
    CPPUNIT_TEST(abandonedResponseIsNoLongerCounted);
    CPPUNIT_TEST(refusedConnectionIsNotSent);
    CPPUNIT_TEST(cancelInsideHandlerIsSafe);
    CPPUNIT_TEST(cancelKeepsRunningHandlerAlive);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context m_io;

    static HttpServer::Handler echo()
    {
        return [](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            if (request.path == "/stream") {
                responder->beginStream(200, {{"Content-Type", "text/event-stream"}});
                responder->write("a", {});
                responder->write("b", {});
                responder->endStream();
                return;
            }
            responder->reply(200, {{"X-Method", std::string(request.method)}}, std::string(request.body));
        };
    }

    /** A stream that is too long for the buffers of a connection. */
    static HttpServer::Handler longStream()
    {
        return [](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
            constexpr std::size_t bytes = 32U << 20U;
            responder->beginStream(200, {{"Content-Type", "text/event-stream"}});
            responder->write(std::string(bytes, 'x'), {});
            responder->endStream();
        };
    }

    HttpClientResult run(HttpClient &client, HttpClientRequest request, std::string &body)
    {
        HttpClientResult result;
        bool done = false;
        client.start(std::move(request),
                     {{},
                      [&](std::string_view chunk) {
                          body += chunk;
                      },
                      [&](const HttpClientResult &r) {
                          result = r;
                          done = true;
                      }});
        while (!done) {
            m_io.run_one();
        }
        return result;
    }

public:
    void repliesWithBody()
    {
        HttpServer server(m_io, {}, echo());
        HttpClient client(m_io);
        std::string body;
        const auto result
            = run(client, {"POST", "http://127.0.0.1:" + std::to_string(server.port()) + "/x?q=1", {}, "hello"}, body);
        CPPUNIT_ASSERT(result.complete);
        CPPUNIT_ASSERT_EQUAL(200, result.status);
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), body);
    }

    void streamsChunksInOrder()
    {
        HttpServer server(m_io, {}, echo());
        HttpClient client(m_io);
        std::string body;
        const auto result
            = run(client, {"GET", "http://127.0.0.1:" + std::to_string(server.port()) + "/stream", {}, ""}, body);
        CPPUNIT_ASSERT(result.complete);
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), body);
    }

    /** A process that exits once its calls have ended would cut off the rest of such a response. */
    void completedResponseCountsUntilItIsWritten()
    {
        HttpServer server(m_io, {}, longStream());
        RawCaller caller(m_io, std::to_string(server.port()));
        caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(caller.readUntil("\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.unwrittenCount());
        CPPUNIT_ASSERT(caller.readUntil("\r\n0\r\n\r\n"));
        m_io.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.unwrittenCount());
    }

    void abandonedResponseIsNoLongerCounted()
    {
        HttpServer server(m_io, {}, longStream());
        {
            RawCaller caller(m_io, std::to_string(server.port()));
            caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            CPPUNIT_ASSERT(caller.readUntil("\r\n\r\n"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.unwrittenCount());
        }
        while (server.unwrittenCount() > 0) {
            m_io.run_one();
        }
    }

    void refusedConnectionIsNotSent()
    {
        std::uint16_t port = 0;
        {
            HttpServer server(m_io, {}, echo());
            port = server.port();
            server.stopListening();
        }
        HttpClient client(m_io);
        std::string body;
        const auto result = run(client, {"GET", "http://127.0.0.1:" + std::to_string(port) + "/", {}, ""}, body);
        CPPUNIT_ASSERT(!result.complete);
        CPPUNIT_ASSERT(!result.sent);
    }

    void cancelInsideHandlerIsSafe()
    {
        HttpServer server(m_io, {}, echo());
        HttpClient client(m_io);
        bool called = false;
        HttpClient::RequestId id = 0;
        id = client.start({"GET", "http://127.0.0.1:" + std::to_string(server.port()) + "/stream", {}, ""},
                          {{},
                           [&](std::string_view) {
                               called = true;
                               client.cancel(id);
                           },
                           [](const HttpClientResult &) {
                               CPPUNIT_FAIL("a cancelled request must not report its end");
                           }});
        while (!called || client.activeCount() != 0) {
            m_io.run_one();
        }
    }

    /** A handler that cancels its own request must not be destroyed, with its captures, before it returns. */
    void cancelKeepsRunningHandlerAlive()
    {
        HttpServer server(m_io, {}, echo());
        HttpClient client(m_io);
        auto captured = std::make_shared<int>(0);
        const std::weak_ptr<int> weakCaptured = captured;
        bool isAliveAfterCancel = false;
        HttpClient::RequestId id = 0;
        id = client.start({"GET", "http://127.0.0.1:" + std::to_string(server.port()) + "/stream", {}, ""},
                          {{},
                           [&client, &id, &weakCaptured, &isAliveAfterCancel, captured](std::string_view) {
                               const auto &weakCapture = weakCaptured;
                               auto &result = isAliveAfterCancel;
                               client.cancel(id);
                               result = !weakCapture.expired();
                           },
                           {}});
        captured.reset();
        while (client.activeCount() != 0) {
            m_io.run_one();
        }
        CPPUNIT_ASSERT(isAliveAfterCancel);
        CPPUNIT_ASSERT(weakCaptured.expired());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

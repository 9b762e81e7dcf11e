#include "h2_client.h"
#include "h2_server.h"

#include <asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;

namespace {

PeerKey key(const std::string &name, char fill)
{
    return {name, std::string(32, fill)};
}

} // namespace

/** Checks the peer transport: responses with trailers, cancellation, authentication by key, draining and idle close. */
class H2Test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(H2Test);
    CPPUNIT_TEST(streamsBodyAndTrailers);
    CPPUNIT_TEST(largeBodyNeedsConsume);
    CPPUNIT_TEST(cancelReachesServer);
    CPPUNIT_TEST(wrongKeyIsRefused);
    CPPUNIT_TEST(secondKeyIsAccepted);
    CPPUNIT_TEST(lostConnectionCountsAsSent);
    CPPUNIT_TEST(streamAfterDrainIsNotSent);
    CPPUNIT_TEST(refusedConnectionIsNotSent);
    CPPUNIT_TEST(idleConnectionIsClosed);
    CPPUNIT_TEST(statusOutsideProtocolIsNotComplete);
    CPPUNIT_TEST(nameOutsideProtocolIsNotComplete);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context m_io;
    PeerTls m_tls{{key("a", 'x')}};

    struct Answer
    {
        int status = 0;
        std::string body;
        H2Result result;
        bool done = false;
    };

    static std::string addressOf(const H2Server &server)
    {
        return "127.0.0.1:" + std::to_string(server.port());
    }

    H2Client::StreamId send(H2Client &client, Answer &answer, H2Request request)
    {
        auto id = std::make_shared<H2Client::StreamId>(0);
        *id = client.start(std::move(request),
                           {[&answer](int status, const HttpHeaders &) {
                                answer.status = status;
                            },
                            [&answer, &client, id](std::string_view chunk) {
                                answer.body += chunk;
                                client.consume(*id, chunk.size());
                            },
                            [&answer](const H2Result &result) {
                                answer.result = result;
                                answer.done = true;
                            }});
        return *id;
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        while (!condition()) {
            m_io.run_one();
        }
    }

    Answer call(H2Client &client, H2Request request)
    {
        Answer answer;
        send(client, answer, std::move(request));
        runUntil([&] {
            return answer.done;
        });
        return answer;
    }

public:
    void streamsBodyAndTrailers()
    {
        H2Server server(m_io, m_tls, "127.0.0.1", 0, [](const std::shared_ptr<H2ServerStream> &stream) {
            stream->respond(200, {{"tl-incarnation", "1"}});
            stream->write("one ");
            stream->write(stream->request().body);
            stream->end({{"tl-verdict", "run"}});
        });
        H2Client client(m_io, m_tls, addressOf(server));
        const auto answer = call(client, {"POST", "/run", {{"tl-request", "r1"}}, "two"});
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("one two"), answer.body);
        CPPUNIT_ASSERT(answer.result.complete);
        CPPUNIT_ASSERT(headerValue(answer.result.trailers, "tl-verdict") == "run");
    }

    void statusOutsideProtocolIsNotComplete()
    {
        for (const int status : {0, 20, 99, 100, 101, 199, 600, 999, 1000}) {
            H2Server server(m_io, m_tls, "127.0.0.1", 0, [status](const std::shared_ptr<H2ServerStream> &stream) {
                stream->reply(status, {}, "body", {{"tl-verdict", "run"}});
            });
            H2Client client(m_io, m_tls, addressOf(server));
            const auto answer = call(client, {"POST", "/run", {}, "x"});
            CPPUNIT_ASSERT_MESSAGE(std::to_string(status), !answer.result.complete && answer.result.sent);
        }
    }

    /** nghttp2 rejects these by itself. */
    void nameOutsideProtocolIsNotComplete()
    {
        for (const std::string name : {"a b", " a", "a\x01", "a:"}) {
            H2Server server(m_io, m_tls, "127.0.0.1", 0, [&name](const std::shared_ptr<H2ServerStream> &stream) {
                stream->reply(200, {{name, "v"}}, "body");
            });
            H2Client client(m_io, m_tls, addressOf(server));
            CPPUNIT_ASSERT_MESSAGE(name, !call(client, {"POST", "/run", {}, "x"}).result.complete);
        }
    }

    void largeBodyNeedsConsume()
    {
        const std::string big(3'000'000, 'b');
        H2Server server(m_io, m_tls, "127.0.0.1", 0, [&big](const std::shared_ptr<H2ServerStream> &stream) {
            stream->reply(200, {}, big + stream->request().body);
        });
        H2Client client(m_io, m_tls, addressOf(server));
        const auto answer = call(client, {"POST", "/run", {}, std::string(1'000'000, 'c')});
        CPPUNIT_ASSERT(answer.result.complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4'000'000), answer.body.size());
    }

    void cancelReachesServer()
    {
        bool received = false;
        bool cancelled = false;
        std::shared_ptr<H2ServerStream> heldStream;
        H2Server server(m_io, m_tls, "127.0.0.1", 0, [&](const std::shared_ptr<H2ServerStream> &stream) {
            heldStream = stream;
            received = true;
            stream->onCancel = [&cancelled] {
                cancelled = true;
            };
        });
        H2Client client(m_io, m_tls, addressOf(server));
        Answer answer;
        const auto id = send(client, answer, {"POST", "/run", {}, ""});
        runUntil([&] {
            return received;
        });
        client.cancel(id);
        runUntil([&] {
            return cancelled;
        });
        CPPUNIT_ASSERT(!answer.done);
    }

    void wrongKeyIsRefused()
    {
        bool isHandlerCalled = false;
        H2Server server(m_io, m_tls, "127.0.0.1", 0, [&](const std::shared_ptr<H2ServerStream> &) {
            isHandlerCalled = true;
        });
        for (const auto &wrongKey : {key("a", 'y'), key("b", 'x')}) {
            PeerTls otherTls({wrongKey});
            H2Client client(m_io, otherTls, addressOf(server));
            const auto answer = call(client, {"POST", "/run", {}, "x"});
            CPPUNIT_ASSERT(!answer.result.complete);
            CPPUNIT_ASSERT(!answer.result.sent);
        }
        CPPUNIT_ASSERT(!isHandlerCalled);
    }

    void secondKeyIsAccepted()
    {
        PeerTls both({key("new", 'n'), key("a", 'x')});
        H2Server server(m_io, both, "127.0.0.1", 0, [](const std::shared_ptr<H2ServerStream> &stream) {
            stream->reply(200, {}, "");
        });
        H2Client oldClient(m_io, m_tls, addressOf(server));
        H2Client newClient(m_io, both, addressOf(server));
        CPPUNIT_ASSERT(call(oldClient, {"POST", "/run", {}, ""}).result.complete);
        CPPUNIT_ASSERT(call(newClient, {"POST", "/run", {}, ""}).result.complete);
    }

    void lostConnectionCountsAsSent()
    {
        std::shared_ptr<H2ServerStream> heldStream;
        auto server = std::make_unique<H2Server>(
            m_io, m_tls, "127.0.0.1", 0, [&heldStream](const std::shared_ptr<H2ServerStream> &stream) {
                heldStream = stream;
            });
        H2Client client(m_io, m_tls, addressOf(*server));
        Answer answer;
        send(client, answer, {"POST", "/run", {}, ""});
        runUntil([&] {
            return heldStream != nullptr;
        });
        server.reset();
        runUntil([&] {
            return answer.done;
        });
        CPPUNIT_ASSERT(!answer.result.complete);
        CPPUNIT_ASSERT(answer.result.sent);
    }

    void streamAfterDrainIsNotSent()
    {
        std::shared_ptr<H2ServerStream> heldStream;
        H2Server server(m_io, m_tls, "127.0.0.1", 0, [&heldStream](const std::shared_ptr<H2ServerStream> &stream) {
            heldStream = stream;
        });
        H2Client client(m_io, m_tls, addressOf(server));
        Answer first;
        send(client, first, {"POST", "/run", {}, ""});
        runUntil([&] {
            return heldStream != nullptr;
        });
        server.drain();
        Answer second;
        send(client, second, {"POST", "/run", {}, ""});
        runUntil([&] {
            return second.done;
        });
        CPPUNIT_ASSERT(!second.result.sent);
        heldStream->reply(200, {}, "late");
        runUntil([&] {
            return first.done;
        });
        CPPUNIT_ASSERT(first.result.complete);
        CPPUNIT_ASSERT_EQUAL(std::string("late"), first.body);
    }

    /** Gossip contacts every process of the fleet in time, so unused connections must not stay open. */
    void idleConnectionIsClosed()
    {
        std::shared_ptr<H2ServerStream> heldStream;
        H2Server server(m_io, m_tls, "127.0.0.1", 0, [&heldStream](const std::shared_ptr<H2ServerStream> &stream) {
            heldStream = stream;
        });
        H2ClientConfig config;
        config.idleTimeout = std::chrono::milliseconds(1);
        H2Client client(m_io, m_tls, addressOf(server), config);
        Answer answer;
        send(client, answer, {"POST", "/run", {}, ""});
        runUntil([&] {
            return heldStream != nullptr;
        });
        // Runs for several idle timeouts while a stream is open.
        asio::steady_timer timer(m_io, std::chrono::milliseconds(20));
        bool isElapsed = false;
        timer.async_wait([&isElapsed](asio::error_code) {
            isElapsed = true;
        });
        runUntil([&] {
            return isElapsed;
        });
        CPPUNIT_ASSERT(client.isConnected());
        heldStream->reply(200, {}, "late");
        runUntil([&] {
            return answer.done;
        });
        CPPUNIT_ASSERT(answer.result.complete);
        runUntil([&] {
            return !client.isConnected() && server.connectionCount() == 0;
        });
        // The next request opens a new connection.
        send(client, answer, {"POST", "/run", {}, ""});
        heldStream.reset();
        runUntil([&] {
            return heldStream != nullptr;
        });
        CPPUNIT_ASSERT(client.isConnected());
    }

    void refusedConnectionIsNotSent()
    {
        H2Client client(m_io, m_tls, "127.0.0.1:1");
        const auto answer = call(client, {"POST", "/run", {}, ""});
        CPPUNIT_ASSERT(!answer.result.complete);
        CPPUNIT_ASSERT(!answer.result.sent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(H2Test);

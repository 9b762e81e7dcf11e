#include "fake_store.h"
#include "gateway_process.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <array>
#include <memory>
#include <vector>

using namespace turmericline;

namespace {

/** Server that writes something before its answer to each request on a connection but the first one. */
class RepeatingServer
{
public:
    explicit RepeatingServer(asio::io_context &io)
        : m_acceptor(io, {asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    void setExtra(std::string extra)
    {
        m_extra = std::move(extra);
    }

    std::size_t connectionCount() const
    {
        return m_connectionCount;
    }

    std::size_t requestCount() const
    {
        return m_requestCount;
    }

    /** Requests that came on a connection that had had one before. */
    std::size_t reuseCount() const
    {
        return m_reuseCount;
    }

private:
    struct Peer
    {
        asio::ip::tcp::socket socket;
        std::array<char, 4096> buf{};
        std::string in;
        std::string out;
        std::size_t requests = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](asio::error_code ec, asio::ip::tcp::socket socket) {
            if (!ec) {
                ++m_connectionCount;
                read(std::make_shared<Peer>(Peer{std::move(socket), {}, {}, {}, 0}));
                accept();
            }
        });
    }

    void read(const std::shared_ptr<Peer> &peer)
    {
        peer->socket.async_read_some(asio::buffer(peer->buf), [this, peer](asio::error_code ec, std::size_t n) {
            if (ec) {
                return;
            }
            peer->in.append(peer->buf.data(), n);
            if (peer->in.find("\r\n\r\n") != std::string::npos) {
                answer(*peer);
            }
            read(peer);
        });
    }

    /** No request has a body. */
    void answer(Peer &peer)
    {
        constexpr std::string_view name = "Attempt-Id: ";
        const auto begin = peer.in.find(name) + name.size();
        const auto id = peer.in.substr(begin, peer.in.find('\r', begin) - begin);
        peer.in.clear();
        ++m_requestCount;
        m_reuseCount += peer.requests > 0 ? 1 : 0;
        peer.out = peer.requests++ > 0 ? m_extra : std::string();
        peer.out += fmt::format(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nReplica-Signature: s\r\nContent-Length: 2\r\n\r\nok", id);
        asio::error_code ec;
        asio::write(peer.socket, asio::buffer(peer.out), ec); // The gateway may have closed the connection.
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_extra;
    std::size_t m_connectionCount = 0;
    std::size_t m_requestCount = 0;
    std::size_t m_reuseCount = 0;
};

} // namespace

/** Guards against a copy of an earlier refusal, on a connection in use again, that passes for the answer to a request. */
class KeptConnectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeptConnectionTest);
    CPPUNIT_TEST(earlierRefusalIsNoAnswer);
    CPPUNIT_TEST(refusalWithoutIdIsNoAnswer);
    CPPUNIT_TEST(nonIdempotentRequestGetsANewConnection);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context m_io;
    std::unique_ptr<fakes::FakeStore> m_store;
    std::unique_ptr<RepeatingServer> m_server;
    std::unique_ptr<GatewayProcess> m_gateway;
    std::size_t m_count = 0;

    static std::string refusal(int status, const std::string &headers)
    {
        return fmt::format("HTTP/1.1 {} Refused\r\n{}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, headers);
    }

    RawAnswer call(const std::string &path)
    {
        RawCaller caller(m_io, m_gateway->process().port());
        caller.send(
            fmt::format("GET {} HTTP/1.1\r\nHost: h\r\nAttempt-Id: a{}\r\nApi-Key: k\r\n\r\n", path, ++m_count));
        return caller.answer();
    }

public:
    void setUp() override
    {
        m_store = std::make_unique<fakes::FakeStore>(m_io);
        m_server = std::make_unique<RepeatingServer>(m_io);
        m_store->put("op/config",
                     R"({"version":1,"routes":[)"
                     R"({"name":"u","host":"h","prefix":"/u/","kind":"unsafe",)"
                     R"("timeout_ms":20000,"target_latency_ms":5000,"service":"s","max_attempts":2},)"
                     R"({"name":"s","host":"h","prefix":"/s/","kind":"safe",)"
                     R"("timeout_ms":20000,"target_latency_ms":5000,"service":"s","max_attempts":2}],)"
                     R"("services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["k"]}]})");
        m_store->put("servers/i-1",
                     fmt::format(R"({{"service":"s","zone":"d","state":"ready","address":"127.0.0.1:{}","born":1}})",
                                 m_server->port()));
        m_gateway = std::make_unique<GatewayProcess>(m_io, m_store->port(), std::vector<std::string>());
    }

    void tearDown() override
    {
        m_gateway.reset();
        m_server.reset();
        m_store.reset();
        m_io.restart();
        m_io.poll();
    }

    void earlierRefusalIsNoAnswer()
    {
        CPPUNIT_ASSERT_EQUAL(200, call("/s/x").status);
        for (const int status : {421, 429, 503, 400}) {
            m_server->setExtra(refusal(status, "Attempt-Id: a1\r\n"));
            const auto answer = call("/s/x");
            CPPUNIT_ASSERT_EQUAL(200, answer.status);
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), answer.body);
            m_server->setExtra({});
            CPPUNIT_ASSERT_EQUAL(200, call("/s/x").status);
        }
        CPPUNIT_ASSERT(m_server->reuseCount() >= 4);
    }

    /** The request has run, so no status may promise that it has not. */
    void refusalWithoutIdIsNoAnswer()
    {
        std::size_t repeats = 0;
        for (const int status : {421, 429, 503, 400}) {
            while (call("/s/x").status != 200) { // The server is paused after a fault.
            }
            const auto reuses = m_server->reuseCount();
            m_server->setExtra(refusal(status, {}));
            const auto answer = call("/s/x");
            m_server->setExtra({});
            repeats += m_server->reuseCount() - reuses;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 502, answer.status);
        }
        CPPUNIT_ASSERT(repeats > 0);
    }

    void nonIdempotentRequestGetsANewConnection()
    {
        m_server->setExtra(refusal(503, {}));
        for (int n = 0; n < 5; ++n) {
            CPPUNIT_ASSERT_EQUAL(200, call("/u/x").status);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->reuseCount());
        CPPUNIT_ASSERT_EQUAL(m_server->requestCount(), m_server->connectionCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeptConnectionTest);

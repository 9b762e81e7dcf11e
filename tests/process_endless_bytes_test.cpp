#include "fake_store.h"
#include "gateway_process.h"

#include <asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <array>
#include <memory>
#include <set>
#include <vector>

using namespace turmericline;
using namespace std::chrono_literals;

namespace {

/** What a server in trouble sends, again and again, until its caller closes the connection. */
struct EndlessAnswer
{
    std::string name;
    std::string start; ///< Sent once.
    std::string rest; ///< Sent without end.
};

/** Server that answers each connection with bytes without end. */
class EndlessServer
{
public:
    EndlessServer(asio::io_context &io, EndlessAnswer answer)
        : m_acceptor(io, {asio::ip::address_v4::loopback(), 0})
        , m_answer(std::move(answer))
    {
        while (m_answer.rest.size() < blockBytes) {
            m_answer.rest += m_answer.rest;
        }
        accept();
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    std::size_t openCount() const
    {
        return m_open.size();
    }

private:
    static constexpr std::size_t blockBytes = 16U << 10U;

    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    void accept()
    {
        m_acceptor.async_accept([this](asio::error_code ec, asio::ip::tcp::socket socket) {
            if (ec) {
                return;
            }
            auto it = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
            m_open.insert(it);
            it->async_read_some(asio::buffer(m_request), [this, it](asio::error_code readError, std::size_t) {
                if (!readError) {
                    send(it, m_answer.start);
                } else {
                    m_open.erase(it);
                }
            });
            accept();
        });
    }

    void send(const Socket &it, const std::string &bytes)
    {
        asio::async_write(*it, asio::buffer(bytes), [this, it](asio::error_code ec, std::size_t) {
            if (ec) {
                m_open.erase(it);
            } else {
                send(it, m_answer.rest);
            }
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    EndlessAnswer m_answer;
    std::set<Socket> m_open;
    std::array<char, 4'096> m_request{};
};

} // namespace

/** Guards against servers that send bytes without end: they must not fill a gateway's memory or hold up its callers. */
class EndlessBytesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessBytesTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

    /** Servers that send bytes without end at the same time. */
    static constexpr std::size_t serverCount = 50;
    /** Memory of the smallest instances of gateways that the users run, in MB. */
    static constexpr std::size_t memoryLimit = 160;
    static constexpr std::size_t timeoutMs = 4'000;

    asio::io_context m_io;
    std::unique_ptr<fakes::FakeStore> m_store;
    std::vector<std::unique_ptr<EndlessServer>> m_servers;
    std::unique_ptr<GatewayProcess> m_gateway;

    static std::vector<EndlessAnswer> answers()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nReplica-Signature: s\r\n";
        const std::string stream = head + "Content-Type: text/event-stream\r\n";
        return {
            {"no head", "", "x"},
            {"no end of the head", head + "X: ", "x"},
            {"fields", head, "X: y\r\n"},
            {"informational answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"answers to others", "", "HTTP/1.1 200 OK\r\nAttempt-Id: z\r\nContent-Length: 1\r\n\r\nx"},
            {"unsigned body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
            {"an event", stream + "\r\n", "data: x\n"},
            {"a chunk's extension", stream + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
            {"trailers", stream + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
            {"chunks", stream + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
        };
    }

    void start()
    {
        m_store = std::make_unique<fakes::FakeStore>(m_io);
        m_store->put(
            "op/config",
            fmt::format(R"({{"version":1,"routes":[{{"name":"r","host":"h","prefix":"/e/","kind":"stream",)"
                        R"("resume_streams":true,"timeout_ms":{},"target_latency_ms":100,"service":"s",)"
                        R"("max_attempts":2,"allow_anonymous":true}}],"services":[{{"name":"s"}}],"tenants":[]}})",
                        timeoutMs));
        const auto kinds = answers();
        for (std::size_t i = 0; i < serverCount; ++i) {
            m_servers.push_back(std::make_unique<EndlessServer>(m_io, kinds[i % kinds.size()]));
            m_store->put(
                "servers/i-" + std::to_string(i),
                fmt::format(R"({{"service":"s","address":"127.0.0.1:{}","zone":"d","slots":8,"state":"ready"}})",
                            m_servers.back()->port()));
        }
        m_gateway = std::make_unique<GatewayProcess>(m_io, m_store->port(), std::vector<std::string>{});
    }

public:
    void tearDown() override
    {
        m_gateway.reset();
        m_servers.clear();
        m_store.reset();
    }

    void memoryIsBoundedAndCallersAreAnswered()
    {
        start();
        const auto begin = std::chrono::steady_clock::now();
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (std::size_t i = 0; i < serverCount; ++i) {
            callers.push_back(std::make_unique<RawCaller>(m_io, m_gateway->process().port()));
            callers.back()->send("GET /e/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a" + std::to_string(i) + "\r\n\r\n");
        }
        for (const auto &it : callers) {
            const auto status = it->answer().status;
            // No server gave an answer. Some have begun to run the request, so 503 would not be true of all.
            CPPUNIT_ASSERT_MESSAGE(std::to_string(status), status == 502 || status == 503 || status == 504);
        }
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < std::chrono::milliseconds(timeoutMs) + 4s);
        CPPUNIT_ASSERT_EQUAL(200, m_gateway->readiness());
        const auto peak = m_gateway->process().memoryKiB("VmHWM") / 1'024;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(peak) + " MB", peak < memoryLimit);
        // The connections of broken answers are closed, so that the servers stop.
        std::size_t open = serverCount;
        while (open > 0) {
            m_io.run_one();
            open = 0;
            for (const auto &it : m_servers) {
                open += it->openCount();
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessBytesTest);

#pragma once

#include "client_answer.h"
#include "fake_store.h"
#include "gateway_process.h"
#include "scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <memory>
#include <string>

/** A gateway in front of one server that follows a script, and clients that judge what they get. */
class BrokenAnswerFixture : public CppUnit::TestFixture
{
protected:
    /** A server is avoided for a time after a broken answer, so there are many, all at one address. */
    static constexpr int serverNames = 400;
    static constexpr const char *unsafePath = "/u/x";
    static constexpr const char *safePath = "/s/x";
    static constexpr const char *streamPath = "/e/x";

    asio::io_context m_io;
    std::unique_ptr<turmericline::fakes::FakeStore> m_store;
    ServerScript m_script; ///< For the requests from now on.
    std::unique_ptr<ScriptedServer> m_server;
    std::unique_ptr<GatewayProcess> m_gateway;

    static std::string head(const std::string &fields, const std::string &status = "HTTP/1.1 200 OK")
    {
        return status + "\r\nReplica-Signature: s\r\n" + fields + "\r\n";
    }

    static std::string withLength(const std::string &body, const std::string &fields = {})
    {
        return head(fields + fmt::format("Content-Length: {}\r\n", body.size())) + body;
    }

    void startGateway(std::vector<std::string> arguments = {})
    {
        arguments.emplace_back("--request-memory-mb=128");
        m_gateway.reset();
        m_gateway = std::make_unique<GatewayProcess>(m_io, m_store->port(), arguments);
    }

    std::string request(const std::string &path, std::size_t bodyBytes) const
    {
        return fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nConnection: close\r\n"
                           "Content-Length: {}\r\n\r\n",
                           path,
                           bodyBytes)
               + std::string(bodyBytes, 'u');
    }

    /** Sends a request until the gateway has passed it on; it refuses requests while it avoids all servers. */
    ClientAnswer call(const std::string &path, std::size_t bodyBytes = 4)
    {
        for (;;) {
            const auto before = m_server->requestCount();
            RawCaller caller(m_io, m_gateway->process().port());
            caller.send(request(path, bodyBytes));
            auto got = readClientAnswer(caller.rest());
            if (m_server->requestCount() > before) {
                return got;
            }
            CPPUNIT_ASSERT_EQUAL(503, got.answer.status);
        }
    }

    static std::string describe(const std::string &name, const ClientAnswer &got)
    {
        return fmt::format("{}: {} {} body of {} bytes after\n{}",
                           name,
                           got.isWhole ? "whole" : "cut",
                           got.answer.status,
                           got.answer.body.size(),
                           got.answer.head);
    }

    /** The answer is the gateway's own, and does not state that the request has not run. */
    static void expectFailure(const std::string &name, const ClientAnswer &got)
    {
        const auto text = describe(name, got);
        CPPUNIT_ASSERT_MESSAGE(text, got.isWhole);
        CPPUNIT_ASSERT_MESSAGE(text, got.answer.status == 502 || got.answer.status == 504);
        CPPUNIT_ASSERT_MESSAGE(text, got.answer.header("Replica-Signature").empty());
    }

    /** As expectFailure(), or the beginning of an answer whose end the client misses. */
    static void expectNotWhole(const std::string &name, const ClientAnswer &got)
    {
        if (got.isWhole) {
            expectFailure(name, got);
        } else {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(name, got), 200, got.answer.status);
        }
    }

    static void expectWhole(const std::string &name, const ClientAnswer &got, const std::string &body, int status = 200)
    {
        const auto text = describe(name, got);
        CPPUNIT_ASSERT_MESSAGE(text, got.isWhole);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, status, got.answer.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("s"), got.answer.header("Replica-Signature"));
        CPPUNIT_ASSERT_MESSAGE(text, body == got.answer.body);
    }

    /** The server sends @p bytes and ends its direction; if they state a length, also without an end. */
    void expectBroken(const std::string &bytes)
    {
        for (const auto end : {ServerEnd::HalfClose, ServerEnd::Keep}) {
            m_script = {bytes, end};
            m_script.readsBody = true;
            expectFailure(bytes, call(unsafePath));
            if (bytes.find("Content-Length: 2\r\n") == std::string::npos) {
                break; // Without a length only the end of the connection ends the answer.
            }
        }
    }

public:
    void setUp() override
    {
        m_store = std::make_unique<turmericline::fakes::FakeStore>(m_io);
        m_server = std::make_unique<ScriptedServer>(m_io, [this](const std::string &) {
            return m_script;
        });
        const auto route = [](const char *prefix, const char *kind) {
            return fmt::format(R"({{"name":"{1}","host":"h","prefix":"{0}","kind":"{1}","timeout_ms":20000,)"
                               R"("target_latency_ms":5000,"service":"s","max_attempts":2,"allow_anonymous":true}})",
                               prefix,
                               kind);
        };
        m_store->put("op/config",
                     fmt::format(R"({{"version":1,"routes":[{},{},{}],"services":[{{"name":"s"}}],"tenants":[],)"
                                 R"("limits":{{"max_header_bytes":16384,"max_body_bytes":16000000,)"
                                 R"("header_timeout_ms":20000,"idle_timeout_ms":20000}}}})",
                                 route("/u/", "unsafe"),
                                 route("/s/", "safe"),
                                 route("/e/", "stream")));
        for (int n = 0; n < serverNames; ++n) {
            m_store->put(fmt::format("servers/i-{}", n),
                         fmt::format(R"({{"service":"s","address":"127.0.0.1:{}","zone":"d","state":"ready"}})",
                                     m_server->port()));
        }
        startGateway();
    }

    void tearDown() override
    {
        m_gateway.reset();
        m_server.reset();
        m_store.reset();
        m_io.restart();
        m_io.poll();
    }
};

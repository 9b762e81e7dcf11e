#pragma once

#include "fake_platform.h"
#include "fake_store.h"
#include "gateway_process.h"
#include "unread_bytes.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

/**
 * A gateway whose limits are lowered, one backend server, and many callers that stop just short of the end of their
 * requests. Their number and the bounds are the same for all cases.
 */
class UntrustedCallers
{
public:
    static constexpr std::size_t callerCount = 120;
    static constexpr std::size_t maxBodyBytes = 1'000'000; ///< Limit of the configuration.
    static constexpr std::size_t memoryBoundMiB = 48;
    static constexpr std::size_t descriptorBound = 200;

    UntrustedCallers()
    {
        // An environment variable, as a program without this setting rejects the flag.
        ::setenv("TURMERICLINE_REQUEST_MEMORY_MB", "16", 1);
        m_store.put("op/config",
                    fmt::format(R"({{"version":1,"routes":[{{"name":"r","host":"h","prefix":"/u/","kind":"unsafe",)"
                                R"("timeout_ms":60000,"target_latency_ms":20000,"service":"s",)"
                                R"("allow_anonymous":true}}],"services":[{{"name":"s"}}],"tenants":[],)"
                                R"("limits":{{"max_header_bytes":16384,"max_body_bytes":{},)"
                                R"("header_timeout_ms":60000,"idle_timeout_ms":60000}}}})",
                                maxBodyBytes));
        m_store.put(
            "servers/i-1",
            fmt::format(R"({{"service":"s","address":"127.0.0.1:{}","zone":"d","state":"ready"}})", m_replica.port()));
        m_gateway = std::make_unique<GatewayProcess>(m_io, m_store.port(), std::vector<std::string>{});
        for (std::size_t n = 0; n < callerCount; ++n) {
            m_callers.push_back(std::make_unique<RawCaller>(m_io, m_gateway->process().port()));
        }
    }

    static std::string headWithLength(std::size_t length)
    {
        return fmt::format("POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nContent-Length: {}\r\n\r\n", length);
    }

    static std::string headWithChunks()
    {
        return "POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static std::string chunks(std::size_t bytes, std::size_t chunkBytes)
    {
        const std::string chunk = fmt::format("{:x}\r\n{}\r\n", chunkBytes, std::string(chunkBytes, 'x'));
        std::string text;
        for (std::size_t n = 0; n < bytes / chunkBytes; ++n) {
            text += chunk;
        }
        return text;
    }

    /** Each caller sends @p bytes, as far as its connection stays open. */
    void sendAll(const std::string &bytes)
    {
        for (const auto &it : m_callers) {
            it->send(bytes);
        }
    }

    /** The process lives, within its bounds, and answers one ordinary request. */
    void expectSound()
    {
        while (unreadBytes(m_gateway->process().port()) > 0) {
            m_io.poll();
        }
        CPPUNIT_ASSERT_EQUAL(200, m_gateway->readiness());
        RawCaller caller(m_io, m_gateway->process().port());
        caller.send(headWithLength(4) + "body");
        CPPUNIT_ASSERT_EQUAL(200, caller.answer().status);
        const auto peak = m_gateway->process().memoryKiB("VmHWM") / 1'024;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(peak) + " MB", peak < memoryBoundMiB);
        const auto files = m_gateway->process().openFiles();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(files) + " descriptors", files < descriptorBound);
    }

    /** Sends one request on a connection of its own. */
    RawAnswer call(const std::string &bytes)
    {
        RawCaller caller(m_io, m_gateway->process().port());
        caller.send(bytes);
        return caller.answer();
    }

    /** Sends a body in @p pieces pieces, each once the one before has been read; returns how often 100 is answered. */
    std::size_t continuesFor(std::size_t pieces)
    {
        const auto port = m_gateway->process().port();
        RawCaller caller(m_io, port);
        caller.send("POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nExpect: 100-continue\r\nConnection: close\r\n"
                    "Content-Length: "
                    + std::to_string(pieces) + "\r\n\r\n");
        for (std::size_t n = 0; n < pieces; ++n) {
            caller.send("x");
            while (unreadBytes(port) > 0) {
                m_io.poll();
            }
        }
        const auto answers = caller.rest();
        std::size_t count = 0;
        for (auto at = answers.find("100 Continue"); at != std::string::npos;
             at = answers.find("100 Continue", at + 1)) {
            ++count;
        }
        return count;
    }

    void closeCallers()
    {
        m_callers.clear();
    }

private:
    asio::io_context m_io;
    turmericline::fakes::FakeStore m_store{m_io};
    turmericline::fakes::FakeReplica m_replica{m_io};
    std::unique_ptr<GatewayProcess> m_gateway;
    std::vector<std::unique_ptr<RawCaller>> m_callers;
};

#pragma once

#include "fake_platform.h"
#include "fake_store.h"
#include "gateway_process.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>
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
        while (unreadBytes() > 0) {
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

    void closeCallers()
    {
        m_callers.clear();
    }

private:
    /** Bytes that the kernel holds because the gateway has not read them yet. */
    std::uint64_t unreadBytes()
    {
        const auto port = fmt::format(":{:04X}", std::stoi(m_gateway->process().port()));
        std::ifstream file("/proc/net/tcp");
        std::uint64_t bytes = 0;
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        for (std::string line; std::getline(file, line);) {
            std::istringstream fields(line);
            fields >> slot >> local >> remote >> state >> queues;
            if (local.ends_with(port) && state == established) {
                bytes += std::stoull(queues.substr(queues.find(':') + 1), nullptr, 16);
            }
        }
        return bytes;
    }

    static constexpr const char *established = "01"; ///< In /proc/net/tcp.

    asio::io_context m_io;
    turmericline::fakes::FakeStore m_store{m_io};
    turmericline::fakes::FakeReplica m_replica{m_io};
    std::unique_ptr<GatewayProcess> m_gateway;
    std::vector<std::unique_ptr<RawCaller>> m_callers;
};

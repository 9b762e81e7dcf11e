#pragma once

#include "child_process.h"
#include "raw_caller.h"

#include <string>
#include <vector>

/** A gateway as a process on loopback, ready when it is constructed. */
class GatewayProcess
{
public:
    GatewayProcess(asio::io_context &io, std::uint16_t storePort, const std::vector<std::string> &moreArguments)
        : m_io(io)
        , m_process(io, "turmericline-gateway", argumentsOf(storePort, moreArguments))
    {
        while (readiness() != 200) {
        }
    }

    ChildProcess &process()
    {
        return m_process;
    }

    /** Sends a GET to the port of the readiness check. */
    RawAnswer get(const std::string &path)
    {
        RawCaller caller(m_io, m_process.port("ready_port"));
        caller.send("GET " + path + " HTTP/1.1\r\nHost: g\r\n\r\n");
        return caller.answer();
    }

    int readiness()
    {
        return get("/v1/ready").status;
    }

private:
    static std::vector<std::string> argumentsOf(std::uint16_t storePort, const std::vector<std::string> &moreArguments)
    {
        std::vector<std::string> arguments{"--name=g",
                                           "--domain=d",
                                           "--listen=127.0.0.1:0",
                                           "--ready=127.0.0.1:0",
                                           "--store=127.0.0.1:" + std::to_string(storePort),
                                           "--log-level=error"};
        arguments.insert(arguments.end(), moreArguments.begin(), moreArguments.end());
        return arguments;
    }

    asio::io_context &m_io;
    ChildProcess m_process;
};

#pragma once

#include "fake_server.h"

#include <asio/steady_timer.hpp>

#include <map>

namespace turmericline::fakes {

struct FakeServiceConfig
{
    std::uint16_t port = 0;
    std::chrono::milliseconds delay{0}; ///< From the execution to the answer.
    std::function<void()> crash; ///< Called instead of ending the process.
};

/**
 * A plain service: every call to any path is executed and counted by its Idempotency-Key, without deduplication.
 * "GET /counts" gives the counts. "POST /control/fault" takes {"mode":"ok|crash|stall|reject","text":..,"delay_ms":..}:
 * crash ends the process when a body contains the text, before the answer but after the execution was counted; stall
 * executes but does not answer; reject answers 503 without executing.
 */
class FakeService final : public FakeServer
{
public:
    FakeService(asio::io_context &io, FakeServiceConfig config);

    /** Executions by key; calls without a key are counted under "". */
    const std::map<std::string, std::uint64_t, std::less<>> &counts() const;
    void setFault(const Json &fault);

private:
    void handle(HttpRequest request, ResponderPtr responder) override;
    void execute(const HttpRequest &request, const ResponderPtr &responder);
    bool faultMatches(std::string_view mode, std::string_view body) const;

    asio::io_context &m_io;
    FakeServiceConfig m_config;
    std::map<std::string, std::uint64_t, std::less<>> m_counts;
    std::string m_mode = "ok";
    std::string m_text;
};

} // namespace turmericline::fakes

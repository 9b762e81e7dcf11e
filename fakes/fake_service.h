#pragma once

#include "fake_server.h"

#include <asio/steady_timer.hpp>

#include <map>

namespace turmericline::fakes {

struct FakeServiceConfig
{
    std::uint16_t port = 0;
    std::chrono::milliseconds delay{0}; ///< Delay from execution to response.
    std::function<void()> crash; ///< Called on a crash fault; by default exits the process.
};

/**
 * Fake of a plain service: executes every call to any path and counts it by its Idempotency-Key, without deduplication.
 * "GET /counts" returns the counts. "POST /control/fault" takes
 * {"mode":"ok|crash|stall|reject","text":..,"delay_ms":..}. The mode applies to calls whose body contains the text:
 * crash exits the process after the execution was counted and before the response; stall executes but does not answer;
 * reject answers 503 without executing.
 */
class FakeService final : public FakeServer
{
public:
    FakeService(asio::io_context &io, FakeServiceConfig config);

    /** Number of executions by key; calls without a key count under "". */
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

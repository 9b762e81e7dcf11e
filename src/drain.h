#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>

namespace turmericline {

struct DrainConfig
{
    std::chrono::milliseconds notice{5'000}; ///< Time to keep listening, until a load balancer in front stops sending.
    std::chrono::milliseconds deadline{120'000}; ///< Time limit for requests in flight, from the first signal.
};

/** Phases of a graceful shutdown, in this order. */
enum class DrainPhase {
    Serving,
    Notice, ///< Reported as not ready, but still accepting.
    Closing, ///< Not accepting; waiting for requests in flight.
    Done,
};

/** Graceful shutdown on SIGTERM or SIGINT. A second signal ends the notice, but does not cut off requests in flight. */
class DrainControl
{
public:
    struct Handlers
    {
        std::function<void()> onNotice;
        std::function<void()> stopListening;
        std::function<bool()> isIdle;
        std::function<void()> onDone;
    };

    DrainControl(asio::io_context &io, DrainConfig config, Handlers handlers);

    DrainPhase phase() const
    {
        return m_phase;
    }
    /** Whether the shutdown has begun, and its time limit is before @p time. */
    bool isOverBefore(std::chrono::steady_clock::time_point time) const
    {
        return m_phase != DrainPhase::Serving && m_started + m_config.deadline < time;
    }
    /** Starts the shutdown, as the first signal does. */
    void begin();

private:
    void waitForSignal();
    void closeListener();
    void pollIdle();

    DrainConfig m_config;
    Handlers m_handlers;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    std::chrono::steady_clock::time_point m_started;
    DrainPhase m_phase = DrainPhase::Serving;
};

} // namespace turmericline

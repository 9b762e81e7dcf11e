#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>

namespace turmericline {

struct DrainConfig
{
    std::chrono::milliseconds notice{5'000}; ///< Listening goes on while the balancer still sends.
    std::chrono::milliseconds deadline{120'000}; ///< For requests in flight, from the first signal.
};

enum class DrainPhase {
    Serving,
    Notice, ///< Not ready any more, still accepting.
    Closing, ///< Not accepting; requests in flight finish.
    Done,
};

/**
 * Graceful shutdown on SIGTERM or SIGINT. A second signal skips the notice, never the requests in flight.
 */
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
    /** The same as the first signal. */
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

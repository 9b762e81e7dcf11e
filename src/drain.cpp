#include "drain.h"

#include "log.h"

#include <csignal>

namespace turmericline {

namespace {

constexpr std::chrono::milliseconds idlePollInterval{20};

}

DrainControl::DrainControl(asio::io_context &io, DrainConfig config, Handlers handlers)
    : m_config(config)
    , m_handlers(std::move(handlers))
    , m_signals(io, SIGTERM, SIGINT)
    , m_timer(io)
{
    waitForSignal();
}

void DrainControl::waitForSignal()
{
    m_signals.async_wait([this](asio::error_code ec, int) {
        if (ec) {
            return;
        }
        if (m_phase == DrainPhase::Serving) {
            begin();
        } else if (m_phase == DrainPhase::Notice) {
            closeListener();
        }
        waitForSignal();
    });
}

void DrainControl::begin()
{
    if (m_phase != DrainPhase::Serving) {
        return;
    }
    m_phase = DrainPhase::Notice;
    m_started = std::chrono::steady_clock::now();
    logEvent(LogLevel::Info, "draining", {{"notice_ms", m_config.notice.count()}});
    m_handlers.onNotice();
    m_timer.expires_after(m_config.notice);
    m_timer.async_wait([this](asio::error_code ec) {
        if (!ec) {
            closeListener();
        }
    });
}

void DrainControl::closeListener()
{
    if (m_phase != DrainPhase::Notice) {
        return;
    }
    m_phase = DrainPhase::Closing;
    m_handlers.stopListening();
    pollIdle();
}

void DrainControl::pollIdle()
{
    const bool expired = std::chrono::steady_clock::now() - m_started >= m_config.deadline;
    if (expired || m_handlers.isIdle()) {
        m_phase = DrainPhase::Done;
        logEvent(LogLevel::Info, "stopped", {{"deadline_reached", expired}});
        m_signals.cancel();
        m_handlers.onDone();
        return;
    }
    m_timer.expires_after(idlePollInterval);
    m_timer.async_wait([this](asio::error_code ec) {
        if (!ec) {
            pollIdle();
        }
    });
}

} // namespace turmericline

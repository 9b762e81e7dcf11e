#pragma once

#include "engine_batch.h"
#include "fake_server.h"

#include <asio/steady_timer.hpp>

#include <deque>
#include <map>

namespace turmericline::fakes {

struct FakeEngineConfig
{
    std::uint16_t port = 0;
    std::string model = "assistant";
    BatchConfig batch;
    std::chrono::milliseconds loadLag{0};
    std::chrono::milliseconds cacheEventLag{0};
    std::uint64_t cacheEventGap = 0; ///< Every event whose number is a multiple of this is lost; 0 loses none.
    bool checksFencing = true;
    std::function<void()> crash; ///< Called instead of ending the process.
    std::function<TimePoint()> now = [] {
        return std::chrono::steady_clock::now();
    };
};

/**
 * An inference engine with continuous batching.
 *
 * - "POST /v1/completions" and "/v1/chat/completions" with "X-Priority" and "X-Resume-Offset".
 * - "GET /load": {"running","queued","slots"} as of loadLag ago; "GET /v1/models"; "GET /health".
 * - "GET /cache-events?after=N": {"events":[{"seq","type":"stored|evicted","block"}],"last":N}, late and with gaps.
 * - "POST /orders" with X-Fencing-Token; "GET /orders": the accepted ones.
 * - "GET /counts": times that a request was admitted to the batch, by its "user" member; requests without are not kept.
 * - "POST /control/fault": {"mode":"ok|crash|stall|truncate|abort|reject","text":..,"after_tokens":N,"rank":i,"factor":f}. The
 *   fault hits when a request whose body contains the text arrives, or once it has N tokens. Stall stops all answers
 *   until the mode is set again; truncate ends the stream without "[DONE]", abort closes the connection.
 */
class FakeEngine final : public FakeServer
{
public:
    FakeEngine(asio::io_context &io, FakeEngineConfig config);
    ~FakeEngine() override;

    void setFault(const Json &fault);
    const std::map<std::string, std::uint64_t, std::less<>> &counts() const;
    const std::vector<Json> &orders() const;
    std::size_t running() const;
    std::size_t queued() const;

private:
    struct Completion;
    struct Load
    {
        std::size_t running = 0;
        std::size_t queued = 0;
    };
    struct TimedCacheEvent
    {
        TimePoint time;
        std::uint64_t number = 0;
        CacheEvent event;
    };
    struct Fault
    {
        std::string mode = "ok";
        std::string text;
        std::uint32_t afterTokens = 0;
    };

    void handle(HttpRequest request, ResponderPtr responder) override;
    void connectionClosed(std::uint64_t connection) override;
    void handleGet(const HttpRequest &request, HttpResponder &responder);
    void handleOrder(const HttpRequest &request, HttpResponder &responder);
    void handleCacheEvents(const HttpRequest &request, HttpResponder &responder);
    void handleCompletion(const HttpRequest &request, const ResponderPtr &responder);
    void startCompletion(Completion completion, BatchJob job);

    void driveSteps();
    void finishStep();
    void deliver(const BatchToken &token);
    void finish(Completion &completion);
    /** Applies the fault to a matching completion; true if it must not go on. */
    bool applyFault(Completion &completion);
    void recordState();

    asio::io_context &m_io;
    FakeEngineConfig m_config;
    EngineBatch m_batch;
    asio::steady_timer m_stepTimer;
    bool m_stepRunning = false;
    bool m_stalled = false;
    Fault m_fault;
    std::map<std::uint64_t, Completion> m_completions;
    std::uint64_t m_lastId = 0;
    Lagged<Load> m_load;
    std::deque<TimedCacheEvent> m_cacheEvents;
    std::uint64_t m_lastCacheEvent = 0;
    std::uint64_t m_fencingToken = 0;
    std::vector<Json> m_orders;
    std::map<std::string, std::uint64_t, std::less<>> m_counts;
};

} // namespace turmericline::fakes

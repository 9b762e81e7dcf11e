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
    std::uint64_t cacheEventGap = 0; ///< Events with multiples of this number are dropped; 0 drops none.
    bool checksFencing = true;
    std::function<void()> crash; ///< Called on a crash fault; by default exits the process.
    std::function<TimePoint()> now = [] {
        return std::chrono::steady_clock::now();
    };
};

/**
 * Fake of an inference engine with continuous batching.
 *
 * - "POST /v1/completions" and "/v1/chat/completions" with "X-Priority" and "X-Resume-Offset".
 * - "GET /load": {"running","queued","slots"}, delayed by loadLag; "GET /v1/models"; "GET /health".
 * - "GET /cache-events?after=N": {"events":[{"seq","type":"stored|evicted","block"}],"last":N}, with configurable lag
 *   and gaps.
 * - "POST /orders" with X-Fencing-Token; "GET /orders": the accepted orders.
 * - "GET /counts": how often requests were admitted to the batch, by "user" member; others are not counted.
 * - "POST /control/fault": {"mode":"ok|crash|stall|truncate|abort|reject","text":..,"after_tokens":N,"rank":i,
 *   "factor":f}. The fault is triggered by a request whose body contains the text, on arrival or after N tokens. Stall
 *   stops all responses until the mode is set again; truncate ends the stream without "[DONE]"; abort closes the
 *   connection; reject answers 503.
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

    void startStep();
    void finishStep();
    void deliver(const BatchToken &token);
    void finish(Completion &completion);
    /** Triggers the fault if the completion matches it; returns true if the completion must not continue. */
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

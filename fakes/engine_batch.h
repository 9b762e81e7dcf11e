#pragma once

#include "document_type.h"
#include "prefix_cache.h"

#include <array>
#include <chrono>
#include <deque>
#include <optional>

namespace turmericline::fakes {

struct BatchConfig
{
    std::size_t slots = 8; ///< Maximum number of running requests.
    std::size_t queueLimit = 1024;
    std::size_t cacheBlocks = 4096;
    std::chrono::microseconds stepBase{4500};
    std::chrono::microseconds stepPerRequest{50};
    std::chrono::microseconds stepPerPrefillToken{10}; ///< Per uncached prompt token.
    std::size_t ranks = 1; ///< Ranks that advance in lock-step.
};

struct BatchJob
{
    std::uint64_t id = 0;
    RequestClass priority = RequestClass::Interactive;
    std::string prompt;
    std::uint32_t nextOffset = 0; ///< Offset of the next token; above 0 for a resumed request.
    std::uint32_t endOffset = 0; ///< Offset after the last token.
};

struct BatchToken
{
    std::uint64_t job = 0;
    std::uint32_t offset = 0;
    bool last = false;
    std::string text;
};

/** Returns the text of a token, which depends on the prompt and the offset only. */
std::string tokenText(std::string_view prompt, std::uint32_t offset);

/** Model of continuous batching without sockets or clock; the caller waits for the duration of each step. */
class EngineBatch
{
public:
    explicit EngineBatch(const BatchConfig &config);

    /** Queues a job; false if the queue is full. */
    bool submit(BatchJob job);
    void cancel(std::uint64_t id);
    /** Admits jobs by priority; returns the step's duration, or std::nullopt if no job runs or a rank is stalled. */
    std::optional<std::chrono::microseconds> beginStep();
    /** Returns one token for each running job and removes the jobs that are complete. */
    std::vector<BatchToken> finishStep();

    std::size_t running() const;
    std::size_t queued() const;
    /** Ids of the jobs that the last beginStep() admitted. */
    const std::vector<std::uint64_t> &admitted() const;
    /** Returns the changes of the prefix cache since the last call. */
    std::vector<CacheEvent> takeCacheEvents();
    /** Multiplies the step time of a rank by @p factor; 0 stalls it. Returns false if there is no such rank. */
    bool setRankFactor(std::size_t rank, double factor);

private:
    void admit();

    BatchConfig m_config;
    PrefixCache m_cache;
    std::vector<CacheEvent> m_cacheEvents;
    std::array<std::deque<BatchJob>, requestClassNames.size()> m_queues;
    std::vector<BatchJob> m_running;
    std::vector<std::uint64_t> m_admitted;
    std::vector<double> m_rankFactors;
    std::size_t m_prefillTokens = 0; ///< Uncached prompt tokens of the jobs admitted for the next step.
};

} // namespace turmericline::fakes

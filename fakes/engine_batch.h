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
    std::size_t slots = 8; ///< Requests that run at a time.
    std::size_t queueLimit = 1024;
    std::size_t cacheBlocks = 4096;
    std::chrono::microseconds stepBase{4500};
    std::chrono::microseconds stepPerRequest{50};
    std::chrono::microseconds stepPerPrefillToken{10}; ///< Per token of a prompt that is not cached.
    std::size_t ranks = 1; ///< Ranks in lock-step.
};

struct BatchJob
{
    std::uint64_t id = 0;
    RequestClass priority = RequestClass::Interactive;
    std::string prompt;
    std::uint32_t next = 0; ///< Offset of the next token; starts above 0 if the request resumes.
    std::uint32_t end = 0; ///< Offset behind the last token.
};

struct BatchToken
{
    std::uint64_t job = 0;
    std::uint32_t offset = 0;
    bool last = false;
    std::string text;
};

/** The text of a token, a function of the prompt and the offset alone. */
std::string tokenText(std::string_view prompt, std::uint32_t offset);

/** Continuous batching without sockets or clock: the caller lets the time of a step pass and then finishes it. */
class EngineBatch
{
public:
    explicit EngineBatch(const BatchConfig &config);

    /** Queues a job; false if the queue is full. */
    bool submit(BatchJob job);
    void cancel(std::uint64_t id);
    /** Admits jobs by priority and returns how long the step takes; nothing if no job runs or a rank is stalled. */
    std::optional<std::chrono::microseconds> beginStep();
    /** One token for each running job; finished jobs leave. */
    std::vector<BatchToken> finishStep();

    std::size_t running() const;
    std::size_t queued() const;
    /** Ids of the jobs that the last step admitted. */
    const std::vector<std::uint64_t> &admitted() const;
    /** Changes of the prefix cache since the last call. */
    std::vector<CacheEvent> takeCacheEvents();
    /** Factor on the step time of a rank; 0 stalls it. False if there is no such rank. */
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
    std::size_t m_prefillTokens = 0; ///< Of the jobs admitted for the next step.
};

} // namespace turmericline::fakes

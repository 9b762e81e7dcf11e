#include "engine_batch.h"

#include <xxhash.h>

#include <algorithm>

namespace turmericline::fakes {

namespace {

constexpr std::array<std::string_view, 16> words{" the",
                                                 " table",
                                                 " moves",
                                                 " at",
                                                 " five",
                                                 " hertz",
                                                 " then",
                                                 " stops",
                                                 " match",
                                                 " is",
                                                 " posted",
                                                 " and",
                                                 " memo",
                                                 " clears",
                                                 " with",
                                                 " care"};

} // namespace

std::string tokenText(std::string_view prompt, std::uint32_t offset)
{
    const auto hash = XXH64(prompt.data(), prompt.size(), offset);
    return std::string(words[hash % words.size()]) + std::to_string(hash / words.size() % 100);
}

EngineBatch::EngineBatch(const BatchConfig &config)
    : m_config(config)
    , m_cache(config.cacheBlocks)
    , m_rankFactors(std::max<std::size_t>(config.ranks, 1), 1.0)
{
}

bool EngineBatch::submit(BatchJob job)
{
    if (queued() >= m_config.queueLimit) {
        return false;
    }
    m_queues[static_cast<std::size_t>(job.priority)].push_back(std::move(job));
    return true;
}

void EngineBatch::cancel(std::uint64_t id)
{
    const auto matches = [id](const BatchJob &job) {
        return job.id == id;
    };
    std::erase_if(m_running, matches);
    for (auto &queue : m_queues) {
        std::erase_if(queue, matches);
    }
}

void EngineBatch::admit()
{
    m_admitted.clear();
    for (auto &queue : m_queues) {
        while (m_running.size() < m_config.slots && !queue.empty()) {
            BatchJob job = std::move(queue.front());
            queue.pop_front();
            const auto cached = m_cache.use(promptBlocks(job.prompt), m_cacheEvents) * blockBytes;
            m_prefillTokens += (job.prompt.size() - cached + bytesPerToken - 1) / bytesPerToken + job.nextOffset;
            m_admitted.push_back(job.id);
            m_running.push_back(std::move(job));
        }
    }
}

std::optional<std::chrono::microseconds> EngineBatch::beginStep()
{
    const auto [fastest, slowest] = std::minmax_element(m_rankFactors.begin(), m_rankFactors.end());
    if (*fastest <= 0) {
        return std::nullopt;
    }
    admit();
    if (m_running.empty()) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::micro> work = m_config.stepBase
                                                           + m_config.stepPerRequest * m_running.size()
                                                           + m_config.stepPerPrefillToken * m_prefillTokens;
    m_prefillTokens = 0;
    // Ranks advance in lock-step, so the slowest one determines the duration.
    return std::chrono::duration_cast<std::chrono::microseconds>(work * *slowest);
}

std::vector<BatchToken> EngineBatch::finishStep()
{
    std::vector<BatchToken> tokens;
    tokens.reserve(m_running.size());
    for (auto &job : m_running) {
        const auto offset = job.nextOffset++;
        tokens.push_back({job.id, offset, job.nextOffset >= job.endOffset, tokenText(job.prompt, offset)});
    }
    std::erase_if(m_running, [](const BatchJob &job) {
        return job.nextOffset >= job.endOffset;
    });
    return tokens;
}

std::size_t EngineBatch::running() const
{
    return m_running.size();
}

std::size_t EngineBatch::queued() const
{
    std::size_t n = 0;
    for (const auto &queue : m_queues) {
        n += queue.size();
    }
    return n;
}

const std::vector<std::uint64_t> &EngineBatch::admitted() const
{
    return m_admitted;
}

std::vector<CacheEvent> EngineBatch::takeCacheEvents()
{
    return std::exchange(m_cacheEvents, {});
}

bool EngineBatch::setRankFactor(std::size_t rank, double factor)
{
    if (rank >= m_rankFactors.size()) {
        return false;
    }
    m_rankFactors[rank] = factor;
    return true;
}

} // namespace turmericline::fakes

#include "prefix_cache.h"

#include <xxhash.h>

namespace turmericline::fakes {

std::vector<std::uint64_t> promptBlocks(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    blocks.reserve(prompt.size() / blockBytes);
    std::uint64_t hash = 0;
    for (std::size_t at = 0; at + blockBytes <= prompt.size(); at += blockBytes) {
        hash = XXH64(prompt.data() + at, blockBytes, hash);
        blocks.push_back(hash);
    }
    return blocks;
}

PrefixCache::PrefixCache(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::size_t PrefixCache::use(const std::vector<std::uint64_t> &blocks, std::vector<CacheEvent> &events)
{
    std::size_t cached = 0;
    while (cached < blocks.size() && m_index.contains(blocks[cached])) {
        ++cached;
    }
    // Touched from last to first, so that a block is evicted after the blocks that extend its prefix.
    for (auto it = blocks.rbegin(); it != blocks.rend(); ++it) {
        store(*it, events);
    }
    return cached;
}

std::size_t PrefixCache::size() const
{
    return m_index.size();
}

void PrefixCache::store(std::uint64_t block, std::vector<CacheEvent> &events)
{
    if (const auto it = m_index.find(block); it != m_index.end()) {
        m_lruBlocks.splice(m_lruBlocks.begin(), m_lruBlocks, it->second);
        return;
    }
    if (m_capacity == 0) {
        return;
    }
    if (m_index.size() == m_capacity) {
        events.push_back({false, m_lruBlocks.back()});
        m_index.erase(m_lruBlocks.back());
        m_lruBlocks.pop_back();
    }
    m_lruBlocks.push_front(block);
    m_index.emplace(block, m_lruBlocks.begin());
    events.push_back({true, block});
}

} // namespace turmericline::fakes

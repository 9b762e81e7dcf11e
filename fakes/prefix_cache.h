#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericline::fakes {

/** Size of a cache block in bytes of prompt text. */
inline constexpr std::size_t blockBytes = 64;
inline constexpr std::size_t bytesPerToken = 4;

/** Returns the hashes of the full blocks of a prompt; each covers the prompt from its start to the end of the block. */
std::vector<std::uint64_t> promptBlocks(std::string_view prompt);

struct CacheEvent
{
    bool stored = false; ///< False if evicted.
    std::uint64_t block = 0;
};

/** LRU cache of prefix blocks with a fixed capacity. */
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity);

    /** Returns the number of leading blocks that were cached; caches all blocks and appends changes to @p events. */
    std::size_t use(const std::vector<std::uint64_t> &blocks, std::vector<CacheEvent> &events);
    std::size_t size() const;

private:
    void store(std::uint64_t block, std::vector<CacheEvent> &events);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_lruBlocks; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
};

} // namespace turmericline::fakes

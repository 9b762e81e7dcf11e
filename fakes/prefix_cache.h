#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericline::fakes {

/** Bytes of prompt text per cache block; a token is 4 bytes of prompt. */
inline constexpr std::size_t blockBytes = 64;
inline constexpr std::size_t bytesPerToken = 4;

/** Hashes of the whole blocks of a prompt; each covers the prompt from its start to the end of that block. */
std::vector<std::uint64_t> promptBlocks(std::string_view prompt);

struct CacheEvent
{
    bool stored = false; ///< Otherwise evicted.
    std::uint64_t block = 0;
};

/** Prefix cache of a fixed number of blocks; the least recently used block is evicted first. */
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity);

    /** Returns how many leading blocks were cached, then caches all of them and appends the changes to @p events. */
    std::size_t use(const std::vector<std::uint64_t> &blocks, std::vector<CacheEvent> &events);
    std::size_t size() const;

private:
    void store(std::uint64_t block, std::vector<CacheEvent> &events);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_recent; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
};

} // namespace turmericline::fakes

#include "rank_load.h"

#include "message_pack.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace turmericline {

namespace {

using Json = nlohmann::json;

/** Must be raised when the meaning of the message changes; messages with other numbers are rejected. */
constexpr int formatNumber = 2;
constexpr std::size_t bytesPerRank = 2; ///< Running and waiting requests.
constexpr std::uint8_t noLoad = 255; ///< In place of a number, if the load is not known.
constexpr std::uint32_t maxCount = 254;
constexpr std::size_t maxRanks = 65'536;
/** Older loads tell nothing about the present. */
constexpr std::chrono::milliseconds maxAge{1'000};

std::uint8_t encodeCount(std::uint32_t n)
{
    return static_cast<std::uint8_t>(std::min(n, maxCount));
}

std::vector<std::optional<BackendLoad>> decodeRanks(const std::vector<std::uint8_t> &bytes)
{
    std::vector<std::optional<BackendLoad>> ranks;
    for (std::size_t n = 0; n + 1 < bytes.size(); n += bytesPerRank) {
        const bool isKnown = bytes[n] != noLoad && bytes[n + 1] != noLoad;
        ranks.push_back(isKnown ? std::optional(BackendLoad{bytes[n], bytes[n + 1]}) : std::nullopt);
    }
    return ranks;
}

} // namespace

std::string encodeGroupLoads(const GroupLoads &loads)
{
    std::vector<std::uint8_t> counts;
    counts.reserve(loads.ranks.size() * bytesPerRank);
    auto paces = Json::array(); // Of the ranks that do not run at their usual speed.
    for (std::size_t n = 0; n < loads.ranks.size(); ++n) {
        const auto &it = loads.ranks[n];
        counts.push_back(it ? encodeCount(it->running) : noLoad);
        counts.push_back(it ? encodeCount(it->waiting) : noLoad);
        if (it && it->pace != 1) {
            paces.push_back({n, it->pace});
        }
    }
    const auto bytes = Json::to_msgpack({{"format", formatNumber},
                                         {"group", loads.group},
                                         {"age_ms", loads.age.count()},
                                         {"ranks", Json::binary(std::move(counts))},
                                         {"paces", std::move(paces)}});
    return {bytes.begin(), bytes.end()};
}

Result<GroupLoads> decodeGroupLoads(std::string_view bytes)
{
    try {
        const auto json = decodeMessagePack(bytes);
        if (json.at("format").get<int>() != formatNumber) {
            return Result<GroupLoads>::fail("unknown format number");
        }
        const auto &counts = json.at("ranks");
        if (!counts.is_binary() || counts.get_binary().size() > maxRanks * bytesPerRank) {
            return Result<GroupLoads>::fail("malformed list of ranks");
        }
        GroupLoads loads;
        loads.group = json.at("group").get<std::string>();
        loads.age = std::chrono::milliseconds(json.at("age_ms").get<std::uint32_t>());
        loads.ranks = decodeRanks(counts.get_binary());
        for (const auto &it : json.at("paces")) {
            const auto rank = it.at(0).get<std::size_t>();
            if (rank < loads.ranks.size() && loads.ranks[rank]) {
                loads.ranks[rank]->pace = it.at(1).get<double>();
            }
        }
        return Result<GroupLoads>::ok(std::move(loads));
    } catch (const Json::exception &error) {
        return Result<GroupLoads>::fail(error.what());
    }
}

void GroupLoadCache::store(TimePoint now, GroupLoads loads)
{
    const auto readAt = now - loads.age;
    if (!m_loads || m_loads->group != loads.group || readAt >= m_readAt) {
        m_loads = std::move(loads);
        m_readAt = readAt;
    }
}

std::optional<GroupLoads> GroupLoadCache::get(TimePoint now) const
{
    if (!m_loads || now - m_readAt > maxAge) {
        return std::nullopt;
    }
    auto loads = *m_loads;
    loads.age = std::chrono::ceil<std::chrono::milliseconds>(now - m_readAt);
    return loads;
}

} // namespace turmericline

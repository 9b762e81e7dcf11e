#include "rank_load.h"

#include <nlohmann/json.hpp>

namespace turmericline {

namespace {

using Json = nlohmann::json;

/** Must be raised when the meaning of the message changes; messages with other numbers are rejected. */
constexpr int formatNumber = 1;

} // namespace

std::string encodeGroupLoads(const GroupLoads &loads)
{
    auto ranks = Json::array();
    for (const auto &it : loads.ranks) {
        ranks.push_back(it ? Json{it->running, it->waiting, it->pace} : Json());
    }
    const auto bytes
        = Json::to_msgpack({{"format", formatNumber}, {"group", loads.group}, {"ranks", std::move(ranks)}});
    return {bytes.begin(), bytes.end()};
}

Result<GroupLoads> decodeGroupLoads(std::string_view bytes)
{
    try {
        const auto json = Json::from_msgpack(bytes.begin(), bytes.end());
        if (json.at("format").get<int>() != formatNumber) {
            return Result<GroupLoads>::fail("unknown format number");
        }
        GroupLoads loads;
        loads.group = json.at("group").get<std::string>();
        for (const auto &it : json.at("ranks")) {
            loads.ranks.push_back(it.is_null() ? std::nullopt
                                               : std::optional(BackendLoad{it.at(0).get<std::uint32_t>(),
                                                                           it.at(1).get<std::uint32_t>(),
                                                                           it.at(2).get<double>()}));
        }
        return Result<GroupLoads>::ok(std::move(loads));
    } catch (const Json::exception &error) {
        return Result<GroupLoads>::fail(error.what());
    }
}

} // namespace turmericline

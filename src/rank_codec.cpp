#include "rank_codec.h"

#include <nlohmann/json.hpp>

namespace turmericline {

namespace {

using Json = nlohmann::json;

/** Grows when a message changes its meaning; another number is refused. */
constexpr int formatNumber = 1;

Json optionalNumber(std::optional<std::uint64_t> n)
{
    return n ? Json(*n) : Json();
}

std::optional<std::uint64_t> readOptional(const Json &json)
{
    return json.is_null() ? std::nullopt : std::optional(json.get<std::uint64_t>());
}

std::string pack(const Json &json)
{
    const auto bytes = Json::to_msgpack(json);
    return {bytes.begin(), bytes.end()};
}

template<typename T, typename Read>
Result<T> unpack(std::string_view bytes, Read read)
{
    try {
        const auto json = Json::from_msgpack(bytes.begin(), bytes.end());
        if (json.at("format").get<int>() != formatNumber) {
            return Result<T>::fail("unknown format number");
        }
        return read(json);
    } catch (const Json::exception &error) {
        return Result<T>::fail(error.what());
    }
}

} // namespace

std::string encodeRankNews(const RankNews &news)
{
    const auto &s = news.state;
    return pack({{"format", formatNumber},
                 {"group", s.group},
                 {"epoch", s.epoch},
                 {"rank", s.rank},
                 {"size", s.size},
                 {"open", s.isOpen},
                 {"pass", s.pass},
                 {"map", s.map},
                 {"prepared", optionalNumber(s.prepared)},
                 {"armed", optionalNumber(s.armed)},
                 {"held_pass", optionalNumber(s.held)},
                 {"counts_epoch", news.counts.epoch},
                 {"counts", news.counts.counts},
                 {"experts", news.held}});
}

Result<RankNews> decodeRankNews(std::string_view bytes)
{
    return unpack<RankNews>(bytes, [](const Json &json) {
        RankNews news;
        auto &s = news.state;
        s.group = json.at("group").get<std::string>();
        s.epoch = json.at("epoch").get<std::uint64_t>();
        s.rank = json.at("rank").get<std::uint32_t>();
        s.size = json.at("size").get<std::uint32_t>();
        s.isOpen = json.at("open").get<bool>();
        s.pass = json.at("pass").get<std::uint64_t>();
        s.map = json.at("map").get<std::uint64_t>();
        s.prepared = readOptional(json.at("prepared"));
        s.armed = readOptional(json.at("armed"));
        s.held = readOptional(json.at("held_pass"));
        news.counts.epoch = json.at("counts_epoch").get<std::uint64_t>();
        news.counts.counts = json.at("counts").get<std::vector<std::uint64_t>>();
        news.held = json.at("experts").get<HeldExperts>();
        return Result<RankNews>::ok(std::move(news));
    });
}

std::string encodeRankOrder(const RankOrder &order)
{
    return pack({{"format", formatNumber},
                 {"kind", nameOf(rankOrderNames, order.kind)},
                 {"epoch", order.epoch},
                 {"version", order.version},
                 {"pass", order.pass},
                 {"map", order.map}});
}

Result<RankOrder> decodeRankOrder(std::string_view bytes)
{
    return unpack<RankOrder>(bytes, [](const Json &json) {
        const auto kind = valueOf(rankOrderNames, json.at("kind").get<std::string>());
        if (!kind) {
            return Result<RankOrder>::fail("unknown kind of order");
        }
        RankOrder order;
        order.kind = *kind;
        order.epoch = json.at("epoch").get<std::uint64_t>();
        order.version = json.at("version").get<std::uint64_t>();
        order.pass = json.at("pass").get<std::uint64_t>();
        order.map = json.at("map").get<LayerMaps>();
        return Result<RankOrder>::ok(std::move(order));
    });
}

} // namespace turmericline

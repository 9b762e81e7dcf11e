#include "rank_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace turmericline {

namespace {

using Json = nlohmann::json;

/** Must be raised when the meaning of a message changes; messages with other numbers are rejected. */
constexpr int formatNumber = 2;

Json encodeOptional(std::optional<std::uint64_t> n)
{
    return n ? Json(*n) : Json();
}

std::optional<std::uint64_t> decodeOptional(const Json &json)
{
    return json.is_null() ? std::nullopt : std::optional(json.get<std::uint64_t>());
}

std::string pack(const Json &json)
{
    const auto bytes = Json::to_msgpack(json);
    return {bytes.begin(), bytes.end()};
}

/** Encodes each change as an array of layer, rank and experts. */
Json packChanges(const std::vector<MapChange> &changes)
{
    auto json = Json::array();
    for (const auto &it : changes) {
        json.push_back({it.layer, it.rank, it.experts});
    }
    return json;
}

std::vector<MapChange> unpackChanges(const Json &json)
{
    std::vector<MapChange> changes;
    for (const auto &it : json) {
        changes.push_back(
            {it.at(0).get<std::uint32_t>(), it.at(1).get<std::uint32_t>(), it.at(2).get<std::vector<ExpertIndex>>()});
    }
    return changes;
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

std::string encodeGroupReport(const GroupReport &report)
{
    // Arrays without field names save bandwidth: 63 ranks are queried many times a second over a slow link.
    auto ranks = Json::array();
    for (const auto &[state, held] : report.ranks) {
        ranks.push_back({state.group,
                         state.epoch,
                         state.rank,
                         state.size,
                         state.isOpen,
                         state.pass,
                         state.map,
                         encodeOptional(state.prepared),
                         encodeOptional(state.armed),
                         encodeOptional(state.held),
                         state.running,
                         state.waiting,
                         state.pace,
                         held});
    }
    return pack({{"format", formatNumber}, {"ranks", std::move(ranks)}, {"choices", report.choices}});
}

Result<GroupReport> decodeGroupReport(std::string_view bytes)
{
    return unpack<GroupReport>(bytes, [](const Json &json) {
        GroupReport report;
        for (const auto &it : json.at("ranks")) {
            std::size_t n = 0;
            RankReport rank;
            auto &s = rank.state;
            s.group = it.at(n++).get<std::string>();
            s.epoch = it.at(n++).get<std::uint64_t>();
            s.rank = it.at(n++).get<std::uint32_t>();
            s.size = it.at(n++).get<std::uint32_t>();
            s.isOpen = it.at(n++).get<bool>();
            s.pass = it.at(n++).get<std::uint64_t>();
            s.map = it.at(n++).get<std::uint64_t>();
            s.prepared = decodeOptional(it.at(n++));
            s.armed = decodeOptional(it.at(n++));
            s.held = decodeOptional(it.at(n++));
            s.running = it.at(n++).get<std::uint32_t>();
            s.waiting = it.at(n++).get<std::uint32_t>();
            s.pace = it.at(n++).get<double>();
            rank.held = it.at(n++).get<HeldExperts>();
            report.ranks.push_back(std::move(rank));
        }
        report.choices = json.at("choices").get<ExpertChoices>();
        return Result<GroupReport>::ok(std::move(report));
    });
}

std::string encodeRankOrder(const RankOrder &order)
{
    return pack({{"format", formatNumber},
                 {"kind", nameOf(rankOrderNames, order.kind)},
                 {"epoch", order.epoch},
                 {"version", order.version},
                 {"pass", order.pass},
                 {"map", order.map},
                 {"base", order.base},
                 {"changes", packChanges(order.changes)},
                 {"digest", order.digest}});
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
        order.base = json.at("base").get<std::uint64_t>();
        order.changes = unpackChanges(json.at("changes"));
        order.digest = json.at("digest").get<std::uint64_t>();
        return Result<RankOrder>::ok(std::move(order));
    });
}

std::string encodeRankQuery(const RankQuery &query)
{
    auto text = "first=" + std::to_string(query.first) + "&count=" + std::to_string(query.count);
    if (query.withChoices) {
        text += "&choices=1";
    }
    if (query.withHeld) {
        text += "&held=1";
    }
    return text;
}

Result<RankQuery> decodeRankQuery(std::string_view text)
{
    RankQuery query;
    while (!text.empty()) {
        const auto part = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(part.size() + 1, text.size()));
        const auto at = part.find('=');
        const auto name = part.substr(0, at);
        std::uint32_t n = 0;
        const auto value = at == std::string_view::npos ? std::string_view() : part.substr(at + 1);
        const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), n);
        if (ec != std::errc() || end != value.data() + value.size()) {
            return Result<RankQuery>::fail("malformed number in the query");
        }
        if (name == "first") {
            query.first = n;
        } else if (name == "count") {
            query.count = n;
        } else if (name == "choices") {
            query.withChoices = n != 0;
        } else if (name == "held") {
            query.withHeld = n != 0;
        } else {
            return Result<RankQuery>::fail("unknown field in the query");
        }
    }
    if (query.count == 0 || query.count > maxRanksPerQuery) {
        return Result<RankQuery>::fail("count of ranks out of range");
    }
    return Result<RankQuery>::ok(query);
}

} // namespace turmericline

#include "rank_codec.h"

#include "message_pack.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace turmericline {

namespace {

using Json = nlohmann::json;

/** Must be raised when the meaning of a message changes; messages with other numbers are rejected. */
constexpr int formatNumber = 3;
constexpr std::uint64_t largestChoice = 255; ///< In units of the message.

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

/** Number of fields of a rank whose state is that of the first rank of the report, see packCounts(). */
constexpr std::size_t countFields = 3;

/** Whether two ranks differ only in their number and their requests. */
bool isLike(const RankReport &a, const RankReport &b)
{
    const auto &s = a.state;
    const auto &t = b.state;
    return s.group == t.group && s.epoch == t.epoch && s.size == t.size && s.isOpen == t.isOpen && s.pass == t.pass
           && s.map == t.map && s.prepared == t.prepared && s.armed == t.armed && s.held == t.held && s.pace == t.pace
           && a.held == b.held;
}

Json packCounts(const RankState &state)
{
    return {state.rank, state.running, state.waiting};
}

RankReport unpackCounts(const Json &json, const RankReport &first)
{
    auto rank = first;
    rank.state.rank = json.at(0).get<std::uint32_t>();
    rank.state.running = json.at(1).get<std::uint32_t>();
    rank.state.waiting = json.at(2).get<std::uint32_t>();
    return rank;
}

Json packRank(const RankReport &report)
{
    const auto &state = report.state;
    return {state.group,
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
            report.held};
}

RankReport unpackRank(const Json &json)
{
    std::size_t n = 0;
    RankReport rank;
    auto &s = rank.state;
    s.group = json.at(n++).get<std::string>();
    s.epoch = json.at(n++).get<std::uint64_t>();
    s.rank = json.at(n++).get<std::uint32_t>();
    s.size = json.at(n++).get<std::uint32_t>();
    s.isOpen = json.at(n++).get<bool>();
    s.pass = json.at(n++).get<std::uint64_t>();
    s.map = json.at(n++).get<std::uint64_t>();
    s.prepared = decodeOptional(json.at(n++));
    s.armed = decodeOptional(json.at(n++));
    s.held = decodeOptional(json.at(n++));
    s.running = json.at(n++).get<std::uint32_t>();
    s.waiting = json.at(n++).get<std::uint32_t>();
    s.pace = json.at(n++).get<double>();
    rank.held = json.at(n++).get<HeldExperts>();
    return rank;
}

template<typename T, typename Read>
Result<T> unpack(std::string_view bytes, Read read)
{
    try {
        const auto json = decodeMessagePack(bytes);
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
    // Arrays without field names save bandwidth: all ranks are queried many times a second over a slow link.
    auto ranks = Json::array();
    for (const auto &it : report.ranks) {
        const bool isLikeFirst = &it != &report.ranks.front() && isLike(it, report.ranks.front());
        ranks.push_back(isLikeFirst ? packCounts(it.state) : packRank(it));
    }
    const auto largest = report.choices.empty() ? 0 : *std::max_element(report.choices.begin(), report.choices.end());
    const auto unit = std::max<std::uint64_t>(1, (largest + largestChoice - 1) / largestChoice);
    std::vector<std::uint8_t> choices;
    choices.reserve(report.choices.size());
    for (const auto it : report.choices) {
        choices.push_back(static_cast<std::uint8_t>((it + unit / 2) / unit));
    }
    return pack({{"format", formatNumber},
                 {"ranks", std::move(ranks)},
                 {"unit", unit},
                 {"choices", Json::binary(std::move(choices))}});
}

Result<GroupReport> decodeGroupReport(std::string_view bytes)
{
    return unpack<GroupReport>(bytes, [](const Json &json) {
        GroupReport report;
        for (const auto &it : json.at("ranks")) {
            const bool isLikeFirst = it.size() == countFields;
            if (isLikeFirst && report.ranks.empty()) {
                return Result<GroupReport>::fail("the first rank has no state");
            }
            report.ranks.push_back(isLikeFirst ? unpackCounts(it, report.ranks.front()) : unpackRank(it));
        }
        const auto unit = json.at("unit").get<std::uint32_t>();
        if (!json.at("choices").is_binary()) {
            return Result<GroupReport>::fail("malformed choices");
        }
        for (const auto it : json.at("choices").get_binary()) {
            report.choices.push_back(std::uint64_t{it} * unit);
        }
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

std::string encodeOrderAnswers(const OrderAnswers &answers)
{
    auto list = Json::array();
    for (const auto &it : answers) {
        list.push_back(it ? Json(nameOf(orderAnswerNames, *it)) : Json());
    }
    return pack({{"format", formatNumber}, {"answers", std::move(list)}});
}

Result<OrderAnswers> decodeOrderAnswers(std::string_view bytes)
{
    return unpack<OrderAnswers>(bytes, [](const Json &json) {
        OrderAnswers answers;
        for (const auto &it : json.at("answers")) {
            answers.push_back(it.is_null() ? std::nullopt : valueOf(orderAnswerNames, it.get<std::string>()));
        }
        return Result<OrderAnswers>::ok(std::move(answers));
    });
}

std::string encodeOrderRanks(const std::vector<std::uint32_t> &ranks)
{
    std::string text = "ranks=";
    for (std::size_t n = 0; n < ranks.size(); ++n) {
        text += (n > 0 ? "," : "") + std::to_string(ranks[n]);
    }
    return text;
}

Result<std::vector<std::uint32_t>> decodeOrderRanks(std::string_view text)
{
    using Ranks = std::vector<std::uint32_t>;
    constexpr std::string_view prefix = "ranks=";
    if (!text.starts_with(prefix)) {
        return Result<Ranks>::fail("expected a list of ranks");
    }
    text.remove_prefix(prefix.size());
    Ranks ranks;
    while (ranks.size() < maxRanksPerQuery) {
        std::uint32_t n = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        const auto used = static_cast<std::size_t>(end - text.data());
        if (ec != std::errc() || (used < text.size() && text[used] != ',')) {
            return Result<Ranks>::fail("malformed list of ranks");
        }
        ranks.push_back(n);
        if (used == text.size()) {
            return Result<Ranks>::ok(std::move(ranks));
        }
        text.remove_prefix(used + 1);
    }
    return Result<Ranks>::fail("too many ranks");
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

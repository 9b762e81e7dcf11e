#include "feed_relay_codec.h"

#include "message_pack.h"

#include <nlohmann/json.hpp>

namespace turmericline {

namespace {

using Json = nlohmann::json;

/** Must be raised when the meaning of a message changes; messages with other numbers are rejected. */
constexpr int formatNumber = 2;

std::string pack(const Json &json)
{
    const auto bytes = Json::to_msgpack(json);
    return {bytes.begin(), bytes.end()};
}

std::chrono::milliseconds readMs(const Json &json, const char *name)
{
    return std::chrono::milliseconds(json.at(name).get<std::uint32_t>());
}

Json packItem(const StoreItem &item)
{
    return item.isDeleted ? Json::array({item.key}) : Json::array({item.key, item.value});
}

StoreItem unpackItem(const Json &json)
{
    const bool isDeleted = json.size() < 2;
    return {json.at(0).get<std::string>(), isDeleted ? std::string() : json.at(1).get<std::string>(), isDeleted};
}

FeedCursor unpackCursor(const Json &json)
{
    return {json.at("log").get<std::uint64_t>(), json.at("change").get<std::uint64_t>()};
}

FeedPoll unpackPoll(const Json &json)
{
    return {unpackCursor(json), readMs(json, "wait_ms")};
}

FeedReport unpackReport(const Json &json)
{
    FeedReport report;
    report.cursor = unpackCursor(json);
    if (const auto &era = json.at("era"); !era.is_null()) {
        report.servers.position.era = era.get<StoreEra>();
    }
    report.servers.position.revision = json.at("revision").get<std::uint64_t>();
    report.servers.isSnapshot = json.at("all").get<bool>();
    for (const auto &it : json.at("items")) {
        report.servers.items.push_back(unpackItem(it));
    }
    report.serversAge = readMs(json, "servers_age_ms");
    report.outage = readMs(json, "outage_ms");
    report.configVersion = json.at("config").get<std::uint64_t>();
    report.configAge = readMs(json, "config_age_ms");
    report.evacuated = json.at("evacuated").get<std::set<std::string>>();
    report.held = readMs(json, "held_ms");
    return report;
}

template<typename T>
Result<T> unpack(std::string_view bytes, T (*read)(const Json &))
{
    try {
        const auto json = decodeMessagePack(bytes);
        if (json.at("format").get<int>() != formatNumber) {
            return Result<T>::fail("unknown format number");
        }
        return Result<T>::ok(read(json));
    } catch (const Json::exception &error) {
        return Result<T>::fail(error.what());
    }
}

} // namespace

std::string encodeFeedPoll(const FeedPoll &poll)
{
    return pack({{"format", formatNumber},
                 {"log", poll.cursor.log},
                 {"change", poll.cursor.change},
                 {"wait_ms", poll.wait.count()}});
}

Result<FeedPoll> decodeFeedPoll(std::string_view bytes)
{
    return unpack(bytes, unpackPoll);
}

std::string encodeFeedReport(const FeedReport &report)
{
    const auto &position = report.servers.position;
    auto items = Json::array();
    for (const auto &it : report.servers.items) {
        items.push_back(packItem(it));
    }
    return pack({{"format", formatNumber},
                 {"log", report.cursor.log},
                 {"change", report.cursor.change},
                 {"era", position.era ? Json(*position.era) : Json()},
                 {"revision", position.revision},
                 {"all", report.servers.isSnapshot},
                 {"items", std::move(items)},
                 {"servers_age_ms", report.serversAge.count()},
                 {"outage_ms", report.outage.count()},
                 {"config", report.configVersion},
                 {"config_age_ms", report.configAge.count()},
                 {"evacuated", report.evacuated},
                 {"held_ms", report.held.count()}});
}

Result<FeedReport> decodeFeedReport(std::string_view bytes)
{
    return unpack(bytes, unpackReport);
}

} // namespace turmericline

#include "server_limit_codec.h"

#include "address.h"
#include "message_pack.h"

#include <cmath>

namespace turmericline {

namespace {

using Json = nlohmann::json;

/** Must be raised when the meaning of a message changes; messages with other numbers are rejected. */
constexpr int formatNumber = 1;
constexpr std::size_t maxNameBytes = 64; ///< The same limit as for names in the settings.
constexpr std::size_t maxAddressBytes = 64;
constexpr std::size_t reportBytesPerMessage = 800;
constexpr std::size_t statusRows = 50;
/** Older reports have no effect; the limit prevents arithmetic overflow. */
constexpr std::chrono::milliseconds maxAge{std::chrono::hours(24)};

std::optional<std::chrono::milliseconds> decodeAge(const Json &value)
{
    if (!value.is_number_integer()) {
        return std::nullopt;
    }
    const auto ms = value.get<std::int64_t>();
    return ms >= 0 ? std::optional(std::min(std::chrono::milliseconds(ms), maxAge)) : std::nullopt;
}

bool isLimit(const Json &value)
{
    return value.is_null() || (value.is_number() && std::isfinite(value.get<double>()) && value.get<double>() >= 0);
}

bool isOwnerAddress(const Json &value)
{
    if (!value.is_string()) {
        return false;
    }
    const auto &text = value.get_ref<const std::string &>();
    return text.empty() || (text.size() <= maxAddressBytes && parseEndpoint(text));
}

std::string pack(const Json &json)
{
    const auto bytes = Json::to_msgpack(json);
    return {bytes.begin(), bytes.end()};
}

template<typename Message, typename Read>
Result<Message> unpack(std::string_view bytes, Read read)
{
    try {
        const auto json = decodeMessagePack(bytes);
        if (json.at("format").get<int>() != formatNumber) {
            return Result<Message>::fail("unknown format number");
        }
        auto report = decodeLimitReport(json.at("limit"));
        return report ? read(json, std::move(*report)) : Result<Message>::fail("the report is malformed");
    } catch (const Json::exception &error) {
        return Result<Message>::fail(error.what());
    }
}

} // namespace

Json encodeLimitReport(const LimitReport &report)
{
    const auto &statement = report.statement;
    return Json::array({statement.server,
                        statement.startTimeMs,
                        statement.limit ? Json(*statement.limit) : Json(),
                        report.sentAge.count(),
                        report.age.count(),
                        report.owner,
                        report.term});
}

std::optional<LimitReport> decodeLimitReport(const Json &value)
{
    constexpr std::size_t fieldCount = 7;
    if (!value.is_array() || value.size() != fieldCount || !value[0].is_string() || !value[1].is_number_integer()
        || !isLimit(value[2]) || !isOwnerAddress(value[5]) || !value[6].is_number_unsigned()) {
        return std::nullopt;
    }
    const auto &server = value[0].get_ref<const std::string &>();
    const auto sentAge = decodeAge(value[3]);
    const auto age = decodeAge(value[4]);
    if (server.empty() || server.size() > maxNameBytes || !sentAge || !age) {
        return std::nullopt;
    }
    LimitReport report;
    report.statement.server = server;
    report.statement.startTimeMs = value[1].get<std::int64_t>();
    if (!value[2].is_null()) {
        report.statement.limit = value[2].get<double>();
    }
    report.sentAge = *sentAge;
    report.age = *age;
    report.owner = value[5].get<std::string>();
    report.term = value[6].get<std::uint64_t>();
    return report;
}

std::string encodePermitRequest(const LimitReport &report)
{
    return pack({{"format", formatNumber}, {"limit", encodeLimitReport(report)}});
}

Result<LimitReport> decodePermitRequest(std::string_view bytes)
{
    return unpack<LimitReport>(bytes, [](const Json & /*json*/, LimitReport report) {
        return Result<LimitReport>::ok(std::move(report));
    });
}

std::string encodePermitReply(const PermitReply &reply)
{
    return pack({{"format", formatNumber},
                 {"granted", reply.isGranted},
                 {"wait_ms", reply.wait.count()},
                 {"limit", encodeLimitReport(reply.report)}});
}

Result<PermitReply> decodePermitReply(std::string_view bytes)
{
    return unpack<PermitReply>(bytes, [](const Json &json, LimitReport report) {
        PermitReply reply;
        reply.isGranted = json.at("granted").get<bool>();
        reply.wait = std::chrono::milliseconds(json.at("wait_ms").get<std::uint32_t>());
        reply.report = std::move(report);
        return Result<PermitReply>::ok(std::move(reply));
    });
}

std::vector<LimitReport> limitReportsForMessage(ServerLimits &limits, TimePoint now)
{
    std::size_t used = 0;
    return limits.nextReports(now, [&used](const LimitReport &report) {
        used += Json::to_msgpack(encodeLimitReport(report)).size();
        return used <= reportBytesPerMessage;
    });
}

Json describeLimits(const ServerLimits &limits, TimePoint now)
{
    auto rows = Json::array();
    for (const auto &it : limits.allReports(now, statusRows)) {
        const auto basis = limits.basis(now, it.statement.server);
        if (!basis) {
            continue;
        }
        rows.push_back({{"server", it.statement.server},
                        {"server_start_ms", it.statement.startTimeMs},
                        {"limit_per_s", basis->limit},
                        {"share_per_s", basis->share},
                        {"age_ms", basis->age.count()},
                        {"source", nameOf(limitSourceNames, basis->source)},
                        {"owner", basis->owner},
                        {"term", it.term}});
    }
    return {{"count", limits.limitedCount()}, {"owned", limits.ownedCount()}, {"limits", rows}};
}

} // namespace turmericline

#include "part_suspect_codec.h"

#include "suspect_codec.h"
namespace turmericline {

namespace {

using nlohmann::json;

constexpr std::size_t maxNameBytes = 64; ///< The same limit as for names in the settings.
constexpr std::size_t maxCrashesPerReport = 16;
constexpr std::size_t reportBytesPerMessage = 400;
constexpr std::size_t statusRows = 50;
/** Older reports have no effect; the limit prevents arithmetic overflow. */
constexpr Age maxAge{std::chrono::hours(24)};

std::optional<Age> decodeAge(const json &value)
{
    if (!value.is_number_integer()) {
        return std::nullopt;
    }
    const Age age(value.get<std::int64_t>());
    return age >= Age::zero() && age <= maxAge ? std::optional(age) : std::nullopt;
}

std::optional<std::uint32_t> decodeCount(const json &value)
{
    constexpr std::uint64_t maxCount = std::numeric_limits<std::uint32_t>::max();
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= maxCount
               ? std::optional(value.get<std::uint32_t>())
               : std::nullopt;
}

std::optional<PartCrash> decodeCrash(const json &value)
{
    constexpr std::size_t fieldCount = 4;
    if (!value.is_array() || value.size() != fieldCount || !value[0].is_string() || !value[1].is_number_unsigned()) {
        return std::nullopt;
    }
    const auto &server = value[0].get_ref<const std::string &>();
    const auto age = decodeAge(value[2]);
    const auto requestAge = decodeAge(value[3]);
    if (server.empty() || server.size() > maxNameBytes || !age || !requestAge) {
        return std::nullopt;
    }
    return PartCrash{server, value[1].get<std::uint64_t>(), *age, *requestAge};
}

} // namespace

json encodePartReport(const PartReport &report)
{
    auto crashes = json::array();
    for (const auto &it : report.crashes) {
        crashes.push_back(json::array({it.server, it.incarnation, it.age.count(), it.requestAge.count()}));
    }
    return json::array({report.part.high,
                        report.part.low,
                        report.position,
                        report.sent,
                        report.soundAge ? json(report.soundAge->count()) : json(),
                        std::move(crashes)});
}

std::optional<PartReport> decodePartReport(const json &value)
{
    constexpr std::size_t fieldCount = 6;
    if (!value.is_array() || value.size() != fieldCount || !value[0].is_number_unsigned()
        || !value[1].is_number_unsigned() || !value[5].is_array() || value[5].size() > maxCrashesPerReport) {
        return std::nullopt;
    }
    const auto position = decodeCount(value[2]);
    const auto sent = decodeCount(value[3]);
    const auto soundAge = decodeAge(value[4]);
    if (!position || !sent || (!soundAge && !value[4].is_null())) {
        return std::nullopt;
    }
    PartReport report{{value[0].get<std::uint64_t>(), value[1].get<std::uint64_t>()}, *position, *sent, soundAge, {}};
    for (const auto &it : value[5]) {
        auto crash = decodeCrash(it);
        if (!crash) {
            return std::nullopt;
        }
        report.crashes.push_back(std::move(*crash));
    }
    return report;
}

std::vector<PartReport> partReportsForMessage(PartSuspects &parts, Age now)
{
    std::size_t used = 0;
    return parts.nextReports(now, [&used](const PartReport &report) {
        // Otherwise one long report would hold up all others.
        const bool isFirst = used == 0;
        used += json::to_msgpack(encodePartReport(report)).size();
        return isFirst || used <= reportBytesPerMessage;
    });
}

json describeParts(const PartSuspects &parts, Age now)
{
    auto rows = json::array();
    for (const auto &it : parts.allReports(statusRows, now)) {
        const auto decision = parts.decide(std::span(&it.part, 1), now);
        rows.push_back(
            {{"part", formatFingerprint(it.part)},
             {"crashes", it.crashes.size()},
             {"sound_age_s", it.soundAge ? std::chrono::duration_cast<std::chrono::seconds>(*it.soundAge).count() : -1},
             {"action", nameOf(suspectActionNames, decision.action)},
             {"refused_for_s", std::chrono::duration_cast<std::chrono::seconds>(decision.retryAfter).count()}});
    }
    return {{"count", parts.size()}, {"parts", rows}};
}

} // namespace turmericline

#include "suspect_codec.h"

#include <fmt/format.h>

#include <charconv>

namespace turmericline {

namespace {

using nlohmann::json;

constexpr std::size_t halfDigits = 16;
constexpr std::size_t maxNameBytes = 64; ///< The same limit as for names in the settings and the document.
constexpr std::size_t fieldCount = 7;
constexpr std::size_t reportsPerMessage = 16;
/** Leaves 400 of the 1,200 bytes of a gossip message for other data. */
constexpr std::size_t reportBytesPerMessage = 800;
constexpr std::size_t statusRows = 100;

bool readHex(std::string_view text, std::uint64_t &n)
{
    const auto *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, n, 16);
    return result.ec == std::errc() && result.ptr == end;
}

bool isName(const json &value)
{
    return value.is_string() && !value.get_ref<const std::string &>().empty()
           && value.get_ref<const std::string &>().size() <= maxNameBytes;
}

} // namespace

std::optional<Fingerprint> parseFingerprint(std::string_view text)
{
    Fingerprint fingerprint;
    const bool valid = text.size() == 2 * halfDigits && readHex(text.substr(0, halfDigits), fingerprint.high)
                       && readHex(text.substr(halfDigits), fingerprint.low);
    return valid ? std::optional(fingerprint) : std::nullopt;
}

std::string formatFingerprint(const Fingerprint &fingerprint)
{
    return fmt::format("{:016x}{:016x}", fingerprint.high, fingerprint.low);
}

json encodeReport(const CrashReport &report)
{
    return json::array({report.fingerprint.high,
                        report.fingerprint.low,
                        report.server,
                        report.incarnation,
                        report.domain,
                        std::chrono::duration_cast<std::chrono::milliseconds>(report.age).count(),
                        report.isCleared});
}

std::optional<CrashReport> decodeReport(const json &value)
{
    if (!value.is_array() || value.size() != fieldCount) {
        return std::nullopt;
    }
    const bool valid = value[0].is_number_unsigned() && value[1].is_number_unsigned() && isName(value[2])
                       && value[3].is_number_unsigned() && isName(value[4]) && value[5].is_number_integer()
                       && value[6].is_boolean();
    if (!valid) {
        return std::nullopt;
    }
    // The hold time is at most a day, so older reports have no effect; the limit prevents arithmetic overflow.
    constexpr std::int64_t maxAgeMs = 24LL * 3'600 * 1'000;
    const auto ageMs = value[5].get<std::int64_t>();
    if (ageMs < 0 || ageMs > maxAgeMs) {
        return std::nullopt;
    }
    return CrashReport{{value[0].get<std::uint64_t>(), value[1].get<std::uint64_t>()},
                       value[2].get<std::string>(),
                       value[3].get<std::uint64_t>(),
                       value[4].get<std::string>(),
                       std::chrono::milliseconds(ageMs),
                       value[6].get<bool>()};
}

std::vector<CrashReport> reportsForMessage(SuspectTable &table, Age now)
{
    std::size_t used = 0;
    return table.nextReports(reportsPerMessage, now, [&used](const CrashReport &report) {
        const auto size = json::to_msgpack(encodeReport(report)).size();
        if (used + size > reportBytesPerMessage) {
            return false;
        }
        used += size;
        return true;
    });
}

json describeSuspects(const SuspectTable &table, Age now)
{
    auto rows = json::array();
    for (const auto &it : table.recentReports(statusRows, now)) {
        rows.push_back({{"fingerprint", formatFingerprint(it.fingerprint)},
                        {"server", it.server},
                        {"domain", it.domain},
                        {"age_s", std::chrono::duration_cast<std::chrono::seconds>(it.age).count()},
                        {"cleared", it.isCleared},
                        {"action", nameOf(suspectActionNames, table.decide(it.fingerprint, now).action)}});
    }
    return {{"fingerprints", table.size()}, {"crashes", rows}};
}

} // namespace turmericline

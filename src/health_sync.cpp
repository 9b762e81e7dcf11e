#include "health_sync.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace turmericline {

namespace {

using nlohmann::json;

/** MessagePack sizes: array header (up to 3 bytes) and reporter (9); per report a header, two numbers and the state. */
constexpr std::size_t headerBytes = 12;
constexpr std::size_t reportBytes = 20;

std::optional<HealthReport> decodeReport(const json &row)
{
    const bool isValid = row.is_array() && row.size() == 3 && row[0].is_number_unsigned() && row[1].is_number_unsigned()
                         && row[2].is_number_unsigned() && row[2].get<std::uint64_t>() < healthStateNames.size();
    if (!isValid) {
        return std::nullopt;
    }
    return HealthReport{
        row[0].get<ServerKey>(), row[1].get<std::uint64_t>(), static_cast<HealthState>(row[2].get<std::uint8_t>())};
}

} // namespace

json encodeHealthReports(const HealthReports &reports)
{
    auto out = json::array({reports.reporter});
    for (std::size_t i = 0; i < std::min(reports.reports.size(), maxHealthReports); ++i) {
        const auto &it = reports.reports[i];
        out.push_back(json::array({it.server, it.incarnation, static_cast<std::uint8_t>(it.state)}));
    }
    return out;
}

std::optional<HealthReports> decodeHealthReports(const json &value)
{
    const bool isValid = value.is_array() && !value.empty() && value.size() <= 1 + maxHealthReports
                         && value[0].is_number_unsigned() && value[0].get<EntryKey>() != 0;
    if (!isValid) {
        return std::nullopt;
    }
    HealthReports out{value[0].get<EntryKey>(), {}};
    for (std::size_t i = 1; i < value.size(); ++i) {
        const auto report = decodeReport(value[i]);
        if (!report) {
            return std::nullopt;
        }
        out.reports.push_back(*report);
    }
    return out;
}

HealthSync::HealthSync(EntryKey self, ServerSelector &selector)
    : m_self(self)
    , m_selector(selector)
{
}

json HealthSync::gossip(std::size_t maxBytes)
{
    auto all = m_selector.suspects(std::numeric_limits<std::size_t>::max());
    const auto room = maxBytes < headerBytes ? 0 : (maxBytes - headerBytes) / reportBytes;
    const auto n = std::min({all.size(), room, maxHealthReports});
    if (n == 0) {
        return {};
    }
    std::ranges::sort(all, {}, &HealthReport::server);
    m_next %= all.size();
    std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(m_next), all.end());
    m_next += n;
    all.resize(n);
    return encodeHealthReports({m_self, std::move(all)});
}

bool HealthSync::mergeReports(TimePoint now, const json &field)
{
    const auto taken = decodeHealthReports(field);
    if (!taken) {
        return false;
    }
    if (taken->reporter != m_self) {
        for (const auto &it : taken->reports) {
            m_selector.onHealthReport(now, taken->reporter, it);
        }
    }
    return true;
}

} // namespace turmericline

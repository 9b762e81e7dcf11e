#include "suspect_sync.h"

#include "suspect_codec.h"

namespace turmericline {

namespace {

using nlohmann::json;

/** Larger messages are ignored, to bound the work per message; other processes send fewer reports. */
constexpr std::size_t maxReportsPerMessage = 256;

SuspectSettings settingsFor(std::chrono::milliseconds hold)
{
    SuspectSettings settings;
    settings.hold = hold;
    return settings;
}

} // namespace

SuspectSync::SuspectSync(std::chrono::milliseconds hold)
    : m_started(std::chrono::steady_clock::now())
    , m_table(settingsFor(hold))
{
}

void SuspectSync::setNewReportsHandler(NewReportsHandler handler)
{
    m_newReportsHandler = std::move(handler);
}

Age SuspectSync::now() const
{
    return std::chrono::duration_cast<Age>(std::chrono::steady_clock::now() - m_started);
}

SuspectDecision SuspectSync::decide(std::string_view fingerprint) const
{
    const auto parsed = parseFingerprint(fingerprint);
    return parsed ? m_table.decide(*parsed, now()) : SuspectDecision{};
}

void SuspectSync::recordCrash(const std::vector<Fingerprint> &inFlight,
                              std::string_view server,
                              std::uint64_t incarnation,
                              std::string_view domain)
{
    Reports reports;
    for (const auto &it : inFlight) {
        reports.push_back({it, std::string(server), incarnation, std::string(domain), Age::zero(), false});
    }
    mergeFrom(reports, Origin::Own);
}

void SuspectSync::merge(const Reports &reports)
{
    mergeFrom(reports, Origin::Peer);
}

void SuspectSync::mergeFrom(const Reports &reports, Origin origin)
{
    Reports newReports;
    for (const auto &it : reports) {
        if (m_table.merge(it, now())) {
            newReports.push_back(it);
        }
    }
    if (!newReports.empty() && m_newReportsHandler) {
        m_newReportsHandler(newReports, origin);
    }
}

void SuspectSync::complete(std::string_view fingerprint)
{
    const auto parsed = parseFingerprint(fingerprint);
    if (!parsed || m_table.decide(*parsed, now()).action == SuspectAction::Run) {
        return;
    }
    m_table.complete(*parsed);
    if (m_newReportsHandler) {
        m_newReportsHandler(m_table.reportsOf(*parsed, now()), Origin::Own);
    }
}

std::string SuspectSync::header(std::string_view fingerprint) const
{
    const auto parsed = parseFingerprint(fingerprint);
    auto list = json::array();
    for (const auto &it : parsed ? m_table.reportsOf(*parsed, now()) : Reports{}) {
        list.push_back(encodeReport(it));
    }
    return list.empty() ? std::string() : list.dump();
}

void SuspectSync::mergeHeader(std::string_view text)
{
    if (!text.empty()) {
        mergeReports(json::parse(text, nullptr, false));
    }
}

json SuspectSync::gossip()
{
    m_table.expire(now());
    auto list = json::array();
    for (const auto &it : reportsForMessage(m_table, now())) {
        list.push_back(encodeReport(it));
    }
    return list;
}

void SuspectSync::mergeReports(const json &reports)
{
    if (!reports.is_array() || reports.size() > maxReportsPerMessage) {
        return;
    }
    Reports read;
    for (const auto &it : reports) {
        if (auto report = decodeReport(it)) {
            read.push_back(std::move(*report));
        }
    }
    merge(read);
}

SuspectSync::Reports SuspectSync::recent(std::size_t n) const
{
    return m_table.recentReports(n, now());
}

json SuspectSync::status() const
{
    return describeSuspects(m_table, now());
}

} // namespace turmericline

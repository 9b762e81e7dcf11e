#include "suspect_sync.h"

#include "part_suspect_codec.h"
#include "suspect_codec.h"

#include <algorithm>
#include <random>

namespace turmericline {

namespace {

using nlohmann::json;

/** Larger messages are ignored, to bound the work per message; other processes send fewer reports. */
constexpr std::size_t maxReportsPerMessage = 256;

constexpr std::size_t maxPartsPerRequest = 64;

SuspectSettings settingsFor(std::chrono::milliseconds hold)
{
    SuspectSettings settings;
    settings.hold = hold;
    settings.survivedSeed = std::random_device()();
    return settings;
}

PartSuspectSettings partSettingsFor(std::chrono::milliseconds hold)
{
    PartSuspectSettings settings;
    settings.maxHold = hold;
    settings.minHold = std::min(settings.minHold, hold);
    return settings;
}

} // namespace

std::vector<Fingerprint> parseParts(std::string_view text)
{
    std::vector<Fingerprint> parts;
    while (!text.empty() && parts.size() < maxPartsPerRequest) {
        const auto n = std::min(text.find(','), text.size());
        if (const auto part = parseFingerprint(text.substr(0, n))) {
            parts.push_back(*part);
        }
        text.remove_prefix(std::min(n + 1, text.size()));
    }
    return parts;
}

std::string formatParts(std::span<const Fingerprint> parts)
{
    std::string text;
    for (const auto &it : parts) {
        text += (text.empty() ? "" : ",") + formatFingerprint(it);
    }
    return text;
}

std::span<const Fingerprint> provenParts(int status, std::span<const Fingerprint> parts)
{
    const bool isSuccess = status >= 200 && status < 300;
    return isSuccess ? parts : parts.first(0);
}

SuspectSync::SuspectSync(std::chrono::milliseconds hold)
    : m_started(std::chrono::steady_clock::now())
    , m_table(settingsFor(hold))
    , m_parts(partSettingsFor(hold), std::random_device()())
{
}

void SuspectSync::setNewReportsHandler(NewReportsHandler handler)
{
    m_newReportsHandler = std::move(handler);
}

void SuspectSync::setNewPartsHandler(NewPartsHandler handler)
{
    m_newPartsHandler = std::move(handler);
}

Age SuspectSync::now() const
{
    return std::chrono::duration_cast<Age>(std::chrono::steady_clock::now() - m_started);
}

SuspectDecision SuspectSync::decide(std::string_view fingerprint, Parts parts) const
{
    const auto parsed = parseFingerprint(fingerprint);
    const auto whole = parsed ? m_table.decide(*parsed, now()) : SuspectDecision{};
    const auto shared = m_parts.decide(parts, now());
    return whole.action >= shared.action ? whole : shared;
}

void SuspectSync::recordSent(Parts parts)
{
    m_parts.admit(parts, now());
    m_parts.recordSent(parts);
}

void SuspectSync::recordCrash(const std::vector<Fingerprint> &inFlight,
                              std::string_view server,
                              std::uint64_t incarnation,
                              std::string_view domain,
                              std::span<const PartInFlight> parts)
{
    Reports reports;
    for (const auto &it : inFlight) {
        reports.push_back({it, std::string(server), incarnation, std::string(domain), Age::zero(), false});
    }
    mergeFrom(reports, Origin::Own);
    m_parts.recordCrash(parts, server, incarnation, now());
    std::vector<Fingerprint> fingerprints;
    for (const auto &it : parts) {
        fingerprints.push_back(it.part);
    }
    announceNews(reportsOf(fingerprints), Origin::Own);
}

void SuspectSync::announceNews(const std::vector<PartReport> &news, Origin origin)
{
    if (m_parts.takeNews() && m_newPartsHandler) {
        m_newPartsHandler(news, origin);
    }
}

std::vector<PartReport> SuspectSync::reportsOf(Parts parts) const
{
    auto reports = m_parts.allReports(m_parts.size(), now());
    std::erase_if(reports, [parts](const PartReport &it) {
        return std::find(parts.begin(), parts.end(), it.part) == parts.end();
    });
    return reports;
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

void SuspectSync::complete(std::string_view fingerprint, Parts parts)
{
    m_parts.recordSound(parts, now());
    announceNews(reportsOf(parts), Origin::Own);
    const auto parsed = parseFingerprint(fingerprint);
    if (!parsed || m_table.decide(*parsed, now()).action == SuspectAction::Run) {
        return;
    }
    m_table.complete(*parsed);
    if (m_newReportsHandler) {
        m_newReportsHandler(m_table.reportsOf(*parsed, now()), Origin::Own);
    }
}

void SuspectSync::recordSurvived(const Fingerprint &fingerprint, Parts parts)
{
    m_parts.recordSurvived(parts, now());
    announceNews(reportsOf(parts), Origin::Own);
    if (m_table.recordSurvived(fingerprint) && m_newReportsHandler) {
        m_newReportsHandler(m_table.reportsOf(fingerprint, now()), Origin::Own);
    }
}

std::string SuspectSync::header(std::string_view fingerprint, Parts parts) const
{
    const auto parsed = parseFingerprint(fingerprint);
    auto list = json::array();
    for (const auto &it : parsed ? m_table.reportsOf(*parsed, now()) : Reports{}) {
        list.push_back(encodeReport(it));
    }
    for (const auto &it : reportsOf(parts)) {
        list.push_back(encodePartReport(it));
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
    m_parts.expire(now());
    auto list = json::array();
    for (const auto &it : reportsForMessage(m_table, now())) {
        list.push_back(encodeReport(it));
    }
    for (const auto &it : partReportsForMessage(m_parts, now())) {
        list.push_back(encodePartReport(it));
    }
    return list;
}

void SuspectSync::mergeReports(const json &reports)
{
    if (!reports.is_array() || reports.size() > maxReportsPerMessage) {
        return;
    }
    Reports read;
    std::vector<PartReport> news;
    for (const auto &it : reports) {
        if (auto report = decodeReport(it)) {
            read.push_back(std::move(*report));
        } else if (auto part = decodePartReport(it); part && m_parts.merge(*part, now())) {
            news.push_back(std::move(*part));
        }
    }
    merge(read);
    announceNews(news, Origin::Peer);
}

SuspectSync::Reports SuspectSync::recent(std::size_t n) const
{
    return m_table.recentReports(n, now());
}

std::vector<PartReport> SuspectSync::recentParts(std::size_t n) const
{
    return m_parts.allReports(n, now());
}

json SuspectSync::status() const
{
    auto status = describeSuspects(m_table, now());
    status["prompt_parts"] = describeParts(m_parts, now());
    return status;
}

} // namespace turmericline

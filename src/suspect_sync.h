#pragma once

#include "part_suspect.h"
#include "suspect.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** Parses the fingerprints of shared messages, separated by commas; skips invalid ones and any after the 64th. */
std::vector<Fingerprint> parseParts(std::string_view text);
std::string formatParts(std::span<const Fingerprint> parts);

/** The shared messages that an answer with @p status proves to be sound: none if the server may have refused or failed. */
std::span<const Fingerprint> provenParts(int status, std::span<const Fingerprint> parts);

/**
 * The suspect tables of a daemon, for whole requests and for messages that requests share, their clock, and the exchange
 * of reports with other processes. Fingerprints are passed as 32 hexadecimal digits; an invalid one is never suspected.
 * The shared messages of a request are in CallerRequest::parts.
 */
class SuspectSync
{
public:
    using Reports = std::vector<CrashReport>;
    enum class Origin {
        Own, ///< This process has observed the crash or the completion itself.
        Peer,
    };
    /** Called with reports that were new to this process. */
    using NewReportsHandler = std::function<void(const Reports &newReports, Origin origin)>;

    /** As NewReportsHandler, for shared messages. */
    using NewPartsHandler = std::function<void(const std::vector<PartReport> &news, Origin origin)>;
    using Parts = std::span<const Fingerprint>;

    explicit SuspectSync(std::chrono::milliseconds hold);

    void setNewReportsHandler(NewReportsHandler handler);
    void setNewPartsHandler(NewPartsHandler handler);

    SuspectDecision decide(std::string_view fingerprint, Parts parts = {}) const;
    /** A request with these shared messages is sent to the backend server. */
    void recordSent(Parts parts);
    void recordCrash(const std::vector<Fingerprint> &inFlight,
                     std::string_view server,
                     std::uint64_t incarnation,
                     std::string_view domain,
                     std::span<const PartInFlight> parts = {});
    /** Clears a fingerprint, if it is suspected, and the shared messages. */
    void complete(std::string_view fingerprint, Parts parts = {});
    /** The backend server has outlived a call with these that was cancelled. */
    void recordSurvived(const Fingerprint &fingerprint, Parts parts);
    void merge(const Reports &reports);

    /** Returns the reports about one fingerprint and these messages as a header value; empty if there are none. */
    std::string header(std::string_view fingerprint, Parts parts = {}) const;
    /** Merges the reports of such a header value. */
    void mergeHeader(std::string_view text);

    /**
     * Returns the reports for a gossip message: at most 16 about requests, in 800 bytes as MessagePack, and those about
     * shared messages that were sent seldom so far, in 400 bytes.
     */
    nlohmann::json gossip();
    /** Merges an array of encoded reports; skips invalid ones. */
    void mergeReports(const nlohmann::json &reports);

    Reports recent(std::size_t n) const;
    std::vector<PartReport> recentParts(std::size_t n) const;
    nlohmann::json status() const;

private:
    Age now() const;
    void mergeFrom(const Reports &reports, Origin origin);
    std::vector<PartReport> reportsOf(Parts parts) const;
    void announceNews(const std::vector<PartReport> &news, Origin origin);

    std::chrono::steady_clock::time_point m_started;
    SuspectTable m_table;
    PartSuspects m_parts;
    NewReportsHandler m_newReportsHandler;
    NewPartsHandler m_newPartsHandler;
};

} // namespace turmericline

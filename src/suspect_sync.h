#pragma once

#include "suspect.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/**
 * The suspect table of a daemon, its clock, and the exchange of reports with other processes. Fingerprints are passed
 * as 32 hexadecimal digits; an invalid one is never suspected.
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

    explicit SuspectSync(std::chrono::milliseconds hold);

    void setNewReportsHandler(NewReportsHandler handler);

    SuspectDecision decide(std::string_view fingerprint) const;
    void recordCrash(const std::vector<Fingerprint> &inFlight,
                     std::string_view server,
                     std::uint64_t incarnation,
                     std::string_view domain);
    /** Clears a fingerprint if it is suspected. */
    void complete(std::string_view fingerprint);
    void merge(const Reports &reports);

    /** Returns the reports about one fingerprint as a header value; empty if there are none. */
    std::string header(std::string_view fingerprint) const;
    /** Merges the reports of such a header value. */
    void mergeHeader(std::string_view text);

    /** Returns the reports for a gossip message: at most 16, and 800 bytes as MessagePack. */
    nlohmann::json gossip();
    /** Merges an array of encoded reports; skips invalid ones. */
    void mergeReports(const nlohmann::json &reports);

    Reports recent(std::size_t n) const;
    nlohmann::json status() const;

private:
    Age now() const;
    void mergeFrom(const Reports &reports, Origin origin);

    std::chrono::steady_clock::time_point m_started;
    SuspectTable m_table;
    NewReportsHandler m_newReportsHandler;
};

} // namespace turmericline

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
 * The suspect table of a daemon with its clock and its exchange with other processes. Fingerprints are given as their
 * 32 hexadecimal digits; an invalid one is never suspected.
 */
class SuspectSync
{
public:
    using Reports = std::vector<CrashReport>;
    enum class Origin {
        Own, ///< This process has seen the crash or the completion.
        Peer,
    };
    /** Called with reports that were not known before. */
    using NewsHandler = std::function<void(const Reports &news, Origin origin)>;

    explicit SuspectSync(std::chrono::milliseconds hold);

    void setNewsHandler(NewsHandler onNews);

    SuspectDecision decide(std::string_view fingerprint) const;
    void recordCrash(const std::vector<Fingerprint> &inFlight,
                     std::string_view server,
                     std::uint64_t incarnation,
                     std::string_view domain);
    /** Clears a suspected fingerprint; of no effect for others. */
    void complete(std::string_view fingerprint);
    void merge(const Reports &reports);

    /** Reports about one fingerprint as the value of a header; empty if there are none. */
    std::string header(std::string_view fingerprint) const;
    void takeHeader(std::string_view text);

    /** The part of a gossip message; at most 16 reports and 800 bytes of MessagePack. */
    nlohmann::json gossip();
    /** An array of reports; anything invalid in it is skipped. */
    void takeReports(const nlohmann::json &reports);

    Reports recent(std::size_t n) const;
    nlohmann::json status() const;

private:
    Age now() const;
    void mergeFrom(const Reports &reports, Origin origin);

    std::chrono::steady_clock::time_point m_started;
    SuspectTable m_table;
    NewsHandler m_onNews;
};

} // namespace turmericline

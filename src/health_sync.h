#pragma once

#include "server_selector.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <vector>

namespace turmericline {

/** Suspicions of one entry, as carried by a gossip message. */
struct HealthReports
{
    EntryKey reporter = 0;
    std::vector<HealthReport> reports;
};

inline constexpr std::size_t maxHealthReports = 32;

/** Encodes as [reporter, [server, incarnation, state], ...]; includes only the first 32 reports. */
nlohmann::json encodeHealthReports(const HealthReports &reports);
/** Returns nothing if the value is malformed or has more than 32 reports. */
std::optional<HealthReports> decodeHealthReports(const nlohmann::json &value);

/** Exchanges suspicions of backend servers between an entry and its neighbours. */
class HealthSync
{
public:
    /** @p self identifies this incarnation of the entry and is not 0. */
    HealthSync(EntryKey self, ServerSelector &selector);

    /** Returns a field of at most @p maxBytes for a gossip message; null if nothing is suspected or nothing fits. */
    nlohmann::json gossip(std::size_t maxBytes);
    /** Processes that field of another entry's message; returns false if it is malformed. */
    bool mergeReports(TimePoint now, const nlohmann::json &field);

private:
    EntryKey m_self;
    ServerSelector &m_selector;
    std::size_t m_next = 0; ///< Index of the first report to send; rotates, because not all may fit into one message.
};

} // namespace turmericline

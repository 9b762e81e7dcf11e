#pragma once

#include "server_selector.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <vector>

namespace turmericline {

/** Suspicions of one entry, as a gossip message carries them. */
struct HealthReports
{
    EntryKey reporter = 0;
    std::vector<HealthReport> reports;
};

inline constexpr std::size_t maxHealthReports = 32;

/** Array [reporter, [server, incarnation, state], ...]; takes the first 32 reports. */
nlohmann::json encodeHealthReports(const HealthReports &reports);
/** Anything invalid, or more than 32 reports, gives nothing. */
std::optional<HealthReports> decodeHealthReports(const nlohmann::json &value);

/** Exchanges an entry's suspicions with those of its neighbours. */
class HealthSync
{
public:
    /** @p self identifies this incarnation of the entry and is not 0. */
    HealthSync(EntryKey self, ServerSelector &selector);

    /** Field for a gossip message of at most @p maxBytes; null if nothing is suspected or nothing fits. */
    nlohmann::json gossip(std::size_t maxBytes);
    /** Takes the field of another entry's message; returns false if it is invalid. */
    bool takeReports(TimePoint now, const nlohmann::json &field);

private:
    EntryKey m_self;
    ServerSelector &m_selector;
    std::size_t m_next = 0; ///< Report to begin with, so that all are sent in turn if they don't fit into a message.
};

} // namespace turmericline

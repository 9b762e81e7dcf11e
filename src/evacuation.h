#pragma once

#include "gateway_dialect.h"
#include "store_feed.h"
#include "time_type.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericline {

/** A change of the set of evacuated failure domains, for logs. */
struct EvacuationChange
{
    std::string domain;
    bool isEvacuated = false; ///< False if the evacuation has ended.
};

/**
 * Failure domains that the operators have evacuated: their servers get no new requests until the evacuation is taken back.
 *
 * Expected load: a few changes a day, each of which moves the whole load of a failure domain to the others.
 *
 * The state comes from the store, or from the gateway that reads it for this one. A store that is restored from a copy may
 * lack an evacuation until the operators have written it again, so its end is delayed for that time.
 */
class EvacuatedDomains
{
public:
    explicit EvacuatedDomains(const GatewayDialect &dialect);

    /** Applies what the store has changed. */
    void apply(TimePoint now, const StoreChange &change);
    /** Applies the whole state as another gateway knows it. */
    void replace(TimePoint now, const std::set<std::string> &domains);
    /** Applies the ends of evacuations that were delayed and are due. */
    void tick(TimePoint now);

    const std::set<std::string> &domains() const
    {
        return m_domains;
    }

    std::vector<EvacuationChange> takeChanges();

private:
    void begin(const std::string &domain);
    void endOrDelay(TimePoint now, const std::string &domain);

    const GatewayDialect &m_dialect;
    std::set<std::string> m_domains;
    std::map<std::string, TimePoint> m_delayedEnds; ///< Due time by domain.
    TimePoint m_delaysEndsUntil{};
    std::vector<EvacuationChange> m_changes;
};

} // namespace turmericline

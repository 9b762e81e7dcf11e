#include "evacuation.h"

#include "gateway_feed.h"

#include <utility>

namespace turmericline {

namespace {

/** Limit of evacuated domains; further items are ignored, since others may write there as well. */
constexpr std::size_t maxDomains = 1'000;

} // namespace

EvacuatedDomains::EvacuatedDomains(const GatewayDialect &dialect)
    : m_dialect(dialect)
{
}

void EvacuatedDomains::apply(TimePoint now, const StoreChange &change)
{
    if (change.replaced) {
        m_delaysEndsUntil = now + rewriteTime;
    }
    std::set<std::string> present;
    for (const auto &it : change.items) {
        const auto domain = m_dialect.readEvacuation(it.key);
        if (!domain) {
            continue;
        }
        if (it.isDeleted) {
            endOrDelay(now, *domain);
        } else {
            begin(*domain);
            present.insert(*domain);
        }
    }
    if (change.isSnapshot) {
        for (const auto &it : std::set<std::string>(m_domains)) {
            if (!present.contains(it)) {
                endOrDelay(now, it);
            }
        }
    }
}

void EvacuatedDomains::replace(TimePoint now, const std::set<std::string> &domains)
{
    for (const auto &it : domains) {
        begin(it);
    }
    for (const auto &it : std::set<std::string>(m_domains)) {
        if (!domains.contains(it)) {
            endOrDelay(now, it);
        }
    }
}

void EvacuatedDomains::begin(const std::string &domain)
{
    m_delayedEnds.erase(domain);
    if (m_domains.size() < maxDomains && m_domains.insert(domain).second) {
        m_changes.push_back({domain, true});
    }
}

void EvacuatedDomains::endOrDelay(TimePoint now, const std::string &domain)
{
    if (!m_domains.contains(domain)) {
        return;
    }
    if (now < m_delaysEndsUntil) {
        m_delayedEnds.try_emplace(domain, m_delaysEndsUntil);
        return;
    }
    m_delayedEnds.erase(domain);
    m_domains.erase(domain);
    m_changes.push_back({domain, false});
}

void EvacuatedDomains::tick(TimePoint now)
{
    for (const auto &[domain, at] : std::map<std::string, TimePoint>(m_delayedEnds)) {
        if (now >= at) {
            endOrDelay(now, domain);
        }
    }
}

std::vector<EvacuationChange> EvacuatedDomains::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace turmericline

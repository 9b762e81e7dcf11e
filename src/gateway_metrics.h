#pragma once

#include "exchange.h"
#include "gateway_limits.h"
#include "memory_budget.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace turmericline {

/** Metrics of a gateway. To bound the number of series, workspaces beyond a fixed number share one label value. */
class GatewayMetrics
{
public:
    GatewayMetrics();

    void recordExchange(const Exchange &exchange, std::chrono::steady_clock::duration total);
    /** Counts a request that was refused without an attempt at a server. */
    void recordRefusal(int status);
    /** Counts known facts about servers that an older state of the store did not undo. */
    void recordKeptFacts(std::size_t n);
    /** Counts a restore of the store from a copy. */
    void recordNewEra();
    void setConfigVersion(std::uint64_t version);
    void setCounts(std::size_t callers, std::size_t inFlight, std::uint64_t storeCalls, std::uint64_t opened);
    /** @p limited: servers with a limit. @p owned: those for which this gateway grants the permits. */
    void setCallerMemory(const MemoryBudget &budget, std::uint64_t shed);
    void setAdmission(const std::array<AdmissionCounts, 10> &counts);
    void setServers(std::size_t evacuatedDomains, const ColdStartLimits &coldStart);
    void setPermits(const PermitCounts &counts, std::size_t limited, std::size_t owned);
    /** Prometheus text exposition format. */
    std::string text() const;

private:
    std::string workspaceLabel(const std::string &workspace);

    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Counter> &m_failedAttempts;
    prometheus::Family<prometheus::Histogram> &m_firstByte;
    prometheus::Family<prometheus::Histogram> &m_total;
    prometheus::Family<prometheus::Gauge> &m_gauges;
    prometheus::Counter &m_keptFacts;
    prometheus::Counter &m_newEras;
    std::set<std::string> m_labelledWorkspaces; ///< Workspaces that have their own label value.
};

} // namespace turmericline

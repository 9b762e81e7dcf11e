#pragma once

#include "exchange.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace turmericline {

/** Metrics of a gateway. The number of series is bounded: workspaces beyond a fixed number share one label value. */
class GatewayMetrics
{
public:
    GatewayMetrics();

    void recordExchange(const Exchange &exchange, std::chrono::steady_clock::duration total);
    /** A request that was answered before it was offered to a server. */
    void recordRefusal(int status);
    void setConfigVersion(std::uint64_t version);
    void setCounts(std::size_t callers, std::size_t inFlight, std::uint64_t storeCalls, std::uint64_t opened);
    /** Prometheus text exposition format. */
    std::string text() const;

private:
    std::string workspaceLabel(const std::string &workspace);

    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Histogram> &m_firstByte;
    prometheus::Family<prometheus::Histogram> &m_total;
    prometheus::Family<prometheus::Gauge> &m_gauges;
    std::set<std::string> m_named; ///< Workspaces with a label value of their own.
};

} // namespace turmericline

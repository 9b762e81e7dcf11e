#include "gateway_metrics.h"

#include <prometheus/text_serializer.h>

namespace turmericline {

namespace {

/** Limit of workspaces with their own histograms; 14,000 of them would exceed the memory of an instance. */
constexpr std::size_t maxNamedWorkspaces = 50;

const prometheus::Histogram::BucketBoundaries secondsBuckets{0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 4, 8};

template<typename Metric>
prometheus::Family<Metric> &family(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    if constexpr (std::is_same_v<Metric, prometheus::Counter>) {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    } else if constexpr (std::is_same_v<Metric, prometheus::Gauge>) {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
    } else {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    }
}

} // namespace

GatewayMetrics::GatewayMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(family<prometheus::Counter>(*m_registry, "turmericline_gateway_requests_total", "Requests by outcome"))
    , m_failedAttempts(family<prometheus::Counter>(*m_registry,
                                                   "turmericline_gateway_failed_attempts_total",
                                                   "Attempts at backend servers without a complete answer"))
    , m_firstByte(family<prometheus::Histogram>(
          *m_registry, "turmericline_gateway_first_byte_seconds", "From arrival to the first byte of the answer"))
    , m_total(family<prometheus::Histogram>(
          *m_registry, "turmericline_gateway_request_seconds", "From arrival to the end of the answer"))
    , m_gauges(family<prometheus::Gauge>(*m_registry, "turmericline_gateway_state", "State of the process by name"))
    , m_keptFacts(family<prometheus::Counter>(*m_registry,
                                              "turmericline_gateway_kept_facts_total",
                                              "Known facts about servers that an older state of the store did not undo")
                      .Add({}))
    , m_newEras(family<prometheus::Counter>(*m_registry,
                                            "turmericline_gateway_store_restores_total",
                                            "Times that the store came back from a copy")
                    .Add({}))
{
}

std::string GatewayMetrics::workspaceLabel(const std::string &workspace)
{
    if (workspace.empty()) {
        return "none";
    }
    if (m_labelledWorkspaces.size() < maxNamedWorkspaces) {
        m_labelledWorkspaces.insert(workspace);
    }
    return m_labelledWorkspaces.contains(workspace) ? workspace : "other";
}

void GatewayMetrics::recordExchange(const Exchange &exchange, std::chrono::steady_clock::duration total)
{
    const auto &request = exchange.request();
    const auto &summary = exchange.summary();
    const std::string kind(nameOf(routeKindNames, request.rule->kind));
    m_requests.Add({{"class", kind}, {"status", std::to_string(summary.status)}}).Increment();
    for (const auto &it : summary.failedAttempts) {
        const std::string fault(it.fault ? nameOf(backendFaultNames, *it.fault) : "none");
        m_failedAttempts.Add({{"class", kind}, {"fault", fault}}).Increment();
    }
    const prometheus::Labels labels{{"class", kind}, {"workspace", workspaceLabel(request.workspace)}};
    if (summary.firstByte) {
        m_firstByte.Add(labels, secondsBuckets).Observe(std::chrono::duration<double>(*summary.firstByte).count());
    }
    m_total.Add(labels, secondsBuckets).Observe(std::chrono::duration<double>(total).count());
}

void GatewayMetrics::recordRefusal(int status)
{
    m_requests.Add({{"class", "none"}, {"status", std::to_string(status)}}).Increment();
}

void GatewayMetrics::recordKeptFacts(std::size_t n)
{
    m_keptFacts.Increment(static_cast<double>(n));
}

void GatewayMetrics::recordNewEra()
{
    m_newEras.Increment();
}

void GatewayMetrics::setConfigVersion(std::uint64_t version)
{
    m_gauges.Add({{"name", "config_version"}}).Set(static_cast<double>(version));
}

void GatewayMetrics::setCounts(std::size_t callers,
                               std::size_t inFlight,
                               std::uint64_t storeCalls,
                               std::uint64_t opened)
{
    m_gauges.Add({{"name", "caller_connections"}}).Set(static_cast<double>(callers));
    m_gauges.Add({{"name", "requests_in_flight"}}).Set(static_cast<double>(inFlight));
    m_gauges.Add({{"name", "store_calls"}}).Set(static_cast<double>(storeCalls));
    m_gauges.Add({{"name", "server_connections_opened"}}).Set(static_cast<double>(opened));
}

void GatewayMetrics::setPermits(const PermitCounts &counts, std::size_t limited, std::size_t owned)
{
    m_gauges.Add({{"name", "limited_servers"}}).Set(static_cast<double>(limited));
    m_gauges.Add({{"name", "limits_owned"}}).Set(static_cast<double>(owned));
    m_gauges.Add({{"name", "permits_asked"}}).Set(static_cast<double>(counts.asked));
    m_gauges.Add({{"name", "permits_received"}}).Set(static_cast<double>(counts.received));
    m_gauges.Add({{"name", "permits_unanswered"}}).Set(static_cast<double>(counts.unanswered));
    m_gauges.Add({{"name", "permits_granted"}}).Set(static_cast<double>(counts.granted));
    m_gauges.Add({{"name", "permits_denied"}}).Set(static_cast<double>(counts.denied));
}

void GatewayMetrics::setCallerMemory(const MemoryBudget &budget, std::uint64_t shed)
{
    m_gauges.Add({{"name", "caller_memory_bytes"}}).Set(static_cast<double>(budget.used()));
    m_gauges.Add({{"name", "callers_shed"}}).Set(static_cast<double>(shed));
}

void GatewayMetrics::setAdmission(const std::array<AdmissionCounts, 10> &counts)
{
    for (std::size_t n = 0; n < counts.size(); ++n) {
        if (counts[n].offered > 0) {
            const auto priority = std::to_string(n);
            m_gauges.Add({{"name", "requests_offered"}, {"priority", priority}})
                .Set(static_cast<double>(counts[n].offered));
            m_gauges.Add({{"name", "requests_not_admitted"}, {"priority", priority}})
                .Set(static_cast<double>(counts[n].refused));
        }
    }
}

void GatewayMetrics::setServers(std::size_t evacuatedDomains, const ColdStartLimits &coldStart)
{
    const auto now = std::chrono::steady_clock::now();
    m_gauges.Add({{"name", "evacuated_domains"}}).Set(static_cast<double>(evacuatedDomains));
    m_gauges.Add({{"name", "cold_servers"}}).Set(static_cast<double>(coldStart.coldCount(now)));
    m_gauges.Add({{"name", "cold_start_denials"}}).Set(static_cast<double>(coldStart.deniedCount()));
}

std::string GatewayMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace turmericline

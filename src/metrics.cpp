#include "metrics.h"

#include "verdict.h"

#include <prometheus/text_serializer.h>
#include <xxhash.h>

#include <algorithm>

namespace turmericline {

namespace {

/** In seconds. The targets of 0.029 s between tokens and 0.7 s to the first token are among the bounds. */
const prometheus::Histogram::BucketBoundaries latencyBounds{
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.029, 0.05, 0.1, 0.25, 0.5, 0.7, 1, 2.5, 5, 10, 30, 120};

double seconds(std::chrono::steady_clock::duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

void WorkspaceLabels::rebuild(const Document &document)
{
    std::vector<const Workspace *> all;
    for (const auto &it : document.workspaces) {
        all.push_back(&it);
    }
    const auto n = std::min(maxNamedWorkspaces, all.size());
    std::partial_sort(all.begin(),
                      all.begin() + static_cast<std::ptrdiff_t>(n),
                      all.end(),
                      [&document](const Workspace *a, const Workspace *b) {
                          const auto wa = document.plans[a->plan].weight;
                          const auto wb = document.plans[b->plan].weight;
                          return wa != wb ? wa > wb : a->name < b->name;
                      });
    // Workspaces keep their labels across documents, up to the limit, so the number of time series stays bounded.
    for (std::size_t i = 0; i < n && m_namedWorkspaces.size() < maxNamedWorkspaces; ++i) {
        m_namedWorkspaces.emplace(all[i]->name, true);
    }
}

std::string WorkspaceLabels::labelOf(std::string_view workspace) const
{
    if (m_namedWorkspaces.contains(workspace)) {
        return std::string(workspace);
    }
    return "other-" + std::to_string(XXH3_64bits(workspace.data(), workspace.size()) % sharedLabelCount);
}

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(prometheus::BuildCounter()
                     .Name("turmericline_requests_total")
                     .Help("Requests answered, by verdict and status")
                     .Register(*m_registry))
    , m_requestTime(prometheus::BuildHistogram()
                        .Name("turmericline_request_seconds")
                        .Help("Time from a request to the end of its answer")
                        .Register(*m_registry))
    , m_firstToken(prometheus::BuildHistogram()
                       .Name("turmericline_first_token_seconds")
                       .Help("Time from a request to the first token")
                       .Register(*m_registry))
    , m_tokenGap(prometheus::BuildHistogram()
                     .Name("turmericline_token_gap_seconds")
                     .Help("Time between two tokens of a stream")
                     .Register(*m_registry))
{
}

void Metrics::setDocument(const Document &document)
{
    m_labels.rebuild(document);
}

prometheus::Histogram &Metrics::histogram(prometheus::Family<prometheus::Histogram> &family,
                                          std::string_view workspace,
                                          RequestClass requestClass)
{
    return family.Add(
        {{"workspace", m_labels.labelOf(workspace)}, {"class", std::string(nameOf(requestClassNames, requestClass))}},
        latencyBounds);
}

void Metrics::recordRequest(const RequestSample &sample)
{
    m_requests
        .Add({{"class", std::string(nameOf(requestClassNames, sample.requestClass))},
              {"verdict", std::string(verdictName(sample.verdict))},
              {"status", std::to_string(sample.status)}})
        .Increment();
    histogram(m_requestTime, sample.workspace, sample.requestClass).Observe(seconds(sample.total));
    if (sample.firstToken) {
        histogram(m_firstToken, sample.workspace, sample.requestClass).Observe(seconds(*sample.firstToken));
    }
}

void Metrics::recordTokenGap(std::string_view workspace,
                             RequestClass requestClass,
                             std::chrono::steady_clock::duration gap)
{
    histogram(m_tokenGap, workspace, requestClass).Observe(seconds(gap));
}

prometheus::Counter &Metrics::counter(const std::string &name, const std::string &help)
{
    auto &slot = m_counters[name];
    if (slot == nullptr) {
        slot = &prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry).Add({});
    }
    return *slot;
}

prometheus::Gauge &Metrics::gauge(const std::string &name, const std::string &help)
{
    auto &slot = m_gauges[name];
    if (slot == nullptr) {
        slot = &prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add({});
    }
    return *slot;
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace turmericline

#pragma once

#include "document_type.h"
#include "verdict_type.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace turmericline {

/**
 * Maps workspaces to a bounded set of label values: those with the largest plan weight have a label of their own, all
 * others share a fixed number of buckets. 14,000 workspaces have at most 66 label values.
 */
class WorkspaceLabels
{
public:
    static constexpr std::size_t maxNamedWorkspaces = 50;
    static constexpr std::size_t sharedLabelCount = 16;

    void rebuild(const Document &document);
    std::string labelOf(std::string_view workspace) const;

private:
    std::unordered_map<std::string, bool, StringHash, std::equal_to<>> m_namedWorkspaces;
};

/** Measurements of a completed request. */
struct RequestSample
{
    std::string_view workspace;
    RequestClass requestClass = RequestClass::Interactive;
    Verdict verdict = Verdict::NotRun;
    int status = 0;
    std::chrono::steady_clock::duration total{};
    std::optional<std::chrono::steady_clock::duration> firstToken;
};

/** Metrics of one process. */
class Metrics
{
public:
    Metrics();

    void setDocument(const Document &document);
    void recordRequest(const RequestSample &sample);
    void recordTokenGap(std::string_view workspace, RequestClass requestClass, std::chrono::steady_clock::duration gap);
    /** Returns the counter @p name, without labels; creates it on first use. */
    prometheus::Counter &counter(const std::string &name, const std::string &help);
    prometheus::Gauge &gauge(const std::string &name, const std::string &help);
    /** Serializes all metrics in the Prometheus text exposition format. */
    std::string text() const;

private:
    prometheus::Histogram &
    histogram(prometheus::Family<prometheus::Histogram> &family, std::string_view workspace, RequestClass requestClass);

    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Histogram> &m_requestTime;
    prometheus::Family<prometheus::Histogram> &m_firstToken;
    prometheus::Family<prometheus::Histogram> &m_tokenGap;
    std::map<std::string, prometheus::Counter *> m_counters;
    std::map<std::string, prometheus::Gauge *> m_gauges;
    WorkspaceLabels m_labels;
};

} // namespace turmericline

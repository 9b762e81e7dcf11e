#include "load_tool_plan.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cmath>

namespace turmericline {

namespace {

constexpr std::size_t bytesPerToken = 4; // Typical mean for English text.

/** Weighted selection: index of the item whose interval holds @p position, from 0 to the sum of the weights. */
template<typename Items, typename WeightOf>
std::size_t weightedIndex(const Items &items, double position, WeightOf weightOf)
{
    std::size_t last = 0;
    for (std::size_t i = 0; i < items.size(); ++i) {
        const double weight = weightOf(items[i]);
        if (weight <= 0) {
            continue;
        }
        if (position < weight) {
            return i;
        }
        position -= weight;
        last = i; // Rounding errors may put the point beyond the last item.
    }
    return last;
}

/** Repeats @p seed up to @p length bytes; texts of different seeds differ from near their start. */
std::string repeatToLength(std::string seed, std::size_t length)
{
    const auto unit = seed + ' ';
    while (seed.size() < length) {
        seed += unit;
    }
    seed.resize(length);
    return seed;
}

} // namespace

LoadPlan::LoadPlan(const LoadOptions &options)
    : m_options(options)
    , m_arrivals(options.seed)
    , m_requests(options.seed ^ 0x9e3779b97f4a7c15U)
{
    std::random_device device;
    m_keyPrefix = (std::uint64_t{device()} << 32U) | device();
    for (const auto &it : options.workspaces) {
        m_workspaceWeights += it.weight;
    }
    for (const auto weight : options.mix) {
        m_classWeights += weight;
    }
}

double LoadPlan::uniform(std::mt19937_64 &random)
{
    return static_cast<double>(random() >> 11U) * 0x1p-53;
}

std::chrono::nanoseconds LoadPlan::nextGap()
{
    const std::chrono::duration<double> gap(-std::log1p(-uniform(m_arrivals)) / m_options.rate);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(gap);
}

LoadRequest LoadPlan::nextRequest()
{
    LoadRequest request;
    request.number = m_nextNumber++;
    request.target = request.number % m_options.targets.size();
    request.kind = uniform(m_requests) < m_options.serviceShare ? LoadKind::Service : LoadKind::Model;
    const auto classIndex = weightedIndex(m_options.mix, uniform(m_requests) * m_classWeights, [](double weight) {
        return weight;
    });
    request.requestClass = static_cast<RequestClass>(classIndex);
    request.workspace
        = weightedIndex(m_options.workspaces, uniform(m_requests) * m_workspaceWeights, [](const LoadWorkspace &it) {
              return it.weight;
          });
    request.promptGroup = static_cast<std::size_t>(uniform(m_requests) * static_cast<double>(m_options.promptGroups));
    return request;
}

std::string LoadPlan::promptOf(const LoadRequest &request) const
{
    const auto length = m_options.promptTokens * bytesPerToken;
    const auto shared = m_options.promptGroups == 0 ? 0 : length / 2;
    return repeatToLength(fmt::format("group {}", request.promptGroup), shared)
           + repeatToLength(fmt::format("{} of {}", request.number, m_options.seed), length - shared);
}

HttpClientRequest LoadPlan::toHttp(const LoadRequest &request) const
{
    HttpClientRequest http;
    http.method = "POST";
    http.url = m_options.targets[request.target];
    http.totalTimeout = m_options.timeout;
    http.headers = {{"Authorization", "Bearer " + m_options.workspaces[request.workspace].key},
                    {"Content-Type", "application/json"},
                    {"X-Class", std::string(nameOf(requestClassNames, request.requestClass))}};
    if (m_options.deadline.count() != 0) {
        http.headers.emplace_back("X-Deadline-Ms", std::to_string(m_options.deadline.count()));
    }
    if (request.kind == LoadKind::Service) {
        http.url += "/services/" + m_options.service + m_options.servicePath;
        http.headers.emplace_back("Idempotency-Key", fmt::format("load-{:016x}-{}", m_keyPrefix, request.number));
        http.body = nlohmann::json{{"number", request.number}}.dump();
    } else {
        http.url += "/v1/completions";
        http.body = nlohmann::json{
            {"model", m_options.model},
            {"prompt", promptOf(request)},
            {"max_tokens", m_options.maxTokens},
            {"stream",
             true}}.dump();
    }
    return http;
}

} // namespace turmericline

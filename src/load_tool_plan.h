#pragma once

#include "http_client.h"
#include "load_tool_type.h"

#include <random>

namespace turmericline {

/** Draws arrivals and requests; the same options give the same sequence. */
class LoadPlan
{
public:
    explicit LoadPlan(const LoadOptions &options);

    /** Time from one arrival to the next, exponentially distributed. */
    std::chrono::nanoseconds nextGap();
    LoadRequest nextRequest();
    HttpClientRequest toHttp(const LoadRequest &request) const;

private:
    /** Uniform in [0, 1). Written out because the library's distributions differ between implementations. */
    static double uniform(std::mt19937_64 &random);
    std::string promptOf(const LoadRequest &request) const;

    LoadOptions m_options;
    std::mt19937_64 m_arrivals; ///< Apart from the requests, so that both loops send the same ones.
    std::mt19937_64 m_requests;
    std::uint64_t m_keyPrefix; ///< Random, so that idempotency keys are fresh in every run.
    std::uint64_t m_nextNumber = 0;
    double m_workspaceWeights = 0;
    double m_classWeights = 0;
};

} // namespace turmericline

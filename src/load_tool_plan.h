#pragma once

#include "http_client.h"
#include "load_tool_type.h"

#include <random>

namespace turmericline {

/** Generates arrival times and requests at random; the same options give the same sequence. */
class LoadPlan
{
public:
    explicit LoadPlan(const LoadOptions &options);

    /** Returns the time to the next arrival, exponentially distributed. */
    std::chrono::nanoseconds nextGap();
    LoadRequest nextRequest();
    HttpClientRequest toHttp(const LoadRequest &request) const;

private:
    /** Uniform in [0, 1). Not std::uniform_real_distribution, whose results differ between standard libraries. */
    static double uniform(std::mt19937_64 &random);
    std::string promptOf(const LoadRequest &request) const;

    LoadOptions m_options;
    std::mt19937_64 m_arrivals; ///< Separate, so that open and closed loop send the same requests.
    std::mt19937_64 m_requests;
    std::uint64_t m_keyPrefix; ///< Not seeded, so that each run has new idempotency keys.
    std::uint64_t m_nextNumber = 0;
    double m_workspaceWeights = 0;
    double m_classWeights = 0;
};

} // namespace turmericline

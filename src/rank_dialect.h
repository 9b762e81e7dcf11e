#pragma once

#include "rank_type.h"
#include "verdict_type.h"

#include <functional>
#include <string>
#include <string_view>

namespace turmericline {

/** Platform-specific targets and body formats of calls to a backend server that is a rank of a group. */
struct RankDialect
{
    std::string stateTarget;
    std::string countsTarget;
    std::string heldTarget;
    std::string orderTarget;
    std::function<Result<RankState>(std::string_view body)> readState;
    std::function<Result<RankCounts>(std::string_view body)> readCounts;
    std::function<Result<HeldExperts>(std::string_view body)> readHeld; ///< Reads the experts of the map in use.
    std::function<std::string(const RankOrder &order)> orderBody;
};

} // namespace turmericline

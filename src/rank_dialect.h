#pragma once

#include "rank_type.h"
#include "verdict_type.h"

#include <functional>
#include <string>
#include <string_view>

namespace turmericline {

/** Calls to a backend server that is a rank of a group. */
struct RankDialect
{
    std::string stateTarget;
    std::string countsTarget;
    std::string heldTarget;
    std::string orderTarget;
    std::function<Result<RankState>(std::string_view body)> readState;
    std::function<Result<RankCounts>(std::string_view body)> readCounts;
    std::function<Result<HeldExperts>(std::string_view body)> readHeld; ///< Of the map in use.
    std::function<std::string(const RankOrder &order)> orderBody;
};

} // namespace turmericline

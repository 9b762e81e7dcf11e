#pragma once

#include "backend_table.h"
#include "verdict_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** Loads of the ranks of a group, as known to its coordinator. */
struct GroupLoads
{
    std::string group;
    std::vector<std::optional<BackendLoad>> ranks; ///< Nothing for a rank without a recent report.
};

/** Encodes the coordinator's answer to a gateway as MessagePack with a format number. Decoding never throws. */
std::string encodeGroupLoads(const GroupLoads &loads);
Result<GroupLoads> decodeGroupLoads(std::string_view bytes);

/** Request target at which the coordinator serves the loads. */
inline constexpr std::string_view loadsTarget = "/loads";

} // namespace turmericline

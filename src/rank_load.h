#pragma once

#include "backend_table.h"
#include "verdict_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** Requests at the ranks of a group, as its coordinator knows them. */
struct GroupLoads
{
    std::string group;
    std::vector<std::optional<BackendLoad>> ranks; ///< Nothing for a rank that is not heard of.
};

/** Message from the coordinator of a group to a gateway: MessagePack with a format number. Decoding never throws. */
std::string encodeGroupLoads(const GroupLoads &loads);
Result<GroupLoads> decodeGroupLoads(std::string_view bytes);

/** Target of the question for it. */
inline constexpr std::string_view loadsTarget = "/loads";

} // namespace turmericline

#pragma once

#include "backend_table.h"
#include "verdict_type.h"

#include <chrono>
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
    std::chrono::milliseconds age{}; ///< Since the oldest of the reports that the loads come from.
};

/**
 * Encodes the loads as MessagePack with a format number; numbers of requests above 254 are sent as 254. Decoding never
 * throws.
 */
std::string encodeGroupLoads(const GroupLoads &loads);
Result<GroupLoads> decodeGroupLoads(std::string_view bytes);

/** The newest loads of a group that a process has received. The time in transit is not part of their age. */
class GroupLoadCache
{
public:
    void store(TimePoint now, GroupLoads loads);
    /** Returns the loads with their present age; nothing if there are none, or only old ones. */
    std::optional<GroupLoads> get(TimePoint now) const;

private:
    std::optional<GroupLoads> m_loads;
    TimePoint m_readAt{}; ///< Time at which the oldest report of m_loads was read.
};

/** Request target at which expert agents serve the loads. */
inline constexpr std::string_view loadsTarget = "/loads";

} // namespace turmericline

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace turmericline {

/** What one run of a server stated about its limit in an answer. */
struct LimitStatement
{
    std::string server;
    std::int64_t startTimeMs = 0; ///< As in BackendRecord.
    std::optional<double> limit; ///< Requests a second, of all gateways together; nothing if it states none.

    bool operator==(const LimitStatement &) const = default;
};

/**
 * What a gateway knows of the limit of one server, as sent to other gateways. Times are sent as ages, since the clocks of
 * instances differ.
 */
struct LimitReport
{
    LimitStatement statement;
    std::chrono::milliseconds sentAge{}; ///< Of the request whose answer had the statement.
    std::chrono::milliseconds age{}; ///< Since the answer arrived.
    std::string owner; ///< "IP:PORT" of the gateway that grants the permits; empty if there is none.
    std::uint64_t term = 0; ///< Rises when the owner is replaced.

    bool operator==(const LimitReport &) const = default;
};

/** Answer of the owner to a gateway that asks for a permit, which allows one request to the server. */
struct PermitReply
{
    bool isGranted = false;
    std::chrono::milliseconds wait{}; ///< If not granted: the gateway asks again after this time.
    LimitReport report; ///< What the owner knows of the limit.
};

/** How a limit is divided, and for how long permits and owners are valid. */
struct ServerLimitSettings
{
    /** Parts of a limit; the rest is for requests that arrive up to the time of a permit after it was granted. */
    double ownerShare = 0.85;
    double aloneShare = 0.1; ///< Of all gateways that do not reach the owner.
    /** A permit is spent within this time after it was asked for, so that it still counts when it was granted. */
    std::chrono::milliseconds permitTime{200};
    std::chrono::milliseconds settleTime{1'000}; ///< Time until all gateways know of a new owner.
    /** An owner that is silent for longer is replaced. Longer than most freezes of an instance. */
    std::chrono::milliseconds maxOwnerSilence{5'000};
};

/** What a gateway knows of the fleet that it belongs to. */
struct FleetView
{
    std::size_t gateways = 1; ///< Known gateways, this one included.
    bool isInContact = true; ///< Another gateway has answered lately, or there is none.
    bool isWithMajority = true; ///< More than half of the known gateways were alive lately.
};

} // namespace turmericline

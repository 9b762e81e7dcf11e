#pragma once

#include "time_type.h"

#include <chrono>
#include <cstdint>
#include <variant>

namespace turmericline {

using WorkspaceKey = std::uint64_t; ///< Hash of the workspace's name, the same in every process.
using EntryKey = std::uint64_t; ///< Identifies one incarnation of an entry.
using DomainIndex = std::uint8_t; ///< Position in the sorted list of failure domains.

/** An amount of both limited resources, or a rate of both per second. */
struct QuotaAmount
{
    double requests = 0;
    double tokens = 0;

    friend bool operator==(const QuotaAmount &, const QuotaAmount &) = default;
};

/** Request of an entry to the quota owner of a workspace in its failure domain for the next lease. */
struct LeaseRequest
{
    WorkspaceKey workspace = 0;
    std::uint32_t sequence = 0; ///< Only the answer to the latest request of an entry is used.
    QuotaAmount demand; ///< Rate per second, including refused requests.
    /** If positive, the returned rest of the last lease; if negative, a debt to be paid from the next lease. */
    QuotaAmount balance;
};

/** Answer of the owner. The amount may be spent until one lease time after the request was sent. */
struct LeaseGrant
{
    WorkspaceKey workspace = 0;
    std::uint32_t sequence = 0;
    QuotaAmount amount;
};

/** Part of a workspace's limit in millionths; integers, so that loans between domains add up exactly. */
using ShareUnits = std::uint32_t;
inline constexpr ShareUnits wholeShare = 1'000'000;

/** Message of an owner to a lending domain: the part of the lender's share that it holds and the part that it wants. */
struct ShareRequest
{
    WorkspaceKey workspace = 0;
    DomainIndex from = 0;
    EntryKey ownership = 0; ///< Identifies the period during which the sender is owner.
    std::uint32_t sequence = 0; ///< Only the answer to the latest request is used.
    ShareUnits held = 0;
    ShareUnits wanted = 0;
};

/** Answer of the lender: what the borrower holds from now on, which may be less than before. */
struct ShareReply
{
    WorkspaceKey workspace = 0;
    DomainIndex from = 0;
    EntryKey ownership = 0; ///< Copied from the request.
    std::uint32_t sequence = 0;
    ShareUnits lent = 0;
};

/** Query of a lender that needs its share back, or has just become owner, for what the receiver holds. */
struct ShareProbe
{
    WorkspaceKey workspace = 0;
    DomainIndex from = 0;
};

/** A message to the quota owner of its workspace in another failure domain. */
struct ShareMessage
{
    DomainIndex to = 0;
    std::variant<ShareRequest, ShareReply, ShareProbe> body;
};

enum class QuotaVerdict {
    Admit,
    Wait, ///< A lease request is pending: hold the request and decide again at the grant or after @c wait.
    Refuse,
};

/** Decision on one request. */
struct QuotaDecision
{
    QuotaVerdict verdict = QuotaVerdict::Refuse;
    bool isFallback = false; ///< Whether the decision was made without a lease.
    std::chrono::milliseconds wait{0}; ///< Longest time to hold the request, or retry delay of a refused caller.
};

/** Whether this is the first decision on a request or the one that follows QuotaVerdict::Wait. */
enum class SpendAttempt {
    First,
    Retry,
};

/** Settings of QuotaClient; the defaults are those of the design document. */
struct QuotaClientConfig
{
    std::chrono::milliseconds lease{1000};
    std::chrono::milliseconds leaseRequestInterval{50}; ///< Minimum time between two lease requests for a workspace.
    std::chrono::milliseconds insufficientLeaseInterval{200}; ///< Minimum time after a lease smaller than the demand.
    std::chrono::milliseconds longestWait{100}; ///< Longest time that a request waits for a grant.
    /** Whether an entry without a lease admits one request at once as a debt; otherwise the request has to wait. */
    bool allowsOverdraft = true;
    std::chrono::seconds idleAfter{60}; ///< Workspaces without requests for this long are dropped.
};

struct QuotaOwnerConfig
{
    EntryKey incarnation = 0;
    DomainIndex self = 0;
    std::uint8_t domains = 1;
    std::chrono::milliseconds lease{1000}; ///< Duration of a lease, and the time over which unspent quota accumulates.
    std::chrono::milliseconds settleTime{2000}; ///< How long a new owner waits for reports on what its domain lent.
    std::chrono::seconds idleAfter{600};
};

} // namespace turmericline

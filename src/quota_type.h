#pragma once

#include "time_type.h"

#include <chrono>
#include <cstdint>
#include <variant>

namespace turmericline {

using WorkspaceKey = std::uint64_t; ///< Hash of the workspace's name, equal in every process.
using EntryKey = std::uint64_t; ///< Identifies one incarnation of an entry.
using DomainIndex = std::uint8_t; ///< Position in the sorted list of failure domains.

/** An amount of both limited resources, or a rate per second of both. */
struct QuotaAmount
{
    double requests = 0;
    double tokens = 0;

    friend bool operator==(const QuotaAmount &, const QuotaAmount &) = default;
};

/** An entry asks the owner of a workspace's quota in its failure domain for the next lease. */
struct LeaseRequest
{
    WorkspaceKey workspace = 0;
    std::uint32_t sequence = 0; ///< Only the answer to the latest request of an entry is used.
    QuotaAmount demand; ///< Per second, refused requests included.
    /** Positive: the unspent rest of the last lease, given back. Negative: debt, to be paid from the next lease. */
    QuotaAmount balance;
};

/** The owner's answer; the amount may be spent within one lease time after the request was sent. */
struct LeaseGrant
{
    WorkspaceKey workspace = 0;
    std::uint32_t sequence = 0;
    QuotaAmount amount;
};

/** Part of a workspace's limit, in millionths, so that loans between domains add up exactly. */
using ShareUnits = std::uint32_t;
inline constexpr ShareUnits wholeShare = 1'000'000;

/** A domain's owner tells a lending domain what it holds of the lender's share and what it would like to hold. */
struct ShareRequest
{
    WorkspaceKey workspace = 0;
    DomainIndex from = 0;
    EntryKey ownership = 0; ///< Identifies the sender's term as owner.
    std::uint32_t sequence = 0; ///< Only the answer to the latest request is used.
    ShareUnits held = 0;
    ShareUnits wanted = 0;
};

/** The lender's answer: what the borrower holds from now on; it may be less than it held. */
struct ShareReply
{
    WorkspaceKey workspace = 0;
    DomainIndex from = 0;
    EntryKey ownership = 0; ///< Of the request.
    std::uint32_t sequence = 0;
    ShareUnits lent = 0;
};

/** A lender that needs its share back, or has just become owner, asks what the receiver holds. */
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
    Wait, ///< A lease request is under way: hold the request and decide again on the grant or after @c wait.
    Refuse,
};

/** Decision on one request. */
struct QuotaDecision
{
    QuotaVerdict verdict = QuotaVerdict::Refuse;
    bool isFallback = false; ///< Decided without a lease.
    std::chrono::milliseconds wait{0}; ///< Longest time to hold the request, or when a refused caller may come back.
};

/** Whether a request is decided on for the first time or after QuotaVerdict::Wait, which happens once. */
enum class SpendAttempt {
    First,
    Again,
};

/** How an entry spends; the defaults are those of the design. */
struct QuotaClientConfig
{
    std::chrono::milliseconds lease{1000};
    std::chrono::milliseconds askInterval{50}; ///< Shortest time between two lease requests for one workspace.
    std::chrono::milliseconds shortAskInterval{200}; ///< The same after a lease that was smaller than the demand.
    std::chrono::milliseconds longestWait{100}; ///< For a grant, before the request is decided on without it.
    /** An entry without a lease lets one request pass at once and owes it; otherwise the request waits for the lease. */
    bool allowsOverdraft = true;
    std::chrono::seconds idleAfter{60}; ///< Workspaces without requests for this long are forgotten.
};

struct QuotaOwnerConfig
{
    EntryKey incarnation = 0;
    DomainIndex self = 0;
    std::uint8_t domains = 1;
    std::chrono::milliseconds lease{1000}; ///< Also the burst: unspent share is kept for this long at most.
    std::chrono::milliseconds settleTime{2000}; ///< How long a new owner waits to hear what its domain has lent.
    std::chrono::seconds idleAfter{600};
};

} // namespace turmericline

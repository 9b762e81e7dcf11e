#pragma once

#include "backend_table.h"
#include "name_table.h"
#include "server_limit_type.h"
#include "time_type.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace turmericline {

enum class PermitVerdict {
    Unlimited, ///< The server has stated no limit.
    Granted, ///< The request may be sent; its permit is spent.
    Ask, ///< The owner of the limit has to be asked for a permit.
    Denied, ///< There is no room before LimitDecision::until.
};

struct LimitDecision
{
    PermitVerdict verdict = PermitVerdict::Unlimited;
    TimePoint until{};
};

/** How this gateway learned of a limit. */
enum class LimitSource {
    OwnAnswer,
    OtherGateway,
    HealthCheck,
};

inline constexpr std::array<NamedValue<LimitSource>, 3> limitSourceNames{{
    {LimitSource::OwnAnswer, "own-answer"},
    {LimitSource::OtherGateway, "other-gateway"},
    {LimitSource::HealthCheck, "health-check"},
}};

/** On what a decision about a request to a limited server rests, for logs. */
struct LimitBasis
{
    double limit = 0; ///< Requests a second.
    double share = 0; ///< Part of the limit from which this gateway gets permits at present, in requests a second.
    std::chrono::milliseconds age{}; ///< Since the limit was last stated.
    LimitSource source = LimitSource::OwnAnswer;
    std::string owner;
};

/** A limit that has begun, changed or ended, or a new owner of it, for logs. */
struct LimitChange
{
    LimitStatement statement;
    std::optional<double> previous; ///< Limit before the change.
    LimitBasis basis;
};

/**
 * Limits that servers state on the requests of all gateways together, and the permits by which the gateways keep them.
 *
 * Expected load: a few servers in need, to which 9 to 1,900 gateways would send their usual part of the requests by
 * their load alone. Most of these gateways send less than one request in the time between two permits, so that neither
 * equal shares nor leases of several permits could use the limit.
 *
 * For each limited server one gateway, the owner, grants permits for single requests. It grants most of the limit. A
 * small part is divided evenly among all gateways, for those that do not reach the owner; so gateways that are cut off
 * do not add to the limit. The name of the owner spreads together with the limit. The first gateway that is told
 * of a limit becomes the owner; of several, all gateways choose the same one. A new owner grants nothing for a settle
 * time, in which all learn of it.
 */
class ServerLimits
{
public:
    explicit ServerLimits(std::uint64_t seed, const ServerLimitSettings &settings = {});

    /** @p address: "IP:PORT" at which other gateways reach this one; without it, there are no others. */
    void setOwnAddress(std::string address);
    void setFleet(const FleetView &fleet);

    /**
     * Records what an answer of the server states. @p sentAt: when its request was sent. A higher limit, or none, counts
     * only if the request was sent after an answer with the lower limit had arrived.
     */
    void onStatement(TimePoint now, TimePoint sentAt, const LimitStatement &statement);
    /** Called if an answer states a limit that is not a number. Returns whether the one before it was valid. */
    bool onInvalidStatement(const std::string &server);
    /**
     * Records what the answer to a health check states. It does not prove that a server which took no requests takes any
     * number of them, so these begin at a low rate; their answers tell the rest.
     */
    void onHealthCheck(TimePoint now, TimePoint sentAt, LimitStatement statement);
    /** Merges what another gateway knows of a limit. */
    void merge(TimePoint now, const LimitReport &report);

    /** Decides whether one request may be sent to the server now, and spends a permit if there is one. */
    LimitDecision take(TimePoint now, const ServerIncarnation &server);
    /** Returns the permit of a request that has not reached the server. */
    void giveBack(TimePoint now, const std::string &server);
    bool isLimited(const std::string &server) const;
    std::optional<LimitBasis> basis(TimePoint now, const std::string &server) const;

    /** What to send to the owner of the limit to ask for a permit; nothing if the limit has ended. */
    std::optional<LimitReport> reportOf(TimePoint now, const std::string &server) const;
    /** Answers another gateway that asks for a permit by sending what it knows of the limit. */
    PermitReply onAsk(TimePoint now, const LimitReport &report);
    /** Handles the answer of the owner, which was asked at @p askedAt. */
    void onReply(TimePoint now, TimePoint askedAt, const std::string &server, const PermitReply &reply);
    /** Called if the owner gave no answer. */
    void onNoReply(TimePoint now, const std::string &server);

    /** Called if this process has stood still. @p suspended: part of that time in which the steady clock stood still. */
    void onStandstill(TimePoint now, std::chrono::nanoseconds suspended);
    /** Makes @p successor, "IP:PORT", the owner of all limits of this gateway, which stops. */
    void handOver(const std::string &successor);
    /** Servers to send a health check, since they take no requests by whose answers a new limit could be learned. */
    std::vector<LimitStatement> takeServersToCheck(TimePoint now);
    /** Forgets servers for which @p isKnown is false, and limits that ended some time ago. */
    void expire(TimePoint now, const std::function<bool(const LimitStatement &)> &isKnown);

    /** Reports for a message to another gateway, those that were sent least first, as long as @p accept takes them. */
    std::vector<LimitReport> nextReports(TimePoint now, const std::function<bool(const LimitReport &)> &accept);
    /** Up to @p n reports, for a gateway that asks for all. */
    std::vector<LimitReport> allReports(TimePoint now, std::size_t n) const;
    /** Whether there is something new for other gateways since the last call. */
    bool takeNews();
    std::vector<LimitChange> takeChanges();

    std::size_t limitedCount() const;
    std::size_t ownedCount() const;

private:
    /** Permits that the owner of a limit may grant (token bucket). */
    struct Grants
    {
        double level = 0;
        TimePoint refilledAt{};
        TimePoint beginAt{}; ///< Nothing is granted before.
        TimePoint nextAskAt{}; ///< When the gateway that was denied last is to ask again.
        TimePoint checkedAt{}; ///< Of the last health check.
    };

    /** State of a gateway that asks the owner for permits. */
    struct Asking
    {
        std::vector<TimePoint> permits; ///< Ends of the permits that are not spent.
        TimePoint deniedUntil{};
        std::optional<TimePoint> silentSince; ///< First of the last calls without an answer.
        TimePoint askAgainAt{}; ///< After a call without an answer.
        std::optional<TimePoint>
            slotAt; ///< Start of the next slot of the share that this gateway has without the owner.
        TimePoint claimAt{}; ///< While the owner is silent: when this gateway takes its place.
    };

    struct Entry
    {
        LimitStatement statement;
        TimePoint sentAt{}; ///< Of the request whose answer had the statement.
        TimePoint statedAt{}; ///< Of the last answer with the statement.
        LimitSource source = LimitSource::OwnAnswer;
        bool isInvalid = false; ///< The last answer stated something that is not a number.
        unsigned sends = 0; ///< Messages that had the current report.
        std::string owner;
        std::uint64_t term = 0;
        Grants grants;
        Asking asking;
    };

    Entry *find(const std::string &server);
    const Entry *find(const std::string &server) const;
    Entry *findOrAdd(const LimitStatement &statement);
    bool isOwner(const Entry &entry) const;
    bool update(TimePoint now, Entry &entry, const LimitReport &report, TimePoint sentAt, LimitSource source);
    bool updateOwner(TimePoint now, Entry &entry, const LimitReport &report);
    void setOwner(TimePoint now, Entry &entry, std::string owner, std::uint64_t term);
    void claimIfDue(TimePoint now, Entry &entry);
    void announce(Entry &entry);
    void refill(TimePoint now, Entry &entry) const;
    PermitReply grant(TimePoint now, Entry &entry);
    LimitDecision takeAsOwner(TimePoint now, Entry &entry);
    LimitDecision takeAlone(TimePoint now, Entry &entry);
    double shareAlone(const Entry &entry) const;
    LimitReport makeReport(TimePoint now, const Entry &entry) const;
    LimitBasis basisOf(TimePoint now, const Entry &entry) const;
    void recordChange(TimePoint now, const Entry &entry, std::optional<double> previous);

    ServerLimitSettings m_settings;
    std::string m_ownAddress;
    FleetView m_fleet;
    std::mt19937_64 m_random;
    std::map<std::string, Entry> m_entries; ///< By server.
    std::vector<LimitChange> m_changes;
    bool m_hasNews = false;
    bool m_isStopping = false;
};

} // namespace turmericline

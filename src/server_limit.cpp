#include "server_limit.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace turmericline {

using namespace std::chrono_literals;

namespace {

using Seconds = std::chrono::duration<double>;

/** Permits that an owner can save up: some, and those of a short time. */
constexpr double savedPermits = 2;
constexpr double savedTime = 0.02; ///< Seconds.
/** The gateways that could replace an owner draw their time from this. */
constexpr std::chrono::milliseconds claimSpread{1'000};
constexpr std::chrono::milliseconds askAgainDelay{500};
/** Gateways that were denied a permit ask again at this rate, or at a multiple of the limit, all together. */
constexpr double minAsksPerSecond = 20;
constexpr double asksPerPermit = 4;
/** Longest time after which a gateway asks again. */
constexpr std::chrono::milliseconds maxWait{60'000};
/** A slot of a gateway that does not reach the owner ends after this time, so that slots are not saved up. */
constexpr std::chrono::milliseconds maxSlotTime{1'000};
/** Messages between gateways are at most this old, so times that they state can be off by as much. */
constexpr std::chrono::milliseconds maxTransit{500};
/** In a fleet of thousands, this is more than it takes until all gateways know a report. */
constexpr unsigned maxSends = 32;
/** The end of a limit is kept for as long, so that late messages do not bring the limit back. */
constexpr std::chrono::seconds endedTime{60};
constexpr std::chrono::seconds healthCheckPeriod{5};
/** Requests a second to a server that took none and whose health check states no limit. */
constexpr double trialLimit = 1;
constexpr std::size_t maxEntries = 8'192;

std::uint64_t ownerRank(const std::string &owner, const std::string &server)
{
    return XXH3_64bits_withSeed(owner.data(), owner.size(), XXH3_64bits(server.data(), server.size()));
}

bool isLower(const std::optional<double> &limit, const std::optional<double> &than)
{
    return limit && (!than || *limit < *than);
}

double limitOf(const LimitStatement &statement)
{
    return statement.limit.value_or(0);
}

std::chrono::milliseconds ageOf(TimePoint now, TimePoint at)
{
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(now - at), 0ms);
}

TimePoint after(TimePoint now, Seconds time)
{
    return now + std::chrono::ceil<TimePoint::duration>(std::min<Seconds>(time, maxWait));
}

} // namespace

ServerLimits::ServerLimits(std::uint64_t seed, const ServerLimitSettings &settings)
    : m_settings(settings)
    , m_random(seed)
{
}

void ServerLimits::setOwnAddress(std::string address)
{
    m_ownAddress = std::move(address);
}

void ServerLimits::setFleet(const FleetView &fleet)
{
    m_fleet = fleet;
}

ServerLimits::Entry *ServerLimits::find(const std::string &server)
{
    const auto it = m_entries.find(server);
    return it == m_entries.end() ? nullptr : &it->second;
}

const ServerLimits::Entry *ServerLimits::find(const std::string &server) const
{
    const auto it = m_entries.find(server);
    return it == m_entries.end() ? nullptr : &it->second;
}

/** Returns the entry of that run of the server; nothing if a later one is known, or there is no limit to be recorded. */
ServerLimits::Entry *ServerLimits::findOrAdd(const LimitStatement &statement)
{
    auto *entry = find(statement.server);
    if (entry != nullptr && entry->statement.startTimeMs == statement.startTimeMs) {
        return entry;
    }
    if (entry != nullptr && entry->statement.startTimeMs > statement.startTimeMs) {
        return nullptr;
    }
    if (entry != nullptr) {
        m_entries.erase(statement.server);
    }
    if (!statement.limit || m_entries.size() >= maxEntries) {
        return nullptr;
    }
    auto &added = m_entries[statement.server];
    added.statement = {statement.server, statement.startTimeMs, std::nullopt};
    return &added;
}

bool ServerLimits::isOwner(const Entry &entry) const
{
    return m_ownAddress.empty() || entry.owner == m_ownAddress;
}

void ServerLimits::announce(Entry &entry)
{
    entry.sends = 0;
    m_hasNews = true;
}

void ServerLimits::recordChange(TimePoint now, const Entry &entry, std::optional<double> previous)
{
    m_changes.push_back({entry.statement, previous, basisOf(now, entry)});
}

void ServerLimits::onStatement(TimePoint now, TimePoint sentAt, const LimitStatement &statement)
{
    auto *entry = findOrAdd(statement);
    if (entry == nullptr) {
        return;
    }
    entry->isInvalid = false;
    update(now, *entry, {statement, {}, {}, {}, 0}, sentAt, LimitSource::OwnAnswer);
    claimIfDue(now, *entry);
}

bool ServerLimits::onInvalidStatement(const std::string &server)
{
    auto *entry = find(server);
    return entry == nullptr || !std::exchange(entry->isInvalid, true);
}

void ServerLimits::onHealthCheck(TimePoint now, TimePoint sentAt, LimitStatement statement)
{
    auto *entry = find(statement.server);
    if (entry == nullptr || entry->statement.startTimeMs != statement.startTimeMs) {
        return;
    }
    if (!statement.limit) {
        statement.limit = std::max(limitOf(entry->statement), trialLimit);
    }
    update(now, *entry, {std::move(statement), {}, {}, {}, 0}, sentAt, LimitSource::HealthCheck);
}

/**
 * Applies a statement unless a later one is known. A lower limit counts even if it may be the earlier one, since it does no
 * harm: the next answer corrects it.
 */
bool ServerLimits::update(TimePoint now, Entry &entry, const LimitReport &report, TimePoint sentAt, LimitSource source)
{
    const auto &limit = report.statement.limit;
    const auto statedAt = now - report.age;
    const auto error = source == LimitSource::OtherGateway ? maxTransit : 0ms;
    if (limit == entry.statement.limit) {
        // Each message makes a time look later by its transit, so a time that is passed on and back must not count as new.
        if (statedAt > entry.statedAt + error) {
            entry.sentAt = std::max(entry.sentAt, sentAt);
            entry.statedAt = statedAt;
        }
        return true;
    }
    const bool isCertainlyEarlier = statedAt < entry.sentAt;
    const bool isCertainlyLater = sentAt > entry.statedAt + error;
    if (isLower(limit, entry.statement.limit) ? isCertainlyEarlier : !isCertainlyLater) {
        return false;
    }
    const auto previous = std::exchange(entry.statement.limit, limit);
    entry.sentAt = sentAt;
    entry.statedAt = statedAt;
    entry.source = source;
    entry.grants.nextAskAt = {};
    entry.asking.deniedUntil = {};
    entry.asking.slotAt.reset();
    announce(entry);
    recordChange(now, entry, previous);
    return true;
}

void ServerLimits::merge(TimePoint now, const LimitReport &report)
{
    auto *entry = findOrAdd(report.statement);
    if (entry == nullptr) {
        return;
    }
    const bool isAccepted = update(now, *entry, report, now - report.sentAge, LimitSource::OtherGateway);
    if (!updateOwner(now, *entry, report) || !isAccepted) {
        // The sender knows less, so the next message has this report again.
        entry->sends = std::min(entry->sends, maxSends - 1);
    }
}

/** Returns false if the report names an owner that has been replaced. */
bool ServerLimits::updateOwner(TimePoint now, Entry &entry, const LimitReport &report)
{
    if (report.owner == entry.owner && report.term == entry.term) {
        return true;
    }
    const bool isSameTerm = report.term == entry.term;
    const auto rank = [&](const std::string &owner) {
        return std::pair(owner.empty(), ownerRank(owner, entry.statement.server));
    };
    if (report.term < entry.term || (isSameTerm && rank(entry.owner) < rank(report.owner))) {
        return false;
    }
    setOwner(now, entry, report.owner, report.term);
    return true;
}

void ServerLimits::setOwner(TimePoint now, Entry &entry, std::string owner, std::uint64_t term)
{
    entry.owner = std::move(owner);
    entry.term = term;
    entry.grants = {};
    entry.grants.refilledAt = now;
    entry.grants.beginAt = now;
    entry.asking.deniedUntil = {};
    entry.asking.silentSince.reset();
    entry.asking.askAgainAt = {};
    announce(entry);
    recordChange(now, entry, entry.statement.limit);
}

/** Makes this gateway the owner if there is none, or if the present one has been silent for too long. */
void ServerLimits::claimIfDue(TimePoint now, Entry &entry)
{
    const bool mayClaim = !m_isStopping && m_fleet.isInContact && m_fleet.isWithMajority;
    const bool isSilent = entry.asking.silentSince && now >= entry.asking.claimAt && now < entry.asking.askAgainAt;
    if (isOwner(entry) || !mayClaim || !(entry.owner.empty() || isSilent)) {
        return;
    }
    setOwner(now, entry, m_ownAddress, entry.term + 1);
    entry.grants.beginAt = now + (m_fleet.gateways > 1 ? m_settings.settleTime : 0ms);
}

void ServerLimits::refill(TimePoint now, Entry &entry) const
{
    const double rate = limitOf(entry.statement) * m_settings.ownerShare;
    const Seconds elapsed = now - std::exchange(entry.grants.refilledAt, now);
    const double most = savedPermits + limitOf(entry.statement) * savedTime;
    entry.grants.level = std::min(most, entry.grants.level + elapsed.count() * rate);
}

/**
 * Gateways that get no permit are told different times to ask again, so that what they ask does not grow with their
 * number, and each has its turn.
 */
PermitReply ServerLimits::grant(TimePoint now, Entry &entry)
{
    auto &grants = entry.grants;
    const double limit = limitOf(entry.statement);
    const double rate = limit * m_settings.ownerShare;
    PermitReply reply;
    const bool hasBegun = now >= grants.beginAt;
    if (hasBegun) {
        refill(now, entry);
    } else {
        grants.refilledAt = grants.beginAt;
    }
    if (hasBegun && grants.level >= 1) {
        grants.level -= 1;
        reply.isGranted = true;
    } else {
        const Seconds untilPermit = rate > 0 ? Seconds((1 - grants.level) / rate) : Seconds(maxWait);
        const Seconds spacing(1 / std::max(minAsksPerSecond, limit * asksPerPermit));
        const auto earliest = after(std::max(now, grants.beginAt), untilPermit);
        grants.nextAskAt = after(std::max(grants.nextAskAt, earliest), spacing);
        reply.wait = std::clamp(std::chrono::ceil<std::chrono::milliseconds>(grants.nextAskAt - now), 1ms, maxWait);
    }
    reply.report = makeReport(now, entry);
    return reply;
}

LimitDecision ServerLimits::take(TimePoint now, const ServerIncarnation &server)
{
    auto *entry = find(server.id);
    if (entry != nullptr && entry->statement.startTimeMs < server.startTimeMs) {
        m_entries.erase(server.id);
        entry = nullptr;
    }
    if (entry == nullptr || !entry->statement.limit) {
        return {PermitVerdict::Unlimited, {}};
    }
    auto &asking = entry->asking;
    claimIfDue(now, *entry);
    std::erase_if(asking.permits, [now](TimePoint end) {
        return end <= now;
    });
    if (!asking.permits.empty()) {
        asking.permits.pop_back();
        return {PermitVerdict::Granted, {}};
    }
    if (now < asking.deniedUntil) {
        return {PermitVerdict::Denied, asking.deniedUntil};
    }
    if (isOwner(*entry)) {
        return takeAsOwner(now, *entry);
    }
    if (entry->owner.empty() || now < asking.askAgainAt) {
        return takeAlone(now, *entry);
    }
    return {PermitVerdict::Ask, {}};
}

/** The owner's own requests wait for their turn like those of others. */
LimitDecision ServerLimits::takeAsOwner(TimePoint now, Entry &entry)
{
    if (!m_fleet.isWithMajority) {
        return takeAlone(now, entry);
    }
    const auto reply = grant(now, entry);
    if (reply.isGranted) {
        return {PermitVerdict::Granted, {}};
    }
    entry.asking.deniedUntil = now + reply.wait;
    return {PermitVerdict::Denied, entry.asking.deniedUntil};
}

/** Requests a second that each gateway may send without the owner. */
double ServerLimits::shareAlone(const Entry &entry) const
{
    return limitOf(entry.statement) * m_settings.aloneShare / static_cast<double>(m_fleet.gateways);
}

/** The gateways have no common clock, so each draws the time of its slots at random. */
LimitDecision ServerLimits::takeAlone(TimePoint now, Entry &entry)
{
    const double share = shareAlone(entry);
    const auto askAgainAt = std::max(entry.asking.askAgainAt, now + askAgainDelay);
    if (share <= 0) {
        return {PermitVerdict::Denied, askAgainAt};
    }
    const Seconds period(1 / share);
    auto &slotAt = entry.asking.slotAt;
    if (!slotAt) {
        slotAt
            = now + std::chrono::ceil<TimePoint::duration>(period * std::uniform_real_distribution<>(0, 1)(m_random));
    }
    const auto slotTime = std::min<Seconds>(period, maxSlotTime);
    if (now > *slotAt + slotTime) {
        const double missed = std::ceil((now - *slotAt - slotTime) / period);
        *slotAt += std::chrono::ceil<TimePoint::duration>(period * missed);
    }
    if (now >= *slotAt) {
        *slotAt += std::chrono::ceil<TimePoint::duration>(period);
        return {PermitVerdict::Granted, {}};
    }
    return {PermitVerdict::Denied, std::min(*slotAt, askAgainAt)};
}

void ServerLimits::giveBack(TimePoint now, const std::string &server)
{
    if (auto *entry = find(server); entry != nullptr && entry->statement.limit) {
        entry->asking.permits.push_back(now + m_settings.permitTime);
    }
}

bool ServerLimits::isLimited(const std::string &server) const
{
    const auto *entry = find(server);
    return entry != nullptr && entry->statement.limit;
}

std::optional<LimitBasis> ServerLimits::basis(TimePoint now, const std::string &server) const
{
    const auto *entry = find(server);
    return entry != nullptr && entry->statement.limit ? std::optional(basisOf(now, *entry)) : std::nullopt;
}

LimitBasis ServerLimits::basisOf(TimePoint now, const Entry &entry) const
{
    const bool isAlone = entry.owner.empty() ? !m_ownAddress.empty() : now < entry.asking.askAgainAt;
    const bool isCut = isOwner(entry) && !m_fleet.isWithMajority;
    const double share = isAlone || isCut ? shareAlone(entry) : limitOf(entry.statement) * m_settings.ownerShare;
    return {limitOf(entry.statement), share, ageOf(now, entry.statedAt), entry.source, entry.owner};
}

LimitReport ServerLimits::makeReport(TimePoint now, const Entry &entry) const
{
    return {entry.statement, ageOf(now, entry.sentAt), ageOf(now, entry.statedAt), entry.owner, entry.term};
}

std::optional<LimitReport> ServerLimits::reportOf(TimePoint now, const std::string &server) const
{
    const auto *entry = find(server);
    const bool hasOwner = entry != nullptr && entry->statement.limit && !entry->owner.empty();
    return hasOwner ? std::optional(makeReport(now, *entry)) : std::nullopt;
}

PermitReply ServerLimits::onAsk(TimePoint now, const LimitReport &report)
{
    merge(now, report);
    auto *entry = find(report.statement.server);
    if (entry == nullptr || entry->statement.startTimeMs != report.statement.startTimeMs) {
        PermitReply reply;
        reply.wait = askAgainDelay;
        reply.report = report;
        return reply;
    }
    if (isOwner(*entry) && m_fleet.isWithMajority && entry->statement.limit) {
        return grant(now, *entry);
    }
    PermitReply reply;
    reply.wait = isOwner(*entry) ? askAgainDelay : 0ms; // Another owner can be asked at once.
    reply.report = makeReport(now, *entry);
    return reply;
}

void ServerLimits::onReply(TimePoint now, TimePoint askedAt, const std::string &server, const PermitReply &reply)
{
    merge(now, reply.report);
    auto *entry = find(server);
    if (entry == nullptr || reply.report.statement.server != server) {
        return;
    }
    auto &asking = entry->asking;
    asking.silentSince.reset();
    asking.askAgainAt = {};
    asking.slotAt.reset();
    if (!reply.isGranted) {
        asking.deniedUntil = now + std::min(reply.wait, maxWait);
    } else if (now < askedAt + m_settings.permitTime) {
        asking.permits.push_back(askedAt + m_settings.permitTime);
    }
}

void ServerLimits::onNoReply(TimePoint now, const std::string &server)
{
    auto *entry = find(server);
    if (entry == nullptr) {
        return;
    }
    auto &asking = entry->asking;
    if (!asking.silentSince) {
        const auto extra = std::uniform_int_distribution<std::int64_t>(0, claimSpread.count())(m_random);
        asking.silentSince = now;
        asking.claimAt = now + m_settings.maxOwnerSilence + std::chrono::milliseconds(extra);
    }
    asking.askAgainAt = now + askAgainDelay;
}

/** Permits may have ended meanwhile, and another gateway may have become the owner. */
void ServerLimits::onStandstill(TimePoint now, std::chrono::nanoseconds suspended)
{
    for (auto &[server, entry] : m_entries) {
        entry.sentAt -= std::chrono::duration_cast<TimePoint::duration>(suspended);
        entry.statedAt -= std::chrono::duration_cast<TimePoint::duration>(suspended);
        entry.asking.permits.clear();
        entry.asking.silentSince.reset();
        entry.asking.askAgainAt = {};
        entry.asking.slotAt.reset();
        entry.grants.level = 0;
        entry.grants.beginAt = now + (m_fleet.gateways > 1 ? m_settings.settleTime : 0ms);
        entry.grants.refilledAt = now;
    }
}

void ServerLimits::handOver(const std::string &successor)
{
    m_isStopping = true;
    for (auto &[server, entry] : m_entries) {
        if (!successor.empty() && entry.owner == m_ownAddress) {
            entry.owner = successor;
            ++entry.term;
            announce(entry);
        }
    }
}

std::vector<LimitStatement> ServerLimits::takeServersToCheck(TimePoint now)
{
    std::vector<LimitStatement> due;
    for (auto &[server, entry] : m_entries) {
        const bool takesNone = entry.statement.limit && *entry.statement.limit <= 0;
        if (takesNone && isOwner(entry) && now - entry.grants.checkedAt >= healthCheckPeriod) {
            entry.grants.checkedAt = now;
            due.push_back(entry.statement);
        }
    }
    return due;
}

void ServerLimits::expire(TimePoint now, const std::function<bool(const LimitStatement &)> &isKnown)
{
    std::erase_if(m_entries, [&](const auto &it) {
        const auto &entry = it.second;
        const bool hasEnded = !entry.statement.limit && now - entry.statedAt > endedTime;
        return hasEnded || !isKnown(entry.statement);
    });
}

std::vector<LimitReport> ServerLimits::nextReports(TimePoint now,
                                                   const std::function<bool(const LimitReport &)> &accept)
{
    std::vector<Entry *> due;
    for (auto &[server, entry] : m_entries) {
        if (entry.sends < maxSends) {
            due.push_back(&entry);
        }
    }
    std::stable_sort(due.begin(), due.end(), [](const Entry *a, const Entry *b) {
        return a->sends < b->sends;
    });
    std::vector<LimitReport> reports;
    for (auto *it : due) {
        auto report = makeReport(now, *it);
        if (!accept(report)) {
            break;
        }
        ++it->sends;
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<LimitReport> ServerLimits::allReports(TimePoint now, std::size_t n) const
{
    std::vector<LimitReport> reports;
    for (const auto &[server, entry] : m_entries) {
        if (reports.size() >= n) {
            break;
        }
        reports.push_back(makeReport(now, entry));
    }
    return reports;
}

bool ServerLimits::takeNews()
{
    return std::exchange(m_hasNews, false);
}

std::vector<LimitChange> ServerLimits::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::size_t ServerLimits::limitedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto &it) {
        return it.second.statement.limit.has_value();
    }));
}

std::size_t ServerLimits::ownedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [this](const auto &it) {
        return it.second.statement.limit && isOwner(it.second);
    }));
}

} // namespace turmericline

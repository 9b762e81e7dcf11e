#pragma once

#include "suspect_type.h"

#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace turmericline {

Fingerprint fingerprintOf(std::string_view workspace, std::string_view service, std::string_view body);

/**
 * Fingerprints that were in flight when backend servers crashed. Entries and agents have one each and exchange
 * reports. Reports form a set, and a report once cleared stays cleared, so repeats and any order of arrival are
 * harmless.
 */
class SuspectTable
{
public:
    explicit SuspectTable(SuspectSettings settings);

    /** Records that @p server, whose run was @p incarnation, has crashed with these requests in flight. */
    void recordCrash(const std::vector<Fingerprint> &inFlight,
                     std::string_view server,
                     std::uint64_t incarnation,
                     std::string_view domain,
                     Age now);

    /** Takes over a report of another process; false if it adds nothing to what is known. */
    bool merge(const CrashReport &report, Age now);

    SuspectDecision decide(const Fingerprint &fingerprint, Age now) const;

    /** A request with this fingerprint has completed: clears all the reports known so far. */
    void complete(const Fingerprint &fingerprint);

    /** Reports about one fingerprint, to be sent along with a request that carries it. */
    std::vector<CrashReport> reportsOf(const Fingerprint &fingerprint, Age now) const;

    /**
     * Up to @p n reports for a gossip message: those sent least often so far, the most recent of them first. The first
     * one that @p fits rejects ends the message; it counts as not sent.
     */
    std::vector<CrashReport>
    nextReports(std::size_t n, Age now, const std::function<bool(const CrashReport &)> &fits = {});

    /** Up to @p n reports that still have an effect, the most recent first. */
    std::vector<CrashReport> recentReports(std::size_t n, Age now) const;

    /** Forgets what has had no effect for the hold time. */
    void expire(Age now);

    std::size_t size() const;

private:
    struct Crash
    {
        std::string server;
        std::uint64_t incarnation = 0;
        std::string domain;
        Age when{}; ///< By the local clock; too late by the time the report travelled, never too early.
        bool isCleared = false;
        unsigned sends = 0;
    };

    using Crashes = std::vector<Crash>;
    using Suspects = std::map<Fingerprint, Crashes>;

    std::vector<const Crash *> activeCrashes(const Crashes &crashes, Age now) const;
    bool isForwarded(const Crashes &crashes, Age now) const;
    bool makeRoom(Age now);
    static bool mergeInto(Crash &known, const Crash &news);
    bool insert(Crashes &crashes, Crash crash, Age now) const;

    SuspectSettings m_settings;
    Suspects m_suspects;
};

/**
 * The server that runs suspected copies of a fingerprint: the one that ranks first by rendezvous hash among the
 * candidates, so that copies from all entries meet at one agent, which runs them one after the other and knows of
 * its own crashes. Returns the index, or the number of candidates if there are none.
 */
std::size_t isolationTarget(const Fingerprint &fingerprint, const std::vector<std::string_view> &servers);

/** The requests in flight on one backend server; keeps isolated ones apart from all others. */
class IsolationGate
{
public:
    /**
     * Starts a request if it may start now. An isolated request that cannot start yet holds back all others until it
     * has started or cancelWait() is called, so that a busy server cannot delay it forever.
     */
    bool tryStart(const Fingerprint &fingerprint, bool isAlone);

    void cancelWait(const Fingerprint &fingerprint);
    void end(const Fingerprint &fingerprint);

    /** For SuspectTable::recordCrash(); the requests stay in flight until they are ended. */
    const std::vector<Fingerprint> &inFlight() const;

private:
    std::vector<Fingerprint> m_inFlight;
    std::vector<Fingerprint> m_waiting; ///< Isolated requests in order of their first attempt.
    bool m_isAlone = false;
};

} // namespace turmericline

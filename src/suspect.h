#pragma once

#include "send_history.h"
#include "suspect_type.h"

#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace turmericline {

/** Returns the fingerprint of a request. @p target: what it is addressed to, such as a service or a method and path. */
Fingerprint fingerprintOf(std::string_view workspace, std::string_view target, std::string_view body);
/** Returns the fingerprint of a part of a prompt, for the models of one service. Its lower half is the part's id. */
Fingerprint partFingerprint(std::string_view service, std::uint64_t partId);

/**
 * Fingerprints of requests that were in flight when backend servers crashed. Each entry and agent has its own table and
 * exchanges reports with the others. Reports form a set, and a cleared report stays cleared, so repeats and any order
 * of arrival are harmless.
 */
class SuspectTable
{
public:
    explicit SuspectTable(SuspectSettings settings);

    /** Records that run @p incarnation of @p server has crashed with these requests in flight. */
    void recordCrash(const std::vector<Fingerprint> &inFlight,
                     std::string_view server,
                     std::uint64_t incarnation,
                     std::string_view domain,
                     Age now);

    /** Merges a report of another process; returns false if it contains nothing new. */
    bool merge(const CrashReport &report, Age now);

    /** Decides whether a request with this fingerprint may run. */
    SuspectDecision decide(const Fingerprint &fingerprint, Age now) const;

    /** Clears all known reports of a fingerprint, after a request with it has completed; returns whether it had any. */
    bool complete(const Fingerprint &fingerprint);

    /** Records that a server has outlived an attempt whose caller had left; returns whether that clears a crash. */
    bool recordSurvived(const Fingerprint &fingerprint);

    /** Whether there are reports of the fingerprint. */
    bool isKnown(const Fingerprint &fingerprint) const;

    /** Reports about one fingerprint, to be sent with a request that has it. */
    std::vector<CrashReport> reportsOf(const Fingerprint &fingerprint, Age now) const;

    /**
     * Returns up to @p n reports for a gossip message: those sent least often so far, the most recent of them first.
     * Stops at the first report that @p fits rejects, which counts as not sent.
     */
    std::vector<CrashReport>
    nextReports(std::size_t n, Age now, const std::function<bool(const CrashReport &)> &fits = {});

    /** Returns up to @p n reports that still have an effect, the most recent first. */
    std::vector<CrashReport> recentReports(std::size_t n, Age now) const;

    /** Removes fingerprints whose reports have had no effect for the hold time. */
    void expire(Age now);

    std::size_t size() const;

private:
    struct Crash
    {
        std::string server;
        std::uint64_t incarnation = 0;
        std::string domain;
        Age when{}; ///< Local time of the crash; may be late by the transmission time of the report, never early.
        bool isCleared = false;
        unsigned sends = 0;
    };

    using Crashes = std::vector<Crash>;
    using Suspects = std::map<Fingerprint, Crashes>;

    /** End of a server, whatever was in flight. */
    struct End
    {
        std::string server;
        std::uint64_t incarnation = 0;
        Age when{};
    };

    std::vector<const Crash *> activeCrashes(const Crashes &crashes, Age now) const;
    std::vector<const Crash *> independentCrashes(std::vector<const Crash *> active) const;
    std::size_t otherEnds(std::span<const Crash *const> crashes) const;
    bool isOutlived(const Fingerprint &fingerprint, const Crashes &crashes) const;
    bool isExplained(const Crash &crash, Age now) const;
    void recordEnd(const Crash &crash);
    bool clearSurvived(const Fingerprint &fingerprint, Crashes &crashes);
    bool isReportable(const Crashes &crashes, Age now) const;
    bool makeRoom(Age now);
    static bool mergeEstimate(Crash &known, const Crash &received);
    bool insert(Crashes &crashes, Crash crash, Age now) const;

    SuspectSettings m_settings;
    Suspects m_suspects;
    SendHistory m_history;
    std::deque<End> m_ends; ///< Oldest report first.
};

/**
 * Returns the index of the server that runs suspected copies of a fingerprint, or the number of candidates if there are
 * none. It is the first by rendezvous hash, so copies from all entries reach the same agent, which runs them one after
 * the other and knows about the crashes of its own server.
 */
std::size_t isolationTarget(const Fingerprint &fingerprint, const std::vector<std::string_view> &servers);

/** Tracks the requests in flight on one backend server, and runs isolated ones without any other in flight. */
class IsolationGate
{
public:
    /**
     * Starts a request if it may start now; returns false otherwise. An isolated request that has to wait blocks all
     * others until it has started or cancelWait() is called, so that a busy server cannot delay it indefinitely.
     */
    bool tryStart(const Fingerprint &fingerprint, bool isAlone);

    /** Removes a request that waits for isolation. */
    void cancelWait(const Fingerprint &fingerprint);
    void end(const Fingerprint &fingerprint);

    /** Requests in flight, for SuspectTable::recordCrash(); they stay in flight until end() is called. */
    const std::vector<Fingerprint> &inFlight() const;

private:
    std::vector<Fingerprint> m_inFlight;
    std::vector<Fingerprint> m_waiting; ///< Isolated requests that have to wait, in order of their first tryStart().
    bool m_isAlone = false;
};

} // namespace turmericline

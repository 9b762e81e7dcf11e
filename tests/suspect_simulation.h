#pragma once

#include "suspect.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericline {

/** Server on which a suspected request runs alone. */
enum class IsolationPlace {
    AnyServer,
    LiveTarget, ///< isolationTarget() among the servers that are up.
    ListedTarget, ///< isolationTarget() among all servers; the request cannot start while that one is down.
};

/** Parameters of the simulation. */
struct SuspectPolicy
{
    /**
     * A copy of the crashing request starts only if each report of its earlier crashes has reached the entry that sends
     * it or the agent that receives it.
     */
    bool reportsArriveInTime = true;
    IsolationPlace place = IsolationPlace::LiveTarget;
    std::size_t entries = 3;
    Age restart = std::chrono::seconds(30); ///< Time from a crash until the server is up again.
};

/** Simulation of 3 failure domains with 4 servers each, entries that gossip, one crashing request and harmless ones. */
class SuspectSimulation
{
public:
    static constexpr Age hold = std::chrono::seconds(300);
    static constexpr Age maxTransmission = std::chrono::seconds(20); ///< Messages that take longer are lost.
    static constexpr std::size_t crashing = 0; ///< Number of the request that crashes every server.

    struct CrashByRequest
    {
        std::string server;
        std::uint64_t incarnation;
        std::string domain;
        Age when;
    };

    std::vector<CrashByRequest> crashesByRequest; ///< Crashes caused by the crashing request.
    std::string violation;
    std::size_t completed = 0;
    std::size_t harmlessRefusals = 0;

    explicit SuspectSimulation(SuspectPolicy policy)
        : m_policy(policy)
        , m_entries(policy.entries, SuspectTable({}))
    {
        for (int i = 0; i < 12; ++i) {
            m_servers.push_back({"s" + std::to_string(i), "d" + std::to_string(i % 3)});
        }
    }

    void advance(Age by)
    {
        m_now += by;
    }

    /** A caller sends request @p n through an entry; @p choice selects the server if the entry may use any. */
    void start(std::size_t n, std::size_t entry, std::size_t choice)
    {
        const auto fingerprint = fingerprintOf("w", "chat", std::to_string(n));
        auto &table = m_entries[entry % m_entries.size()];
        const auto action = table.decide(fingerprint, m_now).action;
        const auto target = targetOf(fingerprint, action, choice);
        if (action == SuspectAction::Refuse || target == m_servers.size()) {
            return countRefusal(n, action);
        }
        auto &server = m_servers[target];
        if (n == crashing && (isRunning(fingerprint) || !knowsAllCrashes(fingerprint, table, server.table))) {
            return;
        }
        for (const auto &it : table.reportsOf(fingerprint, m_now)) {
            server.table.merge(it, m_now);
        }
        const auto second = server.table.decide(fingerprint, m_now).action;
        if (second == SuspectAction::Refuse) {
            return countRefusal(n, second);
        }
        if (server.gate.tryStart(fingerprint, second == SuspectAction::RunAlone)) {
            server.running.push_back({n, entry % m_entries.size()});
        } else {
            server.gate.cancelWait(fingerprint);
        }
    }

    /** The crashing request crashes the server that runs it, if any. */
    void crash()
    {
        for (auto &it : m_servers) {
            if (std::any_of(it.running.begin(), it.running.end(), [](const auto &r) {
                    return r.request == crashing;
                })) {
                crashesByRequest.push_back({it.name, it.incarnation, it.domain, m_now});
                checkCrashLimits();
                return handleCrash(it);
            }
        }
    }

    /** A server crashes for another reason. */
    void crashServer(std::size_t n)
    {
        handleCrash(m_servers[n % m_servers.size()]);
    }

    void complete(std::size_t n)
    {
        auto &server = m_servers[n % m_servers.size()];
        const auto it = std::find_if(server.running.begin(), server.running.end(), [](const auto &r) {
            return r.request != crashing;
        });
        if (it != server.running.end()) {
            const auto fingerprint = fingerprintOf("w", "chat", std::to_string(it->request));
            server.gate.end(fingerprint);
            server.table.complete(fingerprint);
            m_entries[it->entry].complete(fingerprint);
            server.running.erase(it);
            ++completed;
        }
    }

    void gossip(std::size_t from, std::size_t to)
    {
        auto &sender = m_entries[from % m_entries.size()];
        for (auto &it : sender.nextReports(16, m_now)) {
            m_messages.push_back({to % m_entries.size(), std::move(it), m_now});
        }
    }

    void deliver(std::size_t n, bool isLost, bool isRepeated)
    {
        if (m_messages.empty()) {
            return;
        }
        const auto it = m_messages.begin() + static_cast<std::ptrdiff_t>(n % m_messages.size());
        const auto message = *it;
        if (!isRepeated) {
            m_messages.erase(it);
        }
        if (!isLost && m_now - message.sent <= maxTransmission) {
            m_entries[message.to].merge(message.report, m_now);
        }
    }

    SuspectAction decisionOf(std::size_t n, std::size_t entry) const
    {
        return m_entries[entry].decide(fingerprintOf("w", "chat", std::to_string(n)), m_now).action;
    }

private:
    struct Running
    {
        std::size_t request;
        std::size_t entry;
    };

    struct Server
    {
        std::string name;
        std::string domain;
        std::uint64_t incarnation = 1;
        Age upSince{};
        SuspectTable table{{}};
        IsolationGate gate{};
        std::vector<Running> running{};
    };

    struct Message
    {
        std::size_t to;
        CrashReport report;
        Age sent;
    };

    /** Returns the index of the server for a request, or the number of servers if the request has to wait. */
    std::size_t targetOf(const Fingerprint &fingerprint, SuspectAction action, std::size_t choice) const
    {
        const bool isFree = action == SuspectAction::Run || m_policy.place == IsolationPlace::AnyServer;
        std::vector<std::size_t> candidates;
        std::vector<std::string_view> names;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            if (isUp(i) || (!isFree && m_policy.place == IsolationPlace::ListedTarget)) {
                candidates.push_back(i);
                names.push_back(m_servers[i].name);
            }
        }
        if (candidates.empty()) {
            return m_servers.size();
        }
        const auto target = candidates[isFree ? choice % candidates.size() : isolationTarget(fingerprint, names)];
        return isUp(target) ? target : m_servers.size();
    }

    bool isUp(std::size_t server) const
    {
        return m_servers[server].upSince <= m_now;
    }

    bool isRunning(const Fingerprint &fingerprint) const
    {
        return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &it) {
            const auto &all = it.gate.inFlight();
            return std::find(all.begin(), all.end(), fingerprint) != all.end();
        });
    }

    bool knowsAllCrashes(const Fingerprint &fingerprint, const SuspectTable &entry, const SuspectTable &agent) const
    {
        std::set<std::pair<std::string, std::uint64_t>> known;
        for (const auto *table : {&entry, &agent}) {
            for (const auto &it : table->reportsOf(fingerprint, m_now)) {
                known.emplace(it.server, it.incarnation);
            }
        }
        return !m_policy.reportsArriveInTime
               || std::all_of(crashesByRequest.begin(), crashesByRequest.end(), [&](const CrashByRequest &it) {
                      return m_now - it.when >= hold || known.contains({it.server, it.incarnation});
                  });
    }

    void handleCrash(Server &server)
    {
        const auto inFlight = server.gate.inFlight();
        server.table.recordCrash(inFlight, server.name, server.incarnation, server.domain, m_now);
        for (const auto &it : server.running) {
            m_lastCrash[it.request] = m_now;
            server.gate.end(fingerprintOf("w", "chat", std::to_string(it.request)));
        }
        // Entries with a request on the server get the report with its answer, the others in a message.
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            const bool isDirect = std::any_of(server.running.begin(), server.running.end(), [&](const Running &it) {
                return it.entry == i;
            });
            for (const auto &it : inFlight) {
                const CrashReport report{it, server.name, server.incarnation, server.domain, Age::zero(), false};
                if (isDirect) {
                    m_entries[i].merge(report, m_now);
                } else {
                    m_messages.push_back({i, report, m_now});
                }
            }
        }
        server.running.clear();
        ++server.incarnation;
        server.upSince = m_now + m_policy.restart;
    }

    void checkCrashLimits()
    {
        std::map<std::string, int> perDomain;
        int total = 0;
        for (const auto &it : crashesByRequest) {
            if (m_now - it.when < hold) {
                ++total;
                if (++perDomain[it.domain] > 2) {
                    violation = "3 servers of a failure domain were lost";
                }
            }
        }
        violation = total > 3 ? "4 servers were lost" : violation;
    }

    void countRefusal(std::size_t n, SuspectAction action)
    {
        if (n == crashing || action != SuspectAction::Refuse) {
            return;
        }
        ++harmlessRefusals;
        const auto it = m_lastCrash.find(n);
        // Each hop may date a report later by its transmission time, and it makes at most one hop per entry.
        if (it == m_lastCrash.end() || m_now - it->second > hold + maxTransmission * m_entries.size()) {
            violation = "a harmless request was refused for too long";
        }
    }

    SuspectPolicy m_policy;
    Age m_now{};
    std::vector<SuspectTable> m_entries;
    std::vector<Server> m_servers;
    std::vector<Message> m_messages;
    std::map<std::size_t, Age> m_lastCrash;
};

} // namespace turmericline

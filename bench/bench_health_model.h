#pragma once

#include "bench_util.h"
#include "config_sync_codec.h"
#include "health_sync.h"

#include <deque>
#include <memory>
#include <numeric>

namespace turmericline::bench::health {

inline constexpr int slots = 16;
inline constexpr double freezeAt = 20;
inline constexpr double returnAt = 80;
inline constexpr double endAt = 130;
inline constexpr double listError = 30;
inline constexpr double sampleTime = 0.1;
inline constexpr double lostAnswers = 0.01;
inline constexpr double deadline = 10; // Longest time that a request waits in the queue.
inline constexpr double silenceTime = 2.25; // PING timeout of 2 s, checked every 0.5 s.
inline constexpr double connectTimeout = 1;
inline constexpr std::size_t maxFieldBytes = 300; // Left by the other parts of a message of at most 1,200 bytes.
inline constexpr int target = 0; // The server that freezes, is slow or is listed wrongly.

enum class Fault {
    Frozen, ///< The server freezes and stays in the instance list.
    FrozenListLate, ///< The server freezes; the list drops it 30 s late and adds it again 30 s late.
    Dropped, ///< The list drops the server for 30 s although it answers.
    Slow, ///< The server is three times as slow, under high load.
};

struct Case
{
    int entries = 9;
    int servers = 12; ///< Servers that an entry uses.
    int pool = 12; ///< All servers; each entry uses a random subset.
    double rate = 5; ///< Requests per second of each entry.
    int domains = 3;
};

struct Variant
{
    std::string name;
    HealthConfig config;
    bool hasReports = true;
};

struct Call
{
    int entry = 0;
    double arrived = 0;
    bool isProbe = false; ///< A probe: sent although the entry did not consider the server usable.
    std::vector<std::string> tried;
};

struct Server
{
    int active = 0;
    std::deque<Call> queue;
    std::uint64_t incarnation = 1;
};

struct Entry
{
    std::unique_ptr<ServerSelector> selector;
    std::unique_ptr<HealthSync> sync;
    std::vector<int> servers;
    bool hasTarget = false;
    bool isConnectionLost = false; ///< Whether the connection to the target is lost.
    double stopped = -1;
    double resumed = -1;
    std::vector<bool> wasSuspected;
};

class Model
{
public:
    Model(const Case &c, const Variant &variant, Fault fault, unsigned seed)
        : m_case(c)
        , m_variant(variant)
        , m_fault(fault)
        , m_random(seed)
        , m_servers(static_cast<std::size_t>(c.pool))
        , m_entries(static_cast<std::size_t>(c.entries))
    {
        const double load = fault == Fault::Slow ? 0.85 : 0.7;
        m_serviceTime = load * slots * c.pool / (c.rate * c.entries);
        for (int e = 0; e < c.entries; ++e) {
            addEntry(e, seed);
        }
    }

    void run()
    {
        list(true);
        if (isFrozenCase()) {
            m_events.at(freezeAt, [this] {
                freeze();
            });
            m_events.at(returnAt, [this] {
                ++m_servers[target].incarnation;
            });
        }
        if (m_fault == Fault::FrozenListLate) {
            m_events.at(freezeAt + listError, [this] {
                list(false);
            });
            m_events.at(returnAt + listError, [this] {
                list(true);
            });
        }
        if (m_fault == Fault::Dropped) {
            m_events.at(freezeAt, [this] {
                list(false);
            });
            m_events.at(freezeAt + listError, [this] {
                list(true);
            });
        }
        sample();
        m_events.runUntil(endAt);
    }

    void addTo(Report &out, const std::string &name) const
    {
        std::vector<double> stops;
        std::vector<double> returns;
        double entries = 0;
        double notStopped = 0;
        double notResumed = 0;
        for (const auto &it : m_entries) {
            entries += it.hasTarget ? 1 : 0;
            if (it.hasTarget && isFrozenCase()) {
                (it.stopped < 0 ? notStopped : notResumed) += it.stopped < 0 || it.resumed < 0 ? 1 : 0;
                stops.push_back((it.stopped < 0 ? returnAt : it.stopped) - freezeAt);
                returns.push_back(it.stopped < 0 ? 0 : (it.resumed < 0 ? endAt : it.resumed) - returnAt);
            }
        }
        const double pairHours = m_case.entries * m_case.servers * endAt / 3600;
        out.add(name,
                {percentile(stops, 0.5),
                 percentile(stops, 1),
                 notStopped,
                 percentile(returns, 0.5),
                 percentile(returns, 1),
                 notResumed,
                 m_lost / entries,
                 m_probes / entries,
                 m_false,
                 m_false / pairHours,
                 100 * m_unused / std::max(1.0, m_samples),
                 m_bytes / m_case.entries / endAt});
    }

private:
    Case m_case;
    Variant m_variant;
    Fault m_fault;
    std::mt19937_64 m_random;
    EventQueue m_events;
    std::vector<Server> m_servers;
    std::vector<Entry> m_entries;
    double m_serviceTime = 0;
    double m_lost = 0;
    double m_probes = 0;
    double m_false = 0; ///< Number of suspicions of servers that answer.
    double m_unused = 0; ///< Samples in which an entry did not use the target although it answered.
    double m_samples = 0;
    double m_bytes = 0;

    static std::string nameOf(int server)
    {
        return "s" + std::to_string(server);
    }

    TimePoint now() const
    {
        return TimePoint(std::chrono::duration_cast<TimePoint::duration>(Seconds(1000 + m_events.now())));
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    double noise(double sigma)
    {
        return std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(m_random);
    }

    bool isFrozenCase() const
    {
        return m_fault == Fault::Frozen || m_fault == Fault::FrozenListLate;
    }

    bool isFrozen(int server) const
    {
        return server == target && isFrozenCase() && m_events.now() >= freezeAt && m_events.now() < returnAt;
    }

    void addEntry(int index, unsigned seed)
    {
        Entry &entry = m_entries[index];
        std::vector<int> all(m_servers.size());
        std::iota(all.begin(), all.end(), 0);
        std::shuffle(all.begin(), all.end(), m_random);
        all.resize(m_case.servers);
        entry.servers = all;
        entry.hasTarget = std::ranges::find(all, target) != all.end();
        entry.wasSuspected.resize(all.size());
        const auto entrySeed = static_cast<std::uint64_t>(seed) * 100'003 + static_cast<std::uint64_t>(index);
        entry.selector = std::make_unique<ServerSelector>("d", m_variant.config, entrySeed);
        entry.sync = std::make_unique<HealthSync>(static_cast<EntryKey>(index) + 1, *entry.selector);
        Document document;
        const auto service = document.services.add({"m", ServiceKind::Model, "m", {}, true, {}});
        for (const int it : all) {
            document.servers.add({nameOf(it), service, "d", "", ServerState::Active, false, false, slots});
        }
        entry.selector->setDocument(now() - std::chrono::seconds(60), document);
        arrive(index);
        m_events.at(uniform(), [this, index] {
            round(index);
        });
    }

    void list(bool hasTarget)
    {
        for (auto &entry : m_entries) {
            std::vector<InstanceInfo> instances;
            for (const int it : entry.servers) {
                if (it != target || hasTarget) {
                    instances.push_back({nameOf(it), "agent", "d", "", false});
                }
            }
            entry.selector->setInstances(now(), instances);
        }
    }

    void arrive(int entry)
    {
        m_events.at(m_events.now() + std::exponential_distribution<double>(m_case.rate)(m_random), [this, entry] {
            route({entry, m_events.now(), false, {}});
            arrive(entry);
        });
    }

    bool isUsed(const Entry &entry, int server) const
    {
        const auto it = entry.selector->state(now(), nameOf(server));
        return it == HealthState::Live || it == HealthState::Slow;
    }

    void route(Call call)
    {
        Entry &entry = m_entries[call.entry];
        const auto name = entry.selector->choose(now(), "m", {}, call.tried);
        if (!name) {
            return;
        }
        const int index = std::atoi(name->c_str() + 1);
        call.isProbe = !isUsed(entry, index);
        call.arrived = m_events.now();
        entry.selector->onStart(now(), *name, {});
        if (isFrozen(index)) {
            const double wait = entry.isConnectionLost ? connectTimeout : silenceTime;
            m_events.at(m_events.now() + wait, [this, call, index] {
                failed(call, index);
            });
            return;
        }
        m_servers[index].queue.push_back(call);
        serve(index);
    }

    void failed(Call call, int index)
    {
        Entry &entry = m_entries[call.entry];
        if (index == target && isFrozenCase()) {
            entry.isConnectionLost = true;
            (call.isProbe ? m_probes : m_lost) += 1;
        }
        entry.selector->onEnd(nameOf(index));
        entry.selector->onFailure(now(), nameOf(index));
        call.tried.push_back(nameOf(index));
        if (call.tried.size() < 3) {
            route(call);
        }
    }

    void serve(int index)
    {
        Server &server = m_servers[index];
        while (server.active < slots && !server.queue.empty()) {
            const Call call = server.queue.front();
            server.queue.pop_front();
            if (m_events.now() - call.arrived > deadline) {
                failed(call, index);
                continue;
            }
            ++server.active;
            const double slow = m_fault == Fault::Slow && index == target ? 3 : 1;
            const double step = 0.02 * (1 + 0.5 * server.active / slots) * slow * noise(0.3);
            const double time = m_serviceTime * slow * noise(0.5);
            const auto incarnation = server.incarnation;
            m_events.at(m_events.now() + time, [=, this] {
                done(call, index, step, incarnation);
            });
        }
    }

    void done(const Call &call, int index, double step, std::uint64_t incarnation)
    {
        Server &server = m_servers[index];
        if (server.incarnation != incarnation || isFrozen(index)) {
            m_events.at(std::max(m_events.now(), freezeAt + silenceTime), [this, call, index] {
                failed(call, index);
            });
            return;
        }
        --server.active;
        if (uniform() < lostAnswers) {
            failed(call, index);
        } else {
            auto &selector = *m_entries[call.entry].selector;
            selector.onEnd(nameOf(index));
            selector.onSuccess(now(), nameOf(index), incarnation, Seconds(step));
            selector.onLoad(now(), nameOf(index), server.active + static_cast<double>(server.queue.size()));
            m_entries[call.entry].isConnectionLost &= index != target;
        }
        serve(index);
    }

    void freeze()
    {
        m_servers[target].active = 0;
        for (const Call &it : std::exchange(m_servers[target].queue, {})) {
            m_events.at(freezeAt + silenceTime, [this, it] {
                failed(it, target);
            });
        }
    }

    /** Exchanges with the next entry in the ring of the domain and one of another domain, both ways like /gossip. */
    void round(int index)
    {
        Entry &entry = m_entries[index];
        entry.selector->tick(now());
        if (m_variant.hasReports) {
            const int next = index + m_case.domains;
            exchange(index, next < m_case.entries ? next : index % m_case.domains);
            int other = index;
            while (other % m_case.domains == index % m_case.domains) {
                other = static_cast<int>(uniform() * m_case.entries);
            }
            exchange(index, other);
        }
        m_events.at(m_events.now() + 1, [this, index] {
            round(index);
        });
    }

    void exchange(int from, int to)
    {
        send(from, to);
        send(to, from);
    }

    void send(int from, int to)
    {
        const auto field = m_entries[from].sync->gossip(maxFieldBytes);
        if (!field.is_null()) {
            m_bytes += 2 + static_cast<double>(toMessagePack(field).size());
            m_entries[to].sync->mergeReports(now(), field);
        }
    }

    void sample()
    {
        for (auto &entry : m_entries) {
            if (entry.hasTarget) {
                sampleTarget(entry);
            }
            sampleFalse(entry);
        }
        m_events.at(m_events.now() + sampleTime, [this] {
            sample();
        });
    }

    /** Records since when an entry has not used the frozen server, or has used it again. */
    void sampleTarget(Entry &entry)
    {
        const double t = m_events.now();
        const bool used = isUsed(entry, target);
        if (isFrozen(target)) {
            entry.stopped = used ? -1 : entry.stopped < 0 ? t : entry.stopped;
        } else {
            entry.resumed = t < returnAt || !used ? -1 : entry.resumed < 0 ? t : entry.resumed;
            const bool isCounted = !isFrozenCase() && t >= freezeAt && t < freezeAt + listError;
            m_samples += isCounted ? 1 : 0;
            m_unused += isCounted && !used ? 1 : 0;
        }
    }

    void sampleFalse(Entry &entry)
    {
        for (std::size_t i = 0; i < entry.servers.size(); ++i) {
            const bool isDue = entry.servers[i] == target && isFrozenCase() && m_events.now() >= freezeAt;
            const bool suspected
                = !isDue && entry.selector->state(now(), nameOf(entry.servers[i])) == HealthState::Suspected;
            m_false += suspected && !entry.wasSuspected[i] ? 1 : 0;
            entry.wasSuspected[i] = suspected;
        }
    }
};

} // namespace turmericline::bench::health

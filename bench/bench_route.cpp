// Simulates nine entries that route to 12 model replicas in 3 failure domains; reports latency, cache hits and skew for
// each routing policy.
#include "bench_util.h"
#include "health.h"
#include "route.h"

#include <array>
#include <cmath>
#include <deque>
#include <list>
#include <memory>
#include <numeric>

using namespace turmericline;
using namespace turmericline::bench;

namespace {

constexpr int replicas = 12;
constexpr int domains = 3;
constexpr int entries = 9;
constexpr int slots = 16;
constexpr double stepTime = 0.02; // With an empty batch; 1.5 times that with all slots in use.
constexpr double prefillTime = 0.0001; // Per uncached prompt token.
constexpr double prefixTokens = 1500;
constexpr double ownTokens = 200;
constexpr int meanTokens = 100; // Mean length of an answer.
constexpr std::size_t cachedPrefixes = 60; // Cache capacity per replica.
constexpr int prefixes = 600; // Zipf-distributed.
constexpr double failureTime = 0.1;
constexpr double measureFrom = 30;
constexpr double endAt = 150;
constexpr double domainLostAt = 60;

struct Scenario
{
    double load = 0.7; ///< Fraction of the capacity of all slots.
    double lag = 1; ///< Age of a load report on arrival, and the interval between reports.
    bool hasSlowReplica = false;
    bool losesDomain = false;
};

struct Call
{
    int entry = 0;
    int prefix = 0;
    int tokens = 0;
    double arrived = 0;
    std::vector<ServerKey> excluded;
};

struct Replica
{
    int active = 0;
    std::deque<Call> queue;
    double prefillFreeAt = 0;
    std::list<int> cache; ///< In order of use, most recent first.
    double served = 0;
    int generation = 0; ///< Incremented when the replica fails.
};

template<RoutePolicy P>
class Model
{
public:
    Model(const Scenario &c, unsigned seed)
        : m_scenario(c)
        , m_random(seed)
        , m_tables(entries)
        , m_health(entries)
    {
        for (int e = 0; e < entries; ++e) {
            for (int r = 0; r < replicas; ++r) {
                const double distance = e % domains == r % domains ? 0 : 0.001;
                m_tables[e].add(now() - std::chrono::seconds(60), keyOf(r), slots, Seconds(distance));
                m_health[e].add(now(), keyOf(r));
            }
        }
        double sum = 0;
        for (int i = 1; i <= prefixes; ++i) {
            m_popularity.push_back(sum += 1.0 / i);
        }
    }

    void run()
    {
        arrive();
        report();
        tick();
        if (m_scenario.losesDomain) {
            m_events.at(domainLostAt, [this] {
                loseDomain();
            });
        }
        m_events.runUntil(endAt);
    }

    void addTo(Report &out, const std::string &name) const
    {
        std::vector<double> served;
        for (int r = 0; r < replicas; ++r) {
            if (!m_scenario.losesDomain || r % domains != 0) {
                served.push_back(m_replicas[r].served);
            }
        }
        const double mean = std::accumulate(served.begin(), served.end(), 0.0) / static_cast<double>(served.size());
        out.add(name,
                {percentile(m_firstTokenTimes, 0.5) * 1000,
                 percentile(m_firstTokenTimes, 0.95) * 1000,
                 percentile(m_firstTokenTimes, 0.99) * 1000,
                 percentile(m_tokenGaps, 0.5) * 1000,
                 percentile(m_tokenGaps, 0.95) * 1000,
                 percentile(m_tokenGaps, 0.99) * 1000,
                 m_hits / std::max(1.0, m_lookups),
                 *std::max_element(served.begin(), served.end()) / mean});
    }

private:
    Scenario m_scenario;
    RouteRandom m_random;
    P m_policy;
    EventQueue m_events;
    std::vector<RouteTable> m_tables;
    std::vector<HealthTable> m_health;
    std::array<Replica, replicas> m_replicas;
    std::vector<double> m_popularity;
    std::vector<double> m_firstTokenTimes;
    std::vector<double> m_tokenGaps;
    double m_hits = 0;
    double m_lookups = 0;

    static ServerKey keyOf(int replica)
    {
        return static_cast<ServerKey>(replica) + 1;
    }

    TimePoint now() const
    {
        return TimePoint(std::chrono::duration_cast<TimePoint::duration>(Seconds(1000 + m_events.now())));
    }

    bool isMeasured() const
    {
        return m_events.now() >= (m_scenario.losesDomain ? domainLostAt : measureFrom);
    }

    bool isLost(int replica) const
    {
        return m_scenario.losesDomain && replica % domains == 0 && m_events.now() >= domainLostAt;
    }

    double slowFactor(int replica) const
    {
        return m_scenario.hasSlowReplica && replica == 5 ? 3 : 1;
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    void arrive()
    {
        const double rate = m_scenario.load * replicas * slots / (meanTokens * stepTime * 1.5);
        m_events.at(m_events.now() + std::exponential_distribution<double>(rate)(m_random), [this] {
            Call call;
            call.entry = static_cast<int>(uniform() * entries);
            const auto rank
                = std::lower_bound(m_popularity.begin(), m_popularity.end(), uniform() * m_popularity.back());
            call.prefix = static_cast<int>(rank - m_popularity.begin()) + 1;
            call.tokens = 1 + static_cast<int>(std::exponential_distribution<double>(1.0 / meanTokens)(m_random));
            call.arrived = m_events.now();
            route(call);
            arrive();
        });
    }

    static RouteRequest requestOf(const Call &call)
    {
        return {static_cast<std::uint64_t>(call.prefix), prefixTokens};
    }

    void route(const Call &call)
    {
        RouteTable &table = m_tables[call.entry];
        const auto chosen = table.choose(now(), requestOf(call), m_policy, m_random, call.excluded);
        if (!chosen) {
            return;
        }
        const int replica = static_cast<int>(*chosen) - 1;
        table.onStart(now(), *chosen, requestOf(call));
        if (isLost(replica)) {
            m_events.at(m_events.now() + failureTime, [this, call, replica] {
                onAttemptFailed(call, replica);
            });
            return;
        }
        m_replicas[replica].queue.push_back(call);
        serveNext(replica);
    }

    void onAttemptFailed(Call call, int replica)
    {
        m_tables[call.entry].onEnd(keyOf(replica));
        m_health[call.entry].onFailure(now(), keyOf(replica));
        updateHealth(call.entry, replica);
        call.excluded.push_back(keyOf(replica));
        route(call);
    }

    bool takeFromCache(Replica &replica, int prefix)
    {
        const auto it = std::find(replica.cache.begin(), replica.cache.end(), prefix);
        const bool isHit = it != replica.cache.end();
        if (isHit) {
            replica.cache.erase(it);
        } else if (replica.cache.size() >= cachedPrefixes) {
            replica.cache.pop_back();
        }
        replica.cache.push_front(prefix);
        m_hits += isHit && isMeasured() ? 1 : 0;
        m_lookups += isMeasured() ? 1 : 0;
        return isHit;
    }

    void serveNext(int index)
    {
        Replica &replica = m_replicas[index];
        while (replica.active < slots && !replica.queue.empty()) {
            const Call call = replica.queue.front();
            replica.queue.pop_front();
            ++replica.active;
            const double tokens = ownTokens + (takeFromCache(replica, call.prefix) ? 0 : prefixTokens);
            // Prefills of a replica run one after the other.
            replica.prefillFreeAt
                = std::max(m_events.now(), replica.prefillFreeAt) + tokens * prefillTime * slowFactor(index);
            const double step = stepTime * (1 + 0.5 * replica.active / slots) * slowFactor(index);
            const double first = replica.prefillFreeAt + step;
            m_events.at(first + step * call.tokens, [this, call, index, first, step, generation = replica.generation] {
                if (generation == m_replicas[index].generation) {
                    onCompleted(call, index, first, step);
                } else {
                    onAttemptFailed(call, index);
                }
            });
        }
    }

    void onCompleted(const Call &call, int index, double first, double step)
    {
        Replica &replica = m_replicas[index];
        --replica.active;
        if (isMeasured()) {
            replica.served += 1;
            m_firstTokenTimes.push_back(first - call.arrived);
            m_tokenGaps.push_back(step);
        }
        m_tables[call.entry].onEnd(keyOf(index));
        m_health[call.entry].onSuccess(now(), keyOf(index), 1, Seconds(step));
        updateHealth(call.entry, index);
        serveNext(index);
    }

    void loseDomain()
    {
        for (int r = 0; r < replicas; r += domains) {
            ++m_replicas[r].generation;
            for (const Call &it : std::exchange(m_replicas[r].queue, {})) {
                onAttemptFailed(it, r);
            }
        }
    }

    void report()
    {
        for (int r = 0; r < replicas; ++r) {
            if (isLost(r)) {
                continue;
            }
            const double load = m_replicas[r].active + static_cast<double>(m_replicas[r].queue.size());
            m_events.at(m_events.now() + m_scenario.lag, [this, r, load] {
                for (RouteTable &it : m_tables) {
                    it.onReport(now(), keyOf(r), load, Seconds(m_scenario.lag));
                }
            });
        }
        m_events.at(m_events.now() + m_scenario.lag, [this] {
            report();
        });
    }

    void updateHealth(int entry, int replica)
    {
        const HealthTable &health = m_health[entry];
        m_tables[entry].setHealth(
            keyOf(replica), health.isRoutable(now(), keyOf(replica)), health.slowness(keyOf(replica)));
    }

    void tick()
    {
        for (int e = 0; e < entries; ++e) {
            m_health[e].tick(now());
            for (int r = 0; r < replicas; ++r) {
                updateHealth(e, r);
            }
        }
        m_events.at(m_events.now() + 1, [this] {
            tick();
        });
    }
};

template<RoutePolicy P>
void add(Report &out, const std::string &policy, const Scenario &c, unsigned seed)
{
    Model<P> model(c, seed);
    model.run();
    char name[64];
    std::snprintf(name,
                  sizeof name,
                  "%s, lag %.1f s%s%s",
                  policy.c_str(),
                  c.lag,
                  c.hasSlowReplica ? ", one slow" : "",
                  c.losesDomain ? ", domain gone" : "");
    model.addTo(out, name);
}

void compare(Report &out, const Scenario &c, unsigned seed)
{
    add<RandomPolicy>(out, "random", c, seed);
    add<LeastReportedPolicy>(out, "least reported", c, seed);
    add<AffinityPolicy>(out, "affinity only", c, seed);
    add<BoundedAffinityPolicy>(out, "own", c, seed);
}

} // namespace

int main(int argc, char **argv)
{
    const unsigned seed = seedArgument(argc, argv);
    Report out(
        "routing",
        {"first_p50_ms", "first_p95_ms", "first_p99_ms", "betw_p50_ms", "betw_p95_ms", "betw_p99_ms", "hits", "skew"});
    for (const double lag : {0.1, 1.0, 5.0}) {
        compare(out, {0.7, lag, false, false}, seed);
    }
    for (const double lag : {0.1, 1.0, 5.0}) {
        compare(out, {0.6, lag, true, false}, seed);
    }
    compare(out, {0.5, 1.0, false, true}, seed);
}

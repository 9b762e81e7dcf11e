#include "config_store.h"
#include "document_sample.h"

#include <ctime>
#include <iostream>
#include <malloc.h>
#include <queue>
#include <random>

using namespace turmericline;

namespace {

constexpr double changesPerDay = 5500;
constexpr double changesPerSecond = changesPerDay / 86400;

enum class OtherPeer {
    Rotation, ///< All nodes rotate in step over the domains and the nodes in them.
    ShuffledRotation, ///< Rotation in which each node starts at a random position.
    Random,
};

/** How a node chooses the peers to which it announces its version. */
struct Spread
{
    std::string_view name;
    bool ring; ///< The peer in the own domain is the next one in the ring, otherwise a random one.
    OtherPeer other; ///< Choice of the peer in another domain.
    bool answer; ///< Whether the answer to a gossip message carries the version of the receiver.
    int push; ///< Number of nodes that get an announcement as soon as a version becomes active.
};

constexpr std::array<Spread, 8> spreads{{
    {"ring + rotation", true, OtherPeer::Rotation, false, 0},
    {"ring + shuffled rotation", true, OtherPeer::ShuffledRotation, false, 0},
    {"ring + random", true, OtherPeer::Random, false, 0},
    {"random + random", false, OtherPeer::Random, false, 0},
    {"ring + random, answers", true, OtherPeer::Random, true, 0},
    {"random + random, answers", false, OtherPeer::Random, true, 0},
    {"ring + random, push to 2", true, OtherPeer::Random, false, 2},
    {"ring + random, answers, push to 2", true, OtherPeer::Random, true, 2},
}};

/** Durations in seconds. The time to apply a patch was measured with `bench_config store`. */
constexpr double oneWay = 0.0015;
constexpr double applyTime = 0.05;
constexpr double readTime = 0.005;
constexpr double timeLimit = 60;

/** Simulates the propagation of one version over a fleet. */
class SpreadSimulation
{
public:
    SpreadSimulation(const Spread &spread, int nodes, int domains, int reachableDomains, unsigned seed)
        : m_spread(spread)
        , m_nodes(nodes)
        , m_domains(domains)
        , m_random(seed)
        , m_activeSince(nodes, timeLimit)
    {
        std::uniform_real_distribution<double> phase(0, 1);
        for (int i = 0; i < nodes; ++i) {
            m_events.push({phase(m_random), i, Kind::Tick});
            m_starts.push_back(spread.other == OtherPeer::ShuffledRotation ? random(nodes) : 0);
        }
        // Two watchers in each domain that reaches the service. Their positions in the ring do not matter.
        for (int domain = 0; domain < reachableDomains; ++domain) {
            for (int i = 0; i < 2; ++i) {
                m_events.push({readTime + applyTime, domain + domains * random(sizeOf(domain)), Kind::Activated});
            }
        }
    }

    /** Returns the time until the version is active on all nodes. */
    double run()
    {
        while (m_count < m_nodes && !m_events.empty() && m_events.top().time < timeLimit) {
            const auto event = m_events.top();
            m_events.pop();
            handle(event);
        }
        return *std::max_element(m_activeSince.begin(), m_activeSince.end());
    }

    double messages() const
    {
        return static_cast<double>(m_pushes) / m_nodes;
    }

private:
    enum class Kind {
        Tick,
        Activated,
    };

    struct Event
    {
        double time;
        int node;
        Kind kind;

        bool operator>(const Event &other) const
        {
            return time > other.time;
        }
    };

    const Spread &m_spread;
    int m_nodes;
    int m_domains;
    std::mt19937 m_random;
    std::vector<double> m_activeSince; ///< When the version became active on each node.
    std::vector<int> m_starts; ///< First tick of the rotation of each node.
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    int m_count = 0;
    int m_pushes = 0;

    int random(int n)
    {
        return std::uniform_int_distribution<int>(0, n - 1)(m_random);
    }

    int sizeOf(int domain) const
    {
        return (m_nodes - domain + m_domains - 1) / m_domains;
    }

    /** Returns the node at a position in a domain; nodes are assigned to the domains round-robin. */
    int nodeAt(int domain, int place) const
    {
        return domain + m_domains * (place % sizeOf(domain));
    }

    int ownPeer(int node)
    {
        const int domain = node % m_domains;
        return m_spread.ring ? nodeAt(domain, node / m_domains + 1) : nodeAt(domain, random(sizeOf(domain)));
    }

    int otherPeer(int node, double time)
    {
        if (m_spread.other != OtherPeer::Random) {
            const int tick = static_cast<int>(time) + m_starts[node];
            const int domain = (node + 1 + tick % (m_domains - 1)) % m_domains;
            return nodeAt(domain, node / m_domains + tick);
        }
        return nodeAt((node + 1 + random(m_domains - 1)) % m_domains, random(m_nodes));
    }

    bool has(int node, double time) const
    {
        return m_activeSince[node] <= time;
    }

    /** Announces the version of one node to another, which fetches the patch if it does not have it. */
    void announce(int from, int to, double time)
    {
        if (has(from, time) && !has(to, time + oneWay)) {
            m_events.push({time + 3 * oneWay + applyTime, to, Kind::Activated});
        }
    }

    void gossip(int from, int to, double time)
    {
        announce(from, to, time);
        if (m_spread.answer) {
            announce(to, from, time + oneWay);
        }
    }

    void handle(const Event &event)
    {
        if (event.kind == Kind::Tick) {
            gossip(event.node, ownPeer(event.node), event.time);
            gossip(event.node, otherPeer(event.node, event.time), event.time);
            m_events.push({event.time + 1, event.node, Kind::Tick});
        } else if (!has(event.node, event.time)) {
            m_activeSince[event.node] = event.time;
            ++m_count;
            for (int i = 0; i < m_spread.push; ++i, ++m_pushes) {
                const bool isOwn = i % 2 == 0;
                announce(event.node, isOwn ? ownPeer(event.node) : otherPeer(event.node, event.time), event.time);
            }
        }
    }
};

void measureSpread()
{
    constexpr int seeds = 40;
    std::cout << "time from publication to in force on all nodes, median and maximum of " << seeds << " runs\n";
    for (const auto &spread : spreads) {
        for (const int nodes : {9, 100, 300, 1900}) {
            const int domains = nodes == 9 ? 3 : 13;
            for (const int reachable : {domains, 1}) {
                std::vector<double> times;
                double pushes = 0;
                for (unsigned seed = 0; seed < seeds; ++seed) {
                    SpreadSimulation simulation(spread, nodes, domains, reachable, seed);
                    times.push_back(simulation.run());
                    pushes += simulation.messages() / seeds;
                }
                std::sort(times.begin(), times.end());
                std::cout << fmt::format(
                    "{:<34} {:>5} nodes, service in {:>2} of {:>2} domains: {:>6.2f} s {:>6.2f} s, "
                    "{:.1f} extra messages per node\n",
                    spread.name,
                    nodes,
                    reachable,
                    domains,
                    times[seeds / 2],
                    times.back(),
                    pushes);
            }
        }
    }
}

double cpuMilliseconds()
{
    return 1000.0 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** Returns the average CPU time of one call in milliseconds. */
template<typename F>
double timed(int n, F &&f)
{
    const double start = cpuMilliseconds();
    for (int i = 0; i < n; ++i) {
        f(i);
    }
    return (cpuMilliseconds() - start) / n;
}

/** Applies one change: a changed weight, an inserted workspace, a removed one, or a new key, in turn. */
void change(nlohmann::json &document, int i)
{
    document["version"] = document["version"].get<int>() + 1;
    auto &workspaces = document["workspaces"];
    const auto at = static_cast<std::size_t>(i) * 997 % workspaces.size();
    nlohmann::json row;
    switch (i % 4) {
    case 0:
        document["plans"][0]["weight"] = 1 + i;
        break;
    case 1:
        // A named value, because insert() would take a list in braces as three elements.
        row = {{"name", fmt::format("new{:04}", i)}, {"keys", {keyDigest(fmt::format("new{}", i))}}, {"plan", "p1"}};
        workspaces.insert(workspaces.begin() + static_cast<long>(at), row);
        break;
    case 2:
        workspaces.erase(at);
        break;
    default:
        workspaces[at]["keys"] = {keyDigest(fmt::format("key{}", i))};
    }
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void measureStore()
{
    constexpr int changes = 40;
    const auto now = ConfigStore::Clock::time_point{};
    // 14,000 workspaces have to fit into the size limit together with 28 models and 60 of the 7,100 backend servers.
    auto document = sampleDocument(1, {28, 2, 50, 14000});
    std::vector<std::string> texts{document.dump()};
    for (int i = 0; i < changes; ++i) {
        change(document, i);
        texts.push_back(document.dump());
    }
    const auto heap = heapBytes();
    ConfigStore watcher;
    ConfigStore peer;
    std::cout << "document: " << texts[0].size() << " bytes, canonical "
              << (watcher.offer(texts[0]).status == ApplyStatus::Applied ? watcher.activeDocument().text->size() : 0)
              << '\n';
    std::cout << fmt::format("heap of a store with it: {:.1f} MB\n", static_cast<double>(heapBytes() - heap) / 1e6);
    const auto whole = watcher.encodeUpdate({});
    std::cout << fmt::format("whole update: {} bytes, applied in {:.1f} ms of CPU\n", whole->size(), timed(1, [&](int) {
                                 peer.applyUpdate(*whole, watcher.announcement(), now);
                             }));
    std::size_t bytes = 0;
    std::size_t largest = 0;
    double offered = 0;
    double encoded = 0;
    double applied = 0;
    for (int i = 1; i <= changes; ++i) {
        offered += timed(1, [&](int) {
            watcher.offer(texts[i]);
        });
        std::string update;
        encoded += timed(1, [&](int) {
            update = watcher.encodeUpdate(*peer.query(watcher.announcement(), now)).value_or("");
        });
        bytes += update.size();
        largest = std::max(largest, update.size());
        applied += timed(1, [&](int) {
            peer.applyUpdate(update, watcher.announcement(), now);
        });
    }
    if (peer.activeDocument().ref.version != changes + 1 || peer.counters().refused + peer.counters().rejected > 0) {
        std::cout << "FAILED: the peer does not have the newest version\n";
    }
    std::cout << fmt::format("patch update: {} bytes on average, {} at most\n", bytes / changes, largest)
              << fmt::format("CPU per change: watcher {:.1f} ms, encoding {:.3f} ms, applying a patch {:.1f} ms\n",
                             offered / changes,
                             encoded / changes,
                             applied / changes)
              << fmt::format("at {} changes a day: {:.3f}% of a core, {:.0f} bytes/s in and as many out per node; "
                             "a watcher reads {:.0f} bytes/s\n",
                             changesPerDay,
                             applied / changes * changesPerSecond / 10,
                             static_cast<double>(bytes) / changes * changesPerSecond,
                             static_cast<double>(texts[0].size()) * changesPerSecond);
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view what = argc > 1 ? argv[1] : "";
    if (what != "spread") {
        measureStore();
    }
    if (what != "store") {
        measureSpread();
    }
    return 0;
}

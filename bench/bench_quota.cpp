// Simulates the quota of one workspace over 13 failure domains with 8 entries each, and measures the size of its
// messages and table rows.
#include "bench_util.h"
#include "quota.h"
#include "quota_wire.h"

#include <cmath>
#include <memory>
#include <numeric>
#include <random>

using namespace turmericline;
using namespace turmericline::bench;

namespace {

constexpr int domains = 13;
constexpr int entriesPerDomain = 8;
constexpr int entries = domains * entriesPerDomain;
constexpr QuotaAmount limit{2000, 2'000'000};
constexpr double tokensPerRequest = 400;
constexpr WorkspaceKey workspace = 7;
constexpr int steps = 12'000; // 5 ms each
constexpr int warmUp = 2'000;
constexpr int faultAt = 4'000;

struct Owner
{
    std::unique_ptr<QuotaOwner> state;
    bool isAlive = true;
};

/** Returns the load per second that is offered to an entry at a step. */
using Load = std::function<double(int step, int entry)>;

class Model
{
public:
    Model(unsigned seed, bool isBaseline)
        : m_random(seed)
        , m_isBaseline(isBaseline)
        , m_clients(entries)
        , m_buckets(entries, limit.requests / entries)
        , m_cut(domains, false)
    {
        for (int d = 0; d < domains; ++d) {
            newOwner(d);
            m_seen.insert(m_seen.end(), entriesPerDomain, static_cast<int>(m_owners.size()) - 1);
        }
    }

    void newOwner(int domain)
    {
        const QuotaOwnerConfig config{
            static_cast<EntryKey>(m_owners.size() + 1) << 32U, static_cast<DomainIndex>(domain), domains};
        m_owners.push_back({std::make_unique<QuotaOwner>(config), true});
        m_ownerOf[domain] = static_cast<int>(m_owners.size()) - 1;
    }

    /** The entries of the domain with index @p from or higher use the domain's newest owner from now on. */
    void follow(int domain, int from)
    {
        for (int i = from; i < entriesPerDomain; ++i) {
            m_seen[domain * entriesPerDomain + i] = m_ownerOf[domain];
        }
    }

    void kill(int domain)
    {
        m_owners[m_ownerOf[domain]].isAlive = false;
    }

    /** Shuts the domain's owner down in order: it returns its loans first. */
    void release(int domain)
    {
        const int owner = m_ownerOf[domain];
        for (const ShareMessage &it : m_owners[owner].state->releaseAll(now())) {
            send(owner, it);
        }
        m_owners[owner].isAlive = false;
    }

    void cut(int domain, bool isCut)
    {
        m_cut[domain] = isCut;
    }

    void step(int step, const Load &load)
    {
        m_ms = step * 5;
        m_events.runUntil(m_ms / 1000.0);
        for (int i = 0; i < entries; ++i) {
            std::poisson_distribution<int> arrivals(load(step, i) * 0.005);
            for (int n = arrivals(m_random); n > 0; --n) {
                m_offered += 1;
                request(i);
            }
            ask(i);
        }
        if (step % 20 == 0) {
            for (std::size_t o = 0; o < m_owners.size(); ++o) {
                if (m_owners[o].isAlive) {
                    tick(static_cast<int>(o));
                }
            }
        }
        admitted.push_back(m_admitted);
        offered.push_back(m_offered);
        m_admitted = m_offered = 0;
    }

    std::vector<double> admitted;
    std::vector<double> offered;
    double bytes = 0;

private:
    TimePoint now() const
    {
        const auto ms = std::chrono::duration<double, std::milli>(std::max(m_events.now() * 1000.0, m_ms));
        return TimePoint(std::chrono::seconds(1000) + std::chrono::duration_cast<TimePoint::duration>(ms));
    }

    void request(int entry)
    {
        if (m_isBaseline) {
            m_admitted += m_buckets[entry] >= 1 ? 1 : 0;
            m_buckets[entry] -= m_buckets[entry] >= 1 ? 1 : 0;
            return;
        }
        decide(entry, SpendAttempt::First);
    }

    void decide(int entry, SpendAttempt attempt)
    {
        const QuotaAmount even{limit.requests / entries, limit.tokens / entries};
        const auto decision = m_clients[entry].spend(now(), workspace, even, tokensPerRequest, attempt);
        m_admitted += decision.verdict == QuotaVerdict::Admit ? 1 : 0;
        if (decision.verdict == QuotaVerdict::Wait) {
            // The daemon decides again at the grant or after 100 ms. The simulation always waits 60 ms, by which time
            // the grant has arrived.
            m_events.at(m_events.now() + 0.06, [this, entry] {
                decide(entry, SpendAttempt::Retry);
            });
        }
    }

    template<typename Row>
    void count(std::vector<Row> QuotaMessage::*rows, const Row &row)
    {
        QuotaMessage message;
        message.sender = 0x1234567812345678;
        (message.*rows).push_back(row);
        bytes += static_cast<double>(encodeQuotaMessage(message).size());
    }

    void ask(int entry)
    {
        if (m_isBaseline) {
            const double rate = limit.requests / entries;
            m_buckets[entry] = std::min(m_buckets[entry] + rate * 0.005, rate);
            return;
        }
        for (const LeaseRequest &it : m_clients[entry].takeDueRequests(now())) {
            count(&QuotaMessage::leaseRequests, it);
            m_events.at(m_events.now() + 0.0005, [this, entry, it] {
                Owner &owner = m_owners[m_seen[entry]];
                if (!owner.isAlive) {
                    return;
                }
                const auto grant = owner.state->onLeaseRequest(now(), static_cast<EntryKey>(entry) + 1, it, limit);
                if (!grant) {
                    return;
                }
                count(&QuotaMessage::leaseGrants, *grant);
                m_events.at(m_events.now() + 0.0005, [this, entry, grant] {
                    m_clients[entry].onGrant(now(), *grant);
                });
            });
        }
    }

    void tick(int owner)
    {
        for (const ShareMessage &it : m_owners[owner].state->tick(now())) {
            send(owner, it);
        }
    }

    int domainOf(int owner) const
    {
        // The first owners are created in the order of the domains; later ones are found in m_ownerOf.
        for (int d = 0; d < domains; ++d) {
            if (m_ownerOf.at(d) == owner) {
                return d;
            }
        }
        return owner % domains;
    }

    void send(int from, const ShareMessage &message)
    {
        if (m_cut[domainOf(from)] || m_cut[message.to]) {
            return;
        }
        m_events.at(m_events.now() + 0.0015, [this, from, message] {
            const int to = m_ownerOf[message.to];
            if (!m_owners[to].isAlive) {
                return;
            }
            QuotaOwner &owner = *m_owners[to].state;
            std::optional<ShareMessage> answer;
            if (const auto *request = std::get_if<ShareRequest>(&message.body)) {
                count(&QuotaMessage::shareRequests, *request);
                answer = owner.onShareRequest(now(), *request);
            } else if (const auto *reply = std::get_if<ShareReply>(&message.body)) {
                count(&QuotaMessage::shareReplies, *reply);
                owner.onShareReply(now(), *reply);
            } else {
                count(&QuotaMessage::shareProbes, std::get<ShareProbe>(message.body));
                answer = owner.onShareProbe(now(), std::get<ShareProbe>(message.body));
            }
            if (answer) {
                send(to, *answer);
            }
        });
    }

    std::mt19937 m_random;
    bool m_isBaseline;
    std::vector<QuotaClient> m_clients;
    std::vector<double> m_buckets;
    std::vector<Owner> m_owners;
    std::map<int, int> m_ownerOf;
    std::vector<int> m_seen;
    std::vector<bool> m_cut;
    EventQueue m_events;
    double m_ms = 0;
    double m_admitted = 0;
    double m_offered = 0;
};

/** Returns the largest and smallest sum over windows of @p length steps from @p begin on. */
std::pair<double, double> extremes(const std::vector<double> &values, int length, int begin)
{
    double sum = 0;
    std::pair<double, double> result{0, 1e18};
    for (int i = begin; i < static_cast<int>(values.size()); ++i) {
        sum += values[i];
        if (i >= begin + length) {
            sum -= values[i - length];
        }
        if (i >= begin + length - 1) {
            result = {std::max(result.first, sum), std::min(result.second, sum)};
        }
    }
    return result;
}

/** Returns the seconds after the fault until the admitted rate is back at 0.9 of the rate before the fault. */
double recovery(const std::vector<double> &values)
{
    const auto second = [&](int begin) {
        return std::accumulate(values.begin() + begin, values.begin() + begin + 200, 0.0);
    };
    const double before = second(faultAt - 200);
    int last = faultAt;
    for (int i = faultAt; i + 200 <= steps; i += 20) {
        if (second(i) < 0.9 * before) {
            last = i + 200;
        }
    }
    return (last - faultAt) * 0.005;
}

using Fault = std::function<void(Model &, int step)>;

void run(Report &report, const std::string &name, unsigned seed, const Load &load, const Fault &fault)
{
    for (const bool isBaseline : {false, true}) {
        Model model(seed, isBaseline);
        for (int i = 0; i < steps; ++i) {
            fault(model, i);
            model.step(i, load);
        }
        double wanted = 0;
        double got = 0;
        for (int second = warmUp; second < steps; second += 200) {
            double offered = 0;
            for (int i = second; i < second + 200; ++i) {
                offered += model.offered[i];
                got += model.admitted[i];
            }
            wanted += std::min(offered, limit.requests);
        }
        const auto one = extremes(model.admitted, 200, warmUp);
        const auto ten = extremes(model.admitted, 2000, warmUp);
        report.add(name + (isBaseline ? " [limit/N]" : ""),
                   {one.first / limit.requests,
                    ten.first / limit.requests / 10,
                    one.second / limit.requests,
                    got / wanted,
                    recovery(model.admitted),
                    model.bytes / (steps * 0.005) / entries});
    }
}

void runScenarios(unsigned seed)
{
    Report report("quota, parts of the limit", {"max_1s", "max_10s", "min_1s", "admitted", "recovery_s", "B_s_entry"});
    const Fault none = [](Model &, int) {};
    const auto even = [](double total) {
        return [total](int, int) {
            return total * limit.requests / entries;
        };
    };
    const Load skewed = [](int, int entry) {
        const int domain = entry / entriesPerDomain;
        const double part = domain == 0 ? 0.9 : 0.1 / (domains - 1);
        const int place = entry % entriesPerDomain;
        return 1.5 * limit.requests * part * (place == 0 ? 0.5 : 0.5 / (entriesPerDomain - 1));
    };
    run(report, "even, 0.8 of the limit", seed, even(0.8), none);
    run(report, "even, 1.5 of the limit", seed, even(1.5), none);
    run(report, "uneven, 0.9 in one domain, 1.5 of limit", seed, skewed, none);
    run(report, "flood, 10 times the limit", seed, even(10), none);
    run(
        report,
        "demand moves to another domain",
        seed,
        [&](int step, int entry) {
            const int moved = step < faultAt ? entry : (entry + entriesPerDomain) % entries;
            return skewed(step, moved);
        },
        none);
    run(
        report,
        "half the entries leave and come back",
        seed,
        [](int step, int entry) {
            const bool isAway = step >= faultAt && step < faultAt + 2000;
            const double part = 1.2 * limit.requests / entries;
            return !isAway ? part : entry % 2 == 0 ? 0 : 2 * part;
        },
        none);
    run(report, "owner restarts in the busy domain", seed, skewed, [](Model &model, int step) {
        if (step == faultAt) {
            model.kill(0);
        }
        if (step == faultAt + 200) {
            model.newOwner(0);
            model.follow(0, 0);
        }
    });
    run(report, "owner shuts down in order", seed, skewed, [](Model &model, int step) {
        if (step == faultAt) {
            model.release(0);
            model.newOwner(0);
            model.follow(0, 0);
        }
    });
    run(report, "owner changes, two owners for 3 s", seed, skewed, [](Model &model, int step) {
        if (step == faultAt) {
            model.newOwner(0);
            model.follow(0, entriesPerDomain / 2);
        }
        if (step == faultAt + 600) {
            model.follow(0, 0);
        }
    });
    run(report, "busy domain cut off for 20 s", seed, skewed, [](Model &model, int step) {
        if (step == faultAt || step == faultAt + 4000) {
            model.cut(0, step == faultAt);
        }
    });
    run(report, "cut off with an owner change", seed, skewed, [](Model &model, int step) {
        if (step == faultAt || step == faultAt + 4000) {
            model.cut(0, step == faultAt);
        }
        if (step == faultAt + 200) {
            model.kill(0);
            model.newOwner(0);
            model.follow(0, 0);
        }
    });
}

/** Returns the encoded size of a row in a message with many rows, in bytes. */
template<typename Row>
double wireBytes(std::vector<Row> QuotaMessage::*rows, const Row &row)
{
    QuotaMessage message;
    const auto empty = encodeQuotaMessage(message).size();
    (message.*rows).assign(100, row);
    return static_cast<double>(encodeQuotaMessage(message).size() - empty) / 100;
}

void runSizes()
{
    const WorkspaceKey key = 0xfedcba9876543210;
    Report report("bytes of one row", {"bytes"});
    report.add("lease request", {wireBytes(&QuotaMessage::leaseRequests, LeaseRequest{key, 70000, {1.3, 530.1}, {}})});
    report.add("lease request with balance",
               {wireBytes(&QuotaMessage::leaseRequests, LeaseRequest{key, 70000, {1.3, 530.1}, {1, 400}})});
    report.add("lease grant", {wireBytes(&QuotaMessage::leaseGrants, LeaseGrant{key, 70000, {3, 530.1}})});
    report.add("share request",
               {wireBytes(&QuotaMessage::shareRequests, ShareRequest{key, 3, key, 70000, 76923, 90000})});
    report.add("share reply", {wireBytes(&QuotaMessage::shareReplies, ShareReply{key, 3, key, 70000, 76923})});
    report.add("share probe", {wireBytes(&QuotaMessage::shareProbes, ShareProbe{key, 3})});
    report.add("empty message", {static_cast<double>(encodeQuotaMessage({key, {}, {}, {}, {}, {}}).size())});
    report.add("client row", {static_cast<double>(QuotaClient::rowBytes())});
    report.add("owner row", {static_cast<double>(QuotaOwner::rowBytes())});
    report.add("owner's row per asking entry", {static_cast<double>(QuotaOwner::clientBytes())});
    report.add("owner's row per domain", {static_cast<double>(DomainShares::peerBytes())});
}

} // namespace

int main(int argc, char **argv)
{
    runScenarios(seedArgument(argc, argv));
    runSizes();
}

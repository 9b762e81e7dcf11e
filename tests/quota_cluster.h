#pragma once

#include "quota.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace turmericline {

/** Network faults between the processes of a QuotaCluster. */
struct QuotaNetwork
{
    double loss = 0;
    double repeat = 0;
    int domainDelayMs = 50; ///< Longest delay within a failure domain.
    int maxDelayMs = 50; ///< Longest delay between failure domains.
};

/** Simulates entries of several failure domains that serve one workspace, with one quota owner per domain. */
class QuotaCluster
{
public:
    static constexpr int domains = 3;
    static constexpr int entriesPerDomain = 4;
    static constexpr QuotaAmount limit{90, 9000};

    QuotaCluster(QuotaNetwork network, unsigned seed)
        : m_network(network)
        , m_random(seed)
    {
        for (int d = 0; d < domains; ++d) {
            replaceOwner(d);
        }
        for (int i = 0; i < domains * entriesPerDomain; ++i) {
            m_clients.emplace_back();
        }
    }

    void spend(int entry, int count, double tokens)
    {
        const QuotaAmount even{limit.requests / (domains * entriesPerDomain),
                               limit.tokens / (domains * entriesPerDomain)};
        for (int i = 0; i < count; ++i) {
            const auto decision = m_clients[entry].spend(now(), workspace, even, tokens);
            if (decision.verdict == QuotaVerdict::Admit) {
                m_spent.push_back({m_ms, 1, tokens, decision.isFallback});
            }
        }
    }

    void advance(int ms)
    {
        for (const int end = m_ms + ms; m_ms < end; m_ms += 10) {
            while (!m_queue.empty() && m_queue.begin()->first <= m_ms) {
                const auto deliver = std::move(m_queue.begin()->second);
                m_queue.erase(m_queue.begin());
                deliver();
            }
            for (int i = 0; i < domains * entriesPerDomain; ++i) {
                requestLease(i);
            }
            for (int d = 0; d < domains; ++d) {
                for (const auto &it : m_owners[d]->tick(now())) {
                    route(d, it);
                }
            }
            m_largestShareSum = std::max(m_largestShareSum, shareSum());
        }
    }

    void setCut(int domain, bool isCut)
    {
        m_cut[domain] = isCut;
    }

    /** Replaces the owner by one without state; messages to the old one are lost. */
    void replaceOwner(int domain)
    {
        m_owners[domain] = std::make_shared<QuotaOwner>(QuotaOwnerConfig{
            ++m_incarnation << 32U, static_cast<DomainIndex>(domain), domains, std::chrono::milliseconds(1000)});
        m_lastOwnerChange = m_ms;
    }

    /** Returns the largest sum so far of the shares that all domains could use at the same time. */
    std::uint64_t largestShareSum() const
    {
        return m_largestShareSum;
    }

    /** Returns the amount spent within the last @p seconds. */
    QuotaAmount spentWithin(int seconds) const
    {
        return sumWithin(m_spent, seconds);
    }

    /** Returns the amount that owners granted, less what was returned, within the last @p seconds. */
    QuotaAmount grantedWithin(int seconds) const
    {
        return sumWithin(m_granted, seconds);
    }

    bool hadFallbackWithin(int seconds) const
    {
        return std::any_of(m_spent.rbegin(), m_spent.rend(), [&](const Spent &it) {
            return it.isFallback && it.ms > m_ms - seconds * 1000;
        });
    }

    bool hadOwnerChangeWithin(int seconds) const
    {
        return m_lastOwnerChange > m_ms - seconds * 1000;
    }

private:
    std::uint64_t shareSum() const
    {
        std::uint64_t sum = 0;
        for (const auto &it : m_owners) {
            sum += it->share(workspace);
        }
        return sum;
    }

    struct Spent
    {
        int ms;
        double requests;
        double tokens;
        bool isFallback;
    };

    QuotaAmount sumWithin(const std::deque<Spent> &log, int seconds) const
    {
        QuotaAmount sum;
        for (auto it = log.rbegin(); it != log.rend() && it->ms > m_ms - seconds * 1000; ++it) {
            sum.requests += it->requests;
            sum.tokens += it->tokens;
        }
        return sum;
    }

    static constexpr WorkspaceKey workspace = 42;

    TimePoint now() const
    {
        return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(m_ms));
    }

    template<typename Action>
    void send(int longestMs, Action action)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        std::uniform_int_distribution<int> delay(1, longestMs);
        const int copies = chance(m_random) < m_network.loss ? 0 : chance(m_random) < m_network.repeat ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            m_queue.emplace(m_ms + delay(m_random), action);
        }
    }

    void requestLease(int entry)
    {
        const int domain = entry / entriesPerDomain;
        for (const auto &it : m_clients[entry].takeDueRequests(now())) {
            send(m_network.domainDelayMs, [this, entry, it, owner = std::weak_ptr(m_owners[domain])] {
                if (const auto alive = owner.lock()) {
                    const auto grant = alive->onLeaseRequest(now(), entry + 1, it, limit);
                    if (!grant) {
                        return;
                    }
                    countGrant(entry, it.balance, grant->amount);
                    send(m_network.domainDelayMs, [this, entry, grant] {
                        m_clients[entry].onGrant(now(), *grant);
                    });
                }
            });
        }
    }

    /** Records a grant less what was returned of the previous lease. */
    void countGrant(int entry, const QuotaAmount &balance, const QuotaAmount &amount)
    {
        Spent &last = m_lastGrant[entry];
        const bool isValid = m_ms - last.ms < 1000;
        const auto rest = [isValid](double given, double held) {
            return isValid ? std::clamp(held, 0.0, given) : 0.0;
        };
        m_granted.push_back({m_ms,
                             amount.requests - rest(last.requests, balance.requests),
                             amount.tokens - rest(last.tokens, balance.tokens),
                             false});
        last = {m_ms, amount.requests, amount.tokens, false};
    }

    /** Sends a message to the process that is the quota owner at the time of sending. */
    void route(int from, const ShareMessage &message)
    {
        const int to = message.to;
        if (m_cut[from] || m_cut[to]) {
            return;
        }
        send(m_network.maxDelayMs, [this, to, message, owner = std::weak_ptr(m_owners[to])] {
            const auto alive = owner.lock();
            if (!alive) {
                return;
            }
            std::optional<ShareMessage> answer;
            if (const auto *request = std::get_if<ShareRequest>(&message.body)) {
                answer = alive->onShareRequest(now(), *request);
            } else if (const auto *reply = std::get_if<ShareReply>(&message.body)) {
                alive->onShareReply(now(), *reply);
            } else {
                answer = alive->onShareProbe(now(), std::get<ShareProbe>(message.body));
            }
            if (answer) {
                route(to, *answer);
            }
        });
    }

    QuotaNetwork m_network;
    std::mt19937 m_random;
    int m_ms = 0;
    EntryKey m_incarnation = 0;
    int m_lastOwnerChange = 0;
    std::uint64_t m_largestShareSum = 0;
    std::array<std::shared_ptr<QuotaOwner>, domains> m_owners;
    std::array<bool, domains> m_cut{};
    std::vector<QuotaClient> m_clients;
    std::multimap<int, std::function<void()>> m_queue;
    std::deque<Spent> m_spent;
    std::deque<Spent> m_granted;
    std::map<int, Spent> m_lastGrant;
};

} // namespace turmericline

// Simulates a fleet that loses one failure domain for 30 s under constant load; reports attempts, successes and the
// time to recover.
#include "bench_util.h"
#include "retry.h"

#include <deque>
#include <memory>
#include <random>

using namespace turmericline;
using namespace turmericline::bench;

namespace {

constexpr double serviceTime = 0.1;
constexpr int slotsPerDomain = 40;
constexpr std::size_t queueLimit = 40; // Limits the queueing delay to one service time.
constexpr double rejectionTime = 0.005; // Slot time that a server spends to read and reject a request.
constexpr double failureTime = 0.1; // Time after which an attempt at the lost domain fails.
constexpr double detectionTime = 2; // Time until entries detect that the domain is lost, or back.
constexpr double deadline = 2;
constexpr double lostAt = 30;
constexpr double restoredAt = 60;
constexpr double endAt = 120;
constexpr int entriesPerDomain = 4;
constexpr int maxCallerRetries = 3; // Times that a caller retries after a rejection.

enum class Mode {
    Budget,
    Always,
    Never,
};

struct Call
{
    int entry = 0;
    unsigned attempts = 0;
    int callerRetries = 0;
    double startedAt = 0;
};

struct SecondStats
{
    double requests = 0; ///< Requests of callers, including their own retries.
    double attempts = 0; ///< Attempts that reached a running domain.
    double successes = 0;
    double capacity = 0; ///< Successes that the remaining domains have capacity for.
};

class Model
{
public:
    Model(Mode mode, int domains, double load, unsigned seed)
        : m_mode(mode)
        , m_domains(domains)
        , m_rate(load * domains * slotsPerDomain / serviceTime)
        , m_random(seed)
        , m_servers(domains)
        , m_budgets(static_cast<std::size_t>(domains) * entriesPerDomain)
        , seconds(static_cast<std::size_t>(endAt) + 1)
    {
    }

    void run()
    {
        for (SecondStats &it : seconds) {
            it.capacity = (m_domains - 1) * slotsPerDomain / serviceTime;
        }
        arrive();
        m_events.runUntil(endAt);
    }

private:
    struct Server
    {
        int busy = 0;
        std::deque<Call> queue;
        double rejectionWork = 0;
    };

    Mode m_mode;
    int m_domains;
    double m_rate;
    std::mt19937 m_random;
    std::vector<Server> m_servers;
    std::vector<RetryBudget> m_budgets;
    RetryPolicy m_policy;
    EventQueue m_events;

public:
    std::vector<SecondStats> seconds;

private:
    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    TimePoint now() const
    {
        const std::chrono::duration<double> time(1000 + m_events.now());
        return TimePoint(std::chrono::duration_cast<TimePoint::duration>(time));
    }

    bool isLost(int domain) const
    {
        return domain == 0 && m_events.now() >= lostAt && m_events.now() < restoredAt;
    }

    bool isKnownLost(int domain) const
    {
        return domain == 0 && m_events.now() >= lostAt + detectionTime && m_events.now() < restoredAt + detectionTime;
    }

    SecondStats &current()
    {
        return seconds[static_cast<std::size_t>(m_events.now())];
    }

    void arrive()
    {
        std::exponential_distribution<double> gap(m_rate);
        m_events.at(m_events.now() + gap(m_random), [this] {
            Call call;
            call.entry = static_cast<int>(uniform() * static_cast<double>(m_budgets.size()));
            startCall(call);
            arrive();
        });
    }

    void startCall(Call call)
    {
        call.startedAt = m_events.now();
        call.attempts = 0;
        current().requests += 1;
        attempt(call);
    }

    void attempt(Call call)
    {
        ++call.attempts;
        int domain = static_cast<int>(uniform() * m_domains);
        while (isKnownLost(domain)) {
            domain = static_cast<int>(uniform() * m_domains);
        }
        if (isLost(domain)) {
            m_events.at(m_events.now() + failureTime, [this, call] {
                onAttemptFailed(call, Verdict::MayHaveRun);
            });
            return;
        }
        current().attempts += 1;
        Server &server = m_servers[domain];
        if (server.busy < slotsPerDomain) {
            serve(domain, call);
        } else if (server.queue.size() < queueLimit) {
            server.queue.push_back(call);
        } else {
            server.rejectionWork += rejectionTime;
            onAttemptFailed(call, Verdict::NotRun);
        }
    }

    void serve(int domain, const Call &call)
    {
        Server &server = m_servers[domain];
        ++server.busy;
        std::exponential_distribution<double> service(1 / serviceTime);
        const double time = service(m_random) + std::exchange(server.rejectionWork, 0.0);
        m_events.at(m_events.now() + time, [this, domain, call] {
            Server &released = m_servers[domain];
            --released.busy;
            current().successes += 1;
            m_budgets[call.entry].onSuccess();
            if (!released.queue.empty()) {
                const Call next = released.queue.front();
                released.queue.pop_front();
                serve(domain, next);
            }
        });
    }

    void onAttemptFailed(const Call &call, Verdict verdict)
    {
        bool isRetry = m_mode == Mode::Always && call.attempts < 3;
        double delay = 0.01 * (0.5 + uniform());
        if (m_mode == Mode::Budget) {
            const auto left = std::chrono::duration<double>(call.startedAt + deadline - m_events.now());
            const AttemptResult result{verdict,
                                       true,
                                       call.attempts,
                                       now() + std::chrono::duration_cast<TimePoint::duration>(left),
                                       std::chrono::milliseconds(100)};
            const auto decision = m_policy.decide(now(), result, m_budgets[call.entry], uniform());
            isRetry = decision.isRetry();
            delay = std::chrono::duration<double>(decision.delay).count();
        }
        if (isRetry) {
            m_events.at(m_events.now() + delay, [this, call] {
                attempt(call);
            });
            return;
        }
        if (call.callerRetries < maxCallerRetries) {
            Call retried = call;
            ++retried.callerRetries;
            const auto time = m_policy.retryAfter(load(), uniform());
            m_events.at(m_events.now() + std::chrono::duration<double>(time).count(), [this, retried] {
                startCall(retried);
            });
        }
    }

    double load() const
    {
        double busy = 0;
        double slots = 0;
        for (int d = 0; d < m_domains; ++d) {
            if (!isKnownLost(d)) {
                busy += m_servers[d].busy + static_cast<double>(m_servers[d].queue.size());
                slots += slotsPerDomain;
            }
        }
        return busy / slots;
    }
};

double ratio(const std::vector<SecondStats> &seconds,
             double from,
             double to,
             double SecondStats::*numeratorField,
             double SecondStats::*denominatorField)
{
    double numerator = 0;
    double denominator = 0;
    for (auto i = static_cast<std::size_t>(from); i < static_cast<std::size_t>(to); ++i) {
        numerator += seconds[i].*numeratorField;
        denominator += seconds[i].*denominatorField;
    }
    return denominator > 0 ? numerator / denominator : 0;
}

void add(Report &report, const std::string &name, Mode mode, int domains, double load, unsigned seed)
{
    Model model(mode, domains, load, seed);
    model.run();
    double worst = 0;
    double recovered = restoredAt;
    for (double t = lostAt; t < restoredAt; t += 1) {
        worst = std::max(worst, ratio(model.seconds, t, t + 1, &SecondStats::attempts, &SecondStats::requests));
    }
    const double before = ratio(model.seconds, lostAt - 20, lostAt, &SecondStats::successes, &SecondStats::requests);
    for (double t = restoredAt; t + 3 < endAt; t += 1) {
        if (ratio(model.seconds, t, t + 3, &SecondStats::successes, &SecondStats::requests) < 0.97 * before) {
            recovered = t + 3;
        }
    }
    report.add(
        name,
        {ratio(model.seconds, lostAt, restoredAt, &SecondStats::attempts, &SecondStats::requests),
         worst,
         ratio(model.seconds, lostAt, lostAt + detectionTime, &SecondStats::successes, &SecondStats::requests),
         ratio(model.seconds, lostAt + detectionTime, restoredAt, &SecondStats::successes, &SecondStats::requests),
         ratio(model.seconds, lostAt + detectionTime, restoredAt, &SecondStats::successes, &SecondStats::capacity),
         recovered - restoredAt});
}

} // namespace

int main(int argc, char **argv)
{
    const unsigned seed = seedArgument(argc, argv);
    Report report("loss of one domain",
                  {"attempts_own", "worst_second", "ok_first_2s", "ok_until_back", "goodput_rest", "recovery_s"});
    for (const int domains : {13, 3}) {
        for (const double load : {0.6, 0.75, 0.9}) {
            char name[64];
            std::snprintf(name, sizeof name, "%d domains, load %.2f", domains, load);
            add(report, std::string(name) + ", budget", Mode::Budget, domains, load, seed);
            add(report, std::string(name) + ", 3 tries always", Mode::Always, domains, load, seed);
            add(report, std::string(name) + ", no retries", Mode::Never, domains, load, seed);
        }
    }
}

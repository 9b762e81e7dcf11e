// Waiting times in the queue of one agent: small workspaces next to a flood, and urgent calls at full load.
#include "bench_util.h"
#include "fair_queue.h"

#include <deque>
#include <memory>
#include <random>

using namespace turmericline;
using namespace turmericline::bench;

namespace {

constexpr std::uint32_t slots = 16;
constexpr double meanCost = 200; // tokens
constexpr double secondsPerToken = 0.005;
constexpr double capacity = slots / (meanCost * secondsPerToken); // calls/s
constexpr double duration = 600;
constexpr int smallWorkspaces = 20;

enum class Policy {
    Fair,
    Fifo,
};

struct Latencies
{
    std::vector<double> wait[3]; ///< Waiting times of small workspaces until the start, by class.
    double offered[3] = {};
    double refused[3] = {};
};

struct Case
{
    Policy policy = Policy::Fair;
    double smallLoad = 0.4; ///< Interactive load of all small workspaces, as a fraction of the capacity.
    double floodLoad = 0; ///< Interactive load of the flooding workspace, as a fraction of the capacity.
    double batchLoad = 0;
    double urgentRate = 0; ///< Urgent calls per second, of 1 token each.
    double perEntryLimit = 0; ///< Token bucket limit of the flood, as a fraction of the capacity; 0 for none.
};

class Model
{
public:
    Model(const Case &c, unsigned seed)
        : m_case(c)
        , m_random(seed)
        , m_queue(FairQueueConfig{slots, c.urgentRate > 0 ? 2U : 0U, 256, 8, secondsPerToken})
    {
    }

    Latencies run()
    {
        for (int i = 0; i < smallWorkspaces; ++i) {
            generate(static_cast<WorkspaceKey>(i) + 1,
                     RequestClass::Interactive,
                     m_case.smallLoad * capacity / smallWorkspaces);
        }
        const double flood
            = m_case.perEntryLimit > 0 ? std::min(m_case.perEntryLimit, m_case.floodLoad) : m_case.floodLoad;
        generate(1000, RequestClass::Interactive, flood * capacity);
        generate(2000, RequestClass::Batch, m_case.batchLoad * capacity);
        generate(3000, RequestClass::Urgent, m_case.urgentRate);
        m_events.runUntil(duration);
        return m_result;
    }

private:
    TimePoint now() const
    {
        return TimePoint(
            std::chrono::seconds(1000)
            + std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(m_events.now())));
    }

    void generate(WorkspaceKey workspace, RequestClass c, double rate)
    {
        if (rate <= 0) {
            return;
        }
        std::exponential_distribution<double> gap(rate);
        m_events.at(m_events.now() + gap(m_random), [this, workspace, c, rate] {
            arrive(workspace, c);
            generate(workspace, c, rate);
        });
    }

    void arrive(WorkspaceKey workspace, RequestClass c)
    {
        std::exponential_distribution<double> tokens(1 / meanCost);
        const double cost = c == RequestClass::Urgent ? 1 : std::max(1.0, tokens(m_random));
        const QueuedCall call{++m_id, workspace, c, cost, 1, now() + std::chrono::seconds(30)};
        const bool isCounted = workspace != 1000;
        m_result.offered[static_cast<int>(c)] += isCounted ? 1 : 0;
        m_arrived[call.id] = m_events.now();
        std::vector<QueuedCall> shed;
        if (m_case.policy == Policy::Fair) {
            if (m_queue.offer(now(), call, shed).verdict != QueueVerdict::Queued) {
                shed.push_back(call);
            }
        } else if (m_fifo.size() < 256) {
            m_fifo.push_back(call);
        } else {
            shed.push_back(call);
        }
        refuse(shed);
        startAll();
    }

    void refuse(const std::vector<QueuedCall> &calls)
    {
        for (const auto &it : calls) {
            m_result.refused[static_cast<int>(it.requestClass)] += it.workspace != 1000 ? 1 : 0;
            m_arrived.erase(it.id);
        }
    }

    std::optional<QueuedCall> next()
    {
        if (m_case.policy == Policy::Fair) {
            std::vector<QueuedCall> late;
            const auto call = m_queue.start(now(), late);
            refuse(late);
            return call;
        }
        if (m_fifo.empty() || m_running >= slots) {
            return std::nullopt;
        }
        const QueuedCall call = m_fifo.front();
        m_fifo.pop_front();
        return call;
    }

    void startAll()
    {
        while (const auto call = next()) {
            ++m_running;
            const double wait = m_events.now() - m_arrived[call->id];
            m_arrived.erase(call->id);
            if (call->workspace != 1000) {
                m_result.wait[static_cast<int>(call->requestClass)].push_back(wait);
            }
            m_events.at(m_events.now() + call->cost * secondsPerToken, [this, id = call->id] {
                --m_running;
                m_queue.finish(now(), id);
                startAll();
            });
        }
    }

    Case m_case;
    std::mt19937 m_random;
    FairQueue m_queue;
    std::deque<QueuedCall> m_fifo;
    EventQueue m_events;
    std::map<std::uint64_t, double> m_arrived;
    std::uint32_t m_running = 0;
    std::uint64_t m_id = 0;
    Latencies m_result;
};

void add(Report &report, const std::string &name, const Case &c, unsigned seed, RequestClass shown)
{
    const Latencies result = Model(c, seed).run();
    const auto &wait = result.wait[static_cast<int>(shown)];
    const double offered = result.offered[static_cast<int>(shown)];
    report.add(name,
               {percentile(wait, 0.5) * 1000,
                percentile(wait, 0.95) * 1000,
                percentile(wait, 0.99) * 1000,
                result.refused[static_cast<int>(shown)] / offered,
                offered});
}

} // namespace

int main(int argc, char **argv)
{
    const unsigned seed = seedArgument(argc, argv);
    const std::vector<std::string> columns{"wait_p50_ms", "wait_p95_ms", "wait_p99_ms", "refused", "calls"};
    {
        Report report("small workspaces beside one flood", columns);
        const auto small = RequestClass::Interactive;
        add(report, "fair queue, no flood", {Policy::Fair, 0.4, 0}, seed, small);
        add(report, "fair queue, flood of 2 x capacity", {Policy::Fair, 0.4, 2}, seed, small);
        add(report, "one FIFO, no flood", {Policy::Fifo, 0.4, 0}, seed, small);
        add(report, "one FIFO, flood of 2 x capacity", {Policy::Fifo, 0.4, 2}, seed, small);
        add(report, "one FIFO, flood limited to 0.5 capacity", {Policy::Fifo, 0.4, 2, 0, 0, 0.5}, seed, small);
        add(report, "fair queue, flood limited to 0.5 capacity", {Policy::Fair, 0.4, 2, 0, 0, 0.5}, seed, small);
    }
    Report report("urgent calls at full load", columns);
    const auto urgent = RequestClass::Urgent;
    add(report, "fair queue, urgent alone", {Policy::Fair, 0, 0, 0, 5}, seed, urgent);
    add(report, "fair queue, full load", {Policy::Fair, 0.8, 1, 1, 5}, seed, urgent);
    add(report, "one FIFO, urgent alone", {Policy::Fifo, 0, 0, 0, 5}, seed, urgent);
    add(report, "one FIFO, full load", {Policy::Fifo, 0.8, 1, 1, 5}, seed, urgent);
}

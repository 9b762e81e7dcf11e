// A request crashes the replicas that run it in the middle of a stream that has neither a length nor chunks.
// Usage: crash_unframed RECORD FOLDER

#include "standin.h"

namespace {

using namespace standin;

constexpr int gatewayCount = 3;
constexpr int replicaCount = 6;
constexpr std::int64_t contactMs = 3'000;
constexpr int eventsOfAnswer = 24;
constexpr int eventsBeforeCrash = 4;
constexpr std::int64_t eventGapMs = 20;
constexpr std::int64_t backAfterMs = 2'500; ///< From the end of a replica to its next start.
constexpr std::int64_t copyGapMs = 2'000; ///< Between two copies of the request.
constexpr int copies = 20;
constexpr int allowed = 3;
const std::string crashingBody = "crash";

const std::string config
    = R"({"version":7,"routes":[{"name":"memo","host":"ficu95.example","prefix":"/memo/","kind":"stream",)"
      R"("timeout_ms":8000,"target_latency_ms":500,"target_gap_ms":120,"priority":1,"service":"assist-llm",)"
      R"("max_attempts":2,"resume_streams":true,"sticky_sessions":true}],)"
      R"("services":[{"name":"assist-llm","health_path":"/health","max_conns":258}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
      R"("tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"]}]})";

/** What the check needs to know; times in ms. */
struct Facts
{
    std::mutex mutex;
    std::int64_t touchAt = 0; ///< From then on all gateways are in touch.
    std::vector<std::int64_t> crashes;
    int arrivals = 0;
    int tooLate = 0;
};

/** A replica that ends under the crashing request, and is back after some seconds. */
class Replica
{
public:
    Replica(int n, bool isFramed, Store &store, Facts &facts, Record &record)
        : m_id("i-7f3a920" + std::to_string(n))
        , m_isFramed(isFramed)
        , m_store(store)
        , m_facts(facts)
        , m_record(record)
    {
        start();
    }

private:
    void start()
    {
        auto server = std::make_unique<Server>("127.0.0.1", m_port, [this](int fd) {
            serve(fd);
        });
        m_port = server->port();
        const std::lock_guard lock(m_mutex);
        m_servers.push_back(std::move(server));
        m_hasEnded = false;
        m_store.put("servers/" + m_id, replicaEntry("assist-llm", m_servers.back()->address(), "ready", ++m_born));
    }

    /** The process ends: nothing listens any more, and the kernel closes all connections. */
    void crash()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (std::exchange(m_hasEnded, true)) {
                return;
            }
            m_servers.back()->end();
        }
        {
            const std::lock_guard lock(m_facts.mutex);
            m_facts.crashes.push_back(nowMs());
            m_record.line(m_id + " has crashed, crash " + std::to_string(m_facts.crashes.size()));
        }
        std::thread([this] {
            sleepMs(backAfterMs);
            start();
            m_record.line(m_id + " is back");
        }).detach();
    }

    void onCrashing(const std::string &attempt)
    {
        const std::lock_guard lock(m_facts.mutex);
        const auto now = nowMs();
        const bool isLate
            = m_facts.crashes.size() >= 3 && now > m_facts.crashes[2] + contactMs && now > m_facts.touchAt;
        ++m_facts.arrivals;
        m_facts.tooLate += isLate ? 1 : 0;
        m_record.line(m_id + " runs the crashing request " + attempt + (isLate ? ": TOO LATE" : ""));
    }

    static std::string eventText(int n, bool isFramed)
    {
        auto event = "id: " + std::to_string(n) + "\ndata: token token token token\n\n";
        if (!isFramed) {
            return event;
        }
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        return size + event + "\r\n";
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request)) {
            const auto attempt = request.header("attempt-id");
            if (request.header("expect-replica") != m_id) {
                sendAll(fd, "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const bool isCrashing = request.body == crashingBody;
            const bool isFramed = m_isFramed || !isCrashing;
            if (isCrashing) {
                onCrashing(attempt);
            }
            std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: ";
            head.append(attempt).append("\r\nReplica-Signature: ").append(m_id).append(".").append(attempt);
            head.append("\r\n").append((isFramed ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n"));
            sendAll(fd, head);
            for (int n = std::atoi(request.header("last-event-id").c_str()) + 1, sent = 0; n <= eventsOfAnswer;
                 ++n, ++sent) {
                if (isCrashing && (sent == eventsBeforeCrash || n == eventsOfAnswer)) {
                    crash();
                    return;
                }
                sendAll(fd, eventText(n, isFramed));
                sleepMs(eventGapMs);
            }
            sendAll(fd, "0\r\n\r\n");
        }
    }

    std::string m_id;
    bool m_isFramed; ///< Whether the answers to the crashing request come in chunks, as all others do.
    Store &m_store;
    Facts &m_facts;
    Record &m_record;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<Server>> m_servers; ///< The last one is the present run.
    std::uint16_t m_port = 0;
    std::int64_t m_born = 1'700'000'000'000;
    bool m_hasEnded = false;
};

struct Outcome
{
    int status = 0; ///< 0 without an answer, or if it was broken off.
    int events = 0;
};

Outcome call(const Gateway &gateway, const std::string &body)
{
    static std::atomic<int> count = 0;
    const int fd = connectTo(gateway.ip(), gateway.port());
    if (fd < 0) {
        return {};
    }
    Reader reader(fd);
    Message answer;
    const auto text
        = "POST /memo/9 HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + std::to_string(1'000'000 + ++count)
          + "\r\nDeadline-Ms: 8000\r\nModel: m\r\nToken-Usage: 700,96\r\nApi-Key: n2ctnfzs989anu6wsjnb"
            "\r\nContent-Length: "
          + std::to_string(body.size()) + "\r\n\r\n" + body;
    Outcome outcome;
    if (sendAll(fd, text) && reader.read(answer)) {
        outcome.status = answer.status();
        for (std::size_t at = answer.body.find("id: "); at != std::string::npos;
             at = answer.body.find("id: ", at + 1)) {
            ++outcome.events;
        }
    }
    close(fd);
    return outcome;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        giveUp("usage: crash_unframed RECORD FOLDER");
    }
    Record record(argv[1]);
    Facts facts;
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    replicas.reserve(replicaCount);
    for (int n = 0; n < replicaCount; ++n) {
        replicas.push_back(std::make_unique<Replica>(n, !hasTrouble(), store, facts, record));
    }
    store.put("op/config", config);
    std::vector<std::unique_ptr<Gateway>> gateways;
    gateways.reserve(gatewayCount);
    std::string seeds;
    for (int n = 0; n < gatewayCount; ++n) {
        gateways.push_back(std::make_unique<Gateway>(argv[2], static_cast<std::uint32_t>(n + 1), store.address()));
        seeds += (n == 0 ? "" : ",") + gateways.back()->control();
    }
    for (const auto &it : gateways) {
        it->start(seeds);
    }
    for (const auto &it : gateways) {
        it->waitUntilReady();
    }
    facts.touchAt = nowMs() + contactMs;
    std::atomic<bool> isOver = false;
    std::atomic<int> whole = 0;
    std::atomic<int> others = 0;
    std::vector<std::thread> clients;
    clients.reserve(replicaCount);
    for (int n = 0; n < 2 * gatewayCount; ++n) {
        clients.emplace_back([&, n] {
            for (int k = 0; !isOver; ++k) {
                const auto outcome = call(*gateways[static_cast<std::size_t>(n % gatewayCount)],
                                          "sound " + std::to_string(n) + " " + std::to_string(k));
                ++(outcome.status == 200 && outcome.events == eventsOfAnswer ? whole : others);
                sleepMs(20);
            }
        });
    }
    sleepMs(contactMs + 500);
    int refusals = 0;
    for (int n = 0; n < copies; ++n) {
        const auto outcome = call(*gateways[static_cast<std::size_t>(n % gatewayCount)], crashingBody);
        refusals += outcome.status == 503 ? 1 : 0;
        record.line("copy " + std::to_string(n + 1) + " has status " + std::to_string(outcome.status) + " and "
                    + std::to_string(outcome.events) + " events");
        sleepMs(copyGapMs);
    }
    isOver = true;
    for (auto &it : clients) {
        it.join();
    }
    bool hasEnded = false;
    for (const auto &it : gateways) {
        hasEnded = hasEnded || it->hasEnded();
        it->end();
    }
    std::ostringstream result;
    {
        const std::lock_guard lock(facts.mutex);
        result << copies << " copies, " << refusals << " refused; replicas ran it " << facts.arrivals
               << " times and crashed " << facts.crashes.size() << " times, " << facts.tooLate
               << " runs came over 3 s after the third crash (allowed: " << allowed << "); of the other streams "
               << whole << " were whole and " << others << " were not"
               << (hasEnded ? "; a gateway ended by itself" : "");
        record.line(result.str());
    }
    std::cout << result.str() << std::endl;
    // Threads of the stand-ins still run.
    std::_Exit(facts.tooLate > allowed || hasEnded ? RuleBroken : RuleHeld);
}

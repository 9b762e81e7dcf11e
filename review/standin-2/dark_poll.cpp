// All replicas of a service are dark for some seconds while callers repeat the same sound request.
// Usage: dark_poll RECORD FOLDER

#include "standin.h"

namespace {

using namespace standin;

constexpr int gatewayCount = 3;
constexpr int replicaCount = 3;
constexpr std::int64_t workMs = 15;
constexpr std::int64_t darkMs = 4'500;
constexpr std::int64_t expiryMs = 3'600; ///< Three heartbeats, after which an entry is removed.
constexpr std::int64_t pollGapMs = 1'000; ///< Of each of three callers.
constexpr std::int64_t setGapMs = 600; ///< Of each of three callers.
constexpr std::int64_t settleMs = 8'000; ///< From the return of the replicas to the steady state that is judged.
constexpr std::int64_t judgedMs = 25'000;
constexpr int minRequests = 20;
const std::string service = "table-api";

std::string configOf(int version, bool hasPollRoute)
{
    const std::string first = R"({"name":"set","host":"ficu95.example","prefix":"/set/","kind":"unsafe",)"
                              R"("timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"table-api",)"
                              R"("max_attempts":2})";
    const std::string later = R"(,{"name":"poll","host":"ficu95.example","prefix":"/poll/","kind":"safe",)"
                              R"("timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"table-api",)"
                              R"("max_attempts":2})";
    return joined({R"({"version":)",
                   std::to_string(version),
                   R"(,"routes":[)",
                   first,
                   hasPollRoute ? later : "",
                   R"(],"services":[{"name":"table-api","health_path":"/health","max_conns":110}],)",
                   R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)",
                   R"("idle_timeout_ms":15000},)",
                   R"("tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"]}]})"});
}

/** A sound replica that can go dark: open connections stay silent, and opening packets are dropped. */
class Replica
{
public:
    Replica(int n, Store &store, Record &record)
        : m_n(n)
        , m_store(store)
        , m_record(record)
    {
        m_fd = listenOn("127.0.0.1", m_port);
        std::thread([this] {
            acceptAll();
        }).detach();
        start();
    }

    void goDark()
    {
        m_isDark = true;
        listen(m_fd, 0);
        // With a full queue of new connections, the kernel drops the opening packets of others.
        for (int n = 0; n < 4; ++n) {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            const auto end = endpointOf("127.0.0.1", m_port);
            // It does not complete at once, and need not.
            static_cast<void>(connect(fd, reinterpret_cast<const sockaddr *>(&end), sizeof end));
            m_fillers.push_back(fd);
        }
        m_record.line(id() + " is dark");
    }

    void expire()
    {
        m_store.remove("servers/" + id());
    }

    /** Starts again as a new run with a new id; its host resets the connections of the former one. */
    void comeBack()
    {
        ++m_run;
        {
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_open) {
                const linger option{1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
                shutdown(fd, SHUT_RDWR);
            }
        }
        for (const int fd : m_fillers) {
            closeWithReset(fd);
        }
        m_fillers.clear();
        listen(m_fd, 64);
        m_isDark = false;
        start();
        m_record.line(id() + " is back");
    }

private:
    std::string id() const
    {
        return joined({"i-7f3a93", std::to_string(m_run), std::to_string(m_n)});
    }

    void start()
    {
        m_store.put("servers/" + id(),
                    replicaEntry(service, "127.0.0.1:" + std::to_string(m_port), "ready", 1'700'000'000'000 + m_run));
    }

    void acceptAll()
    {
        while (true) {
            pollfd poller{m_fd, POLLIN, 0};
            if (m_isDark || poll(&poller, 1, 5) != 1 || m_isDark) {
                sleepMs(1);
                continue;
            }
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd] {
                serve(fd);
                const std::lock_guard lock(m_mutex);
                m_open.erase(fd);
                close(fd);
            }).detach();
        }
    }

    void serve(int fd)
    {
        const int run = m_run;
        Reader reader(fd);
        Message request;
        while (reader.read(request)) {
            sleepMs(workMs);
            while (m_isDark && run == m_run) {
                sleepMs(5);
            }
            if (run != m_run) {
                return;
            }
            const auto attempt = request.header("attempt-id");
            if (request.header("expect-replica") != id()) {
                sendAll(fd, "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            sendAll(fd,
                    joined({"HTTP/1.1 200 OK\r\nAttempt-Id: ",
                            attempt,
                            "\r\nReplica-Signature: ",
                            id(),
                            ".",
                            attempt,
                            "\r\nContent-Length: 4\r\n\r\ndone"}));
        }
    }

    int m_n;
    Store &m_store;
    Record &m_record;
    std::uint16_t m_port = 0;
    int m_fd = -1;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::vector<int> m_fillers;
    std::atomic<int> m_run = 0;
    std::atomic<bool> m_isDark = false;
};

struct Count
{
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
};

/** Sends the same request, or one with another body each time, on a kept connection. */
void runClient(const Gateway &gateway,
               const std::string &name,
               bool isPoll,
               const std::atomic<bool> &isOver,
               const std::atomic<bool> &isJudged,
               Count &count,
               Record &record)
{
    int fd = -1;
    for (int n = 0; !isOver; ++n) {
        if (fd < 0) {
            fd = connectTo(gateway.ip(), gateway.port());
        }
        const bool counts = isJudged;
        const auto attempt = joined({name, "f", std::to_string(100'000 + n)});
        const auto body = joined({"setpoint ", name, " ", std::to_string(n)});
        const auto text = joined({isPoll ? "GET /poll/abort" : "POST /set/table",
                                  " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: ",
                                  attempt,
                                  "\r\nDeadline-Ms: 1000\r\nApi-Key: n2ctnfzs989anu6wsjnb\r\n",
                                  isPoll ? "" : joined({"Content-Length: ", std::to_string(body.size()), "\r\n"}),
                                  "\r\n",
                                  isPoll ? "" : body});
        Reader reader(fd);
        Message answer;
        const bool isAnswered = fd >= 0 && sendAll(fd, text) && reader.read(answer);
        const int status = isAnswered ? answer.status() : 0;
        record.line(joined({attempt, isPoll ? " (poll)" : " (set)", " has status ", std::to_string(status)}));
        if (counts) {
            ++count.sent;
            count.served += status == 200 ? 1 : 0;
        }
        if (!isAnswered || answer.header("connection") == "close") {
            close(fd);
            fd = -1;
        }
        sleepMs(isPoll ? pollGapMs : setGapMs);
    }
    close(fd);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        giveUp("usage: dark_poll RECORD FOLDER");
    }
    Record record(argv[1]);
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    replicas.reserve(replicaCount);
    for (int n = 0; n < replicaCount; ++n) {
        replicas.push_back(std::make_unique<Replica>(n, store, record));
    }
    store.put("op/config", configOf(7, false));
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
    sleepMs(1'000);
    store.put("op/config", configOf(8, true));
    record.line("version 8 adds the route of the polls");
    sleepMs(2'500);
    std::atomic<bool> isOver = false;
    std::atomic<bool> isJudged = false;
    Count polls;
    Count sets;
    std::vector<std::thread> clients;
    clients.reserve(std::size_t{2} * gatewayCount);
    for (int n = 0; n < gatewayCount; ++n) {
        const auto &gateway = *gateways[static_cast<std::size_t>(n)];
        clients.emplace_back([&, n] {
            runClient(gateway, "a" + std::to_string(n), true, isOver, isJudged, polls, record);
        });
        clients.emplace_back([&, n] {
            runClient(gateway, "b" + std::to_string(n), false, isOver, isJudged, sets, record);
        });
        sleepMs(300);
    }
    sleepMs(5'000);
    const auto darkAt = nowMs();
    if (hasTrouble()) {
        for (const auto &it : replicas) {
            it->goDark();
        }
        sleepUntilMs(darkAt + expiryMs);
        for (const auto &it : replicas) {
            it->expire();
        }
        sleepUntilMs(darkAt + darkMs);
        for (const auto &it : replicas) {
            it->comeBack();
        }
    }
    sleepUntilMs(darkAt + darkMs + settleMs);
    isJudged = true;
    record.line("from here on the requests are judged");
    sleepMs(judgedMs);
    isOver = true;
    for (auto &it : clients) {
        it.join();
    }
    bool hasEnded = false;
    for (const auto &it : gateways) {
        hasEnded = hasEnded || it->hasEnded();
        it->end();
    }
    const auto share = [](const Count &it) {
        return it.sent == 0 ? 0.0 : static_cast<double>(it.served) / it.sent;
    };
    std::ostringstream result;
    result << "in steady state, from " << settleMs << " ms after the replicas were back: " << polls.served << " of "
           << polls.sent << " requests on the route that was added later served, " << sets.served << " of " << sets.sent
           << " on the first one" << (hasEnded ? "; a gateway ended by itself" : "");
    record.line(result.str());
    std::cout << result.str() << std::endl;
    if (sets.sent < minRequests || polls.sent < minRequests) {
        giveUp("too few requests");
    }
    // Threads of the stand-ins still run.
    std::_Exit(share(polls) < share(sets) / 4 || hasEnded ? RuleBroken : RuleHeld);
}

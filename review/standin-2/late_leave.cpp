// A replica leaves without a `draining` state while gateways are cut off from the store.
// Usage: late_leave RECORD FOLDER

#include "standin.h"

namespace {

using namespace standin;

constexpr int gatewayCount = 3;
constexpr int rounds = 5;
constexpr std::int64_t cutMs = 12'000; ///< node_cut, as on the site's days.
constexpr std::int64_t removedBeforeEndMs = 1'500;
constexpr std::int64_t contactMs = 3'000;
constexpr std::int64_t drainMs = 2'000;
constexpr std::int64_t slackMs = 20; ///< For the clocks of the threads of this program.
/** The gateway's TCP_USER_TIMEOUT ends its connections so long after the cut began. */
constexpr std::int64_t userTimeoutMs = 3'000;
constexpr std::int64_t requestGapMs = 4; ///< Of each client; one for each gateway.

const std::string config
    = R"({"version":7,"routes":[{"name":"abort","host":"ficu95.example","prefix":"/abort/","kind":"safe",)"
      R"("timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"table-api","max_attempts":2}],)"
      R"("services":[{"name":"table-api","health_path":"/health","max_conns":110}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
      R"("tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"]}]})";

/** The path of one gateway to the store. While it is cut, nothing is delivered, and opening packets are dropped. */
class Link
{
public:
    explicit Link(std::string store)
        : m_store(std::move(store))
    {
        open();
        std::thread([this] {
            acceptAll();
        }).detach();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

    void cut()
    {
        const std::lock_guard lock(m_mutex);
        m_isCut = true;
        // With a full queue of new connections, the kernel drops the opening packets of others.
        for (int n = 0; n < 4; ++n) {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            const auto end = endpointOf("127.0.0.1", m_port);
            // It does not complete at once, and need not.
            static_cast<void>(connect(fd, reinterpret_cast<const sockaddr *>(&end), sizeof end));
            m_fillers.push_back(fd);
        }
    }

    /** Ends the connections of before the cut, as the gateway's own time-out does. */
    void endConnections()
    {
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open) {
            const linger option{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
            shutdown(fd, SHUT_RDWR);
        }
    }

    void heal()
    {
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_fillers) {
            closeWithReset(fd);
        }
        m_fillers.clear();
        m_isCut = false;
    }

private:
    void open()
    {
        m_fd = listenOn("127.0.0.1", m_port);
        listen(m_fd, 0);
    }

    void acceptAll()
    {
        while (true) {
            pollfd poller{m_fd, POLLIN, 0};
            if (m_isCut || poll(&poller, 1, 5) != 1 || m_isCut) {
                sleepMs(1);
                continue;
            }
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const auto colon = m_store.rfind(':');
            const int up
                = connectTo(m_store.substr(0, colon), static_cast<std::uint16_t>(std::stoi(m_store.substr(colon + 1))));
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
                m_open.insert(up);
            }
            std::thread([this, fd, up] {
                forward(fd, up);
                const std::lock_guard lock(m_mutex);
                m_open.erase(fd);
                m_open.erase(up);
                close(fd);
                close(up);
            }).detach();
        }
    }

    void forward(int a, int b)
    {
        std::vector<char> buf(65'536);
        while (true) {
            pollfd pollers[] = {{a, POLLIN, 0}, {b, POLLIN, 0}};
            poll(pollers, 2, 20);
            for (const auto &it : pollers) {
                if (it.revents == 0) {
                    continue;
                }
                while (m_isCut && (it.revents & (POLLHUP | POLLERR)) == 0) {
                    sleepMs(2);
                    pollfd again{it.fd, 0, 0};
                    poll(&again, 1, 0);
                    if (again.revents != 0) {
                        return;
                    }
                }
                const auto n = recv(it.fd, buf.data(), buf.size(), 0);
                if (n <= 0 || !sendAll(it.fd == a ? b : a, {buf.data(), static_cast<std::size_t>(n)})) {
                    return;
                }
            }
        }
    }

    std::string m_store;
    std::uint16_t m_port = 0;
    int m_fd = -1;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::vector<int> m_fillers;
    std::atomic<bool> m_isCut = false;
};

/** What the check needs to know; times in ms. */
struct Facts
{
    std::mutex mutex;
    std::string leftReplica; ///< The replica that has left last.
    std::int64_t leftAt = 0; ///< When the store had accepted that.
    std::int64_t touchAt = 0; ///< From then on all gateways are in touch.
    int tooLate = 0;
    int runs = 0;
};

/** Attempt ids hold the time at which the client sent the request. */
std::string attemptId(int gateway, std::int64_t sentAt)
{
    char text[32];
    std::snprintf(text, sizeof text, "%02d%014lld", gateway, static_cast<long long>(sentAt));
    return text;
}

void serveReplica(int fd, const std::string &id, Facts &facts, Record &record)
{
    Reader reader(fd);
    Message request;
    while (reader.read(request)) {
        const auto attempt = request.header("attempt-id");
        if (request.header("expect-replica") != id) {
            sendAll(fd, "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        const auto arrivedAt = nowMs();
        const auto sentAt = std::atoll(attempt.substr(2).c_str());
        {
            const std::lock_guard lock(facts.mutex);
            ++facts.runs;
            const bool isLate = id == facts.leftReplica && facts.touchAt > 0 && sentAt > facts.touchAt + slackMs
                                && arrivedAt > facts.leftAt + drainMs;
            facts.tooLate += isLate ? 1 : 0;
            if (id == facts.leftReplica) {
                record.line(joined({id,
                                    " runs ",
                                    attempt,
                                    ", ",
                                    std::to_string(arrivedAt - facts.leftAt),
                                    " ms after it left the store",
                                    isLate ? ": TOO LATE, gateway in touch" : ""}));
            }
        }
        sleepMs(5);
        sendAll(fd,
                joined({"HTTP/1.1 200 OK\r\nAttempt-Id: ",
                        attempt,
                        "\r\nReplica-Signature: ",
                        id,
                        ".",
                        attempt,
                        "\r\nContent-Length: 4\r\n\r\ndone"}));
    }
}

void runClient(const Gateway &gateway, int n, const std::atomic<bool> &isOver)
{
    int fd = -1;
    while (!isOver) {
        if (fd < 0) {
            fd = connectTo(gateway.ip(), gateway.port());
        }
        Reader reader(fd);
        Message answer;
        const auto text = "GET /abort/7 HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + attemptId(n, nowMs())
                          + "\r\nDeadline-Ms: 1000\r\nApi-Key: n2ctnfzs989anu6wsjnb\r\n\r\n";
        if (fd < 0 || !sendAll(fd, text) || !reader.read(answer) || answer.header("connection") == "close") {
            close(fd);
            fd = -1;
        }
        sleepMs(requestGapMs);
    }
    close(fd);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        giveUp("usage: late_leave RECORD FOLDER");
    }
    Record record(argv[1]);
    Facts facts;
    Store store;
    std::vector<std::unique_ptr<Server>> replicas;
    const auto addReplica = [&] {
        auto id = "i-7f3a91d" + std::to_string(replicas.size());
        replicas.push_back(std::make_unique<Server>("127.0.0.1", 0, [id, &facts, &record](int fd) {
            serveReplica(fd, id, facts, record);
        }));
        store.put("servers/" + id, replicaEntry("table-api", replicas.back()->address(), "ready", 1'700'000'000'000));
        return id;
    };
    std::vector<std::string> live{addReplica(), addReplica(), addReplica()};
    store.put("op/config", config);
    std::vector<std::unique_ptr<Link>> links;
    std::vector<std::unique_ptr<Gateway>> gateways;
    links.reserve(gatewayCount);
    gateways.reserve(gatewayCount);
    std::string seeds;
    for (int n = 0; n < gatewayCount; ++n) {
        links.push_back(std::make_unique<Link>(store.address()));
        gateways.push_back(
            std::make_unique<Gateway>(argv[2], static_cast<std::uint32_t>(n + 1), links.back()->address()));
        seeds += (n == 0 ? "" : ",") + gateways.back()->control();
    }
    for (const auto &it : gateways) {
        it->start(seeds);
    }
    for (const auto &it : gateways) {
        it->waitUntilReady();
    }
    std::atomic<bool> isOver = false;
    std::vector<std::thread> clients;
    clients.reserve(gatewayCount);
    for (int n = 0; n < gatewayCount; ++n) {
        clients.emplace_back([&, n] {
            runClient(*gateways[static_cast<std::size_t>(n)], n, isOver);
        });
    }
    sleepMs(contactMs);
    for (int round = 0; round < rounds; ++round) {
        const auto begin = nowMs();
        const auto end = begin + cutMs;
        if (hasTrouble()) {
            record.line("the gateways are cut off from the store");
            for (const auto &it : links) {
                it->cut();
            }
            sleepUntilMs(begin + userTimeoutMs);
            for (const auto &it : links) {
                it->endConnections();
            }
        }
        sleepUntilMs(end - removedBeforeEndMs);
        const auto left = live.front();
        live.erase(live.begin());
        {
            const std::lock_guard lock(facts.mutex);
            facts.leftReplica = left;
            facts.touchAt = 0;
        }
        store.remove("servers/" + left);
        {
            const std::lock_guard lock(facts.mutex);
            facts.leftAt = nowMs();
        }
        record.line(left + " leaves: its entry is removed, it goes on serving");
        sleepUntilMs(end);
        if (hasTrouble()) {
            for (const auto &it : links) {
                it->heal();
            }
        }
        {
            const std::lock_guard lock(facts.mutex);
            facts.touchAt = nowMs() + contactMs;
        }
        record.line("the cut has ended");
        live.push_back(addReplica());
        sleepMs(contactMs + 2'500);
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
        result << facts.runs << " runs; " << facts.tooLate
               << " requests of gateways in touch reached a replica over 2 s after it had left the store"
               << (hasEnded ? "; a gateway ended by itself" : "");
    }
    record.line(result.str());
    std::cout << result.str() << std::endl;
    std::_Exit(facts.tooLate > 0 || hasEnded ? RuleBroken : RuleHeld); // Threads of the stand-ins still run.
}

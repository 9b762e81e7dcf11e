// Clients read a large answer of a safe route slowly, well inside their deadline.
// Usage: slow_reader RECORD FOLDER

#include "standin.h"

namespace {

using namespace standin;

constexpr std::size_t answerBytes = 2'000'000;
constexpr int clients = 8;
constexpr std::size_t allowed = 3; ///< LOST: more than three times.
/** About 0.5 MB a second: 4 Mbit/s. The whole answer takes 4 s of the 8 s that the clients wait. */
constexpr std::size_t paceBytes = 12'288;
constexpr milliseconds pacePause{24};

const std::string config
    = R"({"version":7,"routes":[{"name":"log","host":"ficu95.example","prefix":"/log/","kind":"safe",)"
      R"("timeout_ms":8000,"target_latency_ms":100,"priority":2,"service":"table-api","max_attempts":2}],)"
      R"("services":[{"name":"table-api","health_path":"/health","max_conns":110}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
      R"("tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"]}]})";

/** A sound replica: answers each request at once and completely. */
void serveReplica(int fd, const std::string &id, Record &record)
{
    Reader reader(fd);
    Message request;
    while (reader.read(request)) {
        const auto attempt = request.header("attempt-id");
        const bool isOther = request.header("expect-replica") != id;
        record.line(joined({id, isOther ? " refuses " : " runs ", attempt}));
        const std::string body(request.target() == "/log/large" ? answerBytes : 800, 'x');
        const auto head = isOther ? "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                                  : joined({"HTTP/1.1 200 OK\r\nAttempt-Id: ",
                                            attempt,
                                            "\r\nReplica-Signature: ",
                                            id,
                                            ".",
                                            attempt,
                                            "\r\nContent-Length: ",
                                            std::to_string(body.size()),
                                            "\r\n\r\n"});
        const bool isSent = sendAll(fd, head) && (isOther || sendAll(fd, body));
        record.line(
            joined({id, isSent ? " has sent the whole answer to " : " could not send the whole answer to ", attempt}));
        if (!isSent) {
            return;
        }
    }
}

std::string requestText(const std::string &path, const std::string &attempt)
{
    return joined({"GET ",
                   path,
                   " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: ",
                   attempt,
                   "\r\nDeadline-Ms: 8000\r\nApi-Key: n2ctnfzs989anu6wsjnb\r\n\r\n"});
}

struct Outcome
{
    bool isComplete = false;
    bool isClosed = false;
};

/** A client with a kept connection on which a small request has been answered. */
struct Client
{
    std::string name;
    std::string id;
    int fd = -1;
    std::unique_ptr<Reader> reader;
};

Client connectClient(const Gateway &gateway, int n, Record &record)
{
    Client client{"client-" + std::to_string(n), "00" + std::to_string(n) + "d07be2a35f6", -1, nullptr};
    client.fd = connectTo(gateway.ip(), gateway.port(), {16'384, 1'460});
    client.reader = std::make_unique<Reader>(client.fd);
    Message answer;
    if (client.fd < 0 || !sendAll(client.fd, requestText("/log/small", client.id + "0")) || !client.reader->read(answer)
        || answer.status() != 200) {
        giveUp("a small request was not answered");
    }
    record.line(client.name + " has the answer to its small request");
    return client;
}

Outcome readLarge(Client &client, bool isSlow, Record &record)
{
    if (isSlow) {
        client.reader->setPace(paceBytes, pacePause);
    }
    const auto sentAt = nowMs();
    record.line(client.name + " sends " + client.id + "1 on its kept connection");
    sendAll(client.fd, requestText("/log/large", client.id + "1"));
    Message answer;
    Outcome outcome;
    const bool isRead = client.reader->read(answer);
    outcome.isComplete = isRead && answer.status() == 200 && answer.body.size() == answerBytes;
    outcome.isClosed = !isRead;
    record.line(client.name + " after " + std::to_string(nowMs() - sentAt) + " ms: "
                + (outcome.isComplete ? "whole answer"
                   : isRead           ? "status " + std::to_string(answer.status())
                                      : "the connection was closed without the whole answer"));
    close(client.fd);
    return outcome;
}

/** Another client, which reads at once. Only reported: no rule is checked on it. */
void callMeanwhile(const Gateway &gateway, const std::atomic<bool> &isOver, Record &record)
{
    const int fd = connectTo(gateway.ip(), gateway.port());
    Reader reader(fd);
    for (int n = 0; !isOver; ++n) {
        const auto sentAt = nowMs();
        const auto id = "ee" + std::to_string(1'000 + n) + "b07be2a35f";
        Message answer;
        if (!sendAll(fd, requestText("/log/small", id)) || !reader.read(answer)) {
            record.line("other client: connection closed");
            break;
        }
        record.line("other client: " + id + " has status " + std::to_string(answer.status()) + " after "
                    + std::to_string(nowMs() - sentAt) + " ms");
        sleepMs(100);
    }
    close(fd);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        giveUp("usage: slow_reader RECORD FOLDER");
    }
    Record record(argv[1]);
    Store store;
    std::vector<std::unique_ptr<Server>> replicas;
    for (int n = 1; n <= 3; ++n) {
        const auto id = "i-7f3a91c" + std::to_string(n);
        replicas.push_back(std::make_unique<Server>("127.0.0.1", 0, [id, &record](int fd) {
            serveReplica(fd, id, record);
        }));
        store.put("servers/" + id, replicaEntry("table-api", replicas.back()->address(), "ready", 1'700'000'000'000));
    }
    store.put("op/config", config);
    Gateway gateway(argv[2], 1, store.address());
    gateway.start(gateway.control());
    gateway.waitUntilReady();
    sleepMs(4'000); // The gateway is in touch.
    std::vector<Client> all;
    all.reserve(clients);
    for (int n = 0; n < clients; ++n) {
        all.push_back(connectClient(gateway, n, record));
    }
    std::atomic<bool> isOver = false;
    std::thread other([&] {
        callMeanwhile(gateway, isOver, record);
    });
    std::vector<std::thread> threads;
    std::vector<Outcome> outcomes(clients);
    for (int n = 0; n < clients; ++n) {
        threads.emplace_back([&, n] {
            outcomes[static_cast<std::size_t>(n)] = readLarge(all[static_cast<std::size_t>(n)], hasTrouble(), record);
        });
        sleepMs(300);
    }
    for (auto &it : threads) {
        it.join();
    }
    isOver = true;
    other.join();
    const bool hasEnded = gateway.hasEnded();
    gateway.end();
    const auto complete = std::count_if(outcomes.begin(), outcomes.end(), [](const Outcome &it) {
        return it.isComplete;
    });
    const auto closed = static_cast<std::size_t>(std::count_if(outcomes.begin(), outcomes.end(), [](const Outcome &it) {
        return it.isClosed;
    }));
    std::ostringstream result;
    result << "of " << clients << " requests: " << complete << " whole answers, " << closed
           << " kept connections closed without the whole answer (allowed: " << allowed << ")"
           << (hasEnded ? "; the gateway ended by itself" : "");
    record.line(result.str());
    std::cout << result.str() << "\n";
    std::cout.flush();
    std::_Exit(closed > allowed || hasEnded ? RuleBroken : RuleHeld); // Threads of the stand-ins still run.
}

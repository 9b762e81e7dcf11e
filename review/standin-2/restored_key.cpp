// A gateway is restarted as planned while the store has just come back from a copy that still has a removed key.
// Usage: restored_key RECORD FOLDER

#include "standin.h"

namespace {

using namespace standin;

constexpr std::int64_t revokeMs = 5'000;
constexpr std::int64_t awayMs = 1'000;
/** Time from the store's return until the operator writes the lost configuration again. */
constexpr std::int64_t rewriteMs = 1'500;
const std::string removedKey = "n2ctnfzs989anu6wsjnb";
const std::string otherKey = "q7pw0d1kz3e8m5tr4xvy";

std::string configOf(int version, const std::string &keys)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[{"name":"abort","host":"ficu95.example","prefix":"/abort/","kind":"safe",)"
             R"("timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"table-api","max_attempts":2}],)"
             R"("services":[{"name":"table-api","health_path":"/health","max_conns":110}],)"
             R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
             R"("idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":[)"
           + keys + "]}]}";
}

void serveReplica(int fd, const std::string &id, Record &record)
{
    Reader reader(fd);
    Message request;
    while (reader.read(request)) {
        const auto attempt = request.header("attempt-id");
        if (request.header("expect-replica") != id) {
            sendAll(fd, "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        record.line(id + " runs " + attempt + " of tenant " + request.header("tenant"));
        sendAll(fd,
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nReplica-Signature: " + id + "." + attempt
                    + "\r\nContent-Length: 4\r\n\r\ndone");
    }
}

/** Returns the status of a request with @p key; 0 without an answer. */
int call(const Gateway &gateway, const std::string &key)
{
    static std::atomic<int> count = 0;
    const int fd = connectTo(gateway.ip(), gateway.port());
    if (fd < 0) {
        return 0;
    }
    Reader reader(fd);
    Message answer;
    const auto text = "GET /abort/7 HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: "
                      + std::to_string(1'000'000 + ++count) + "\r\nDeadline-Ms: 1000\r\nApi-Key: " + key + "\r\n\r\n";
    const bool isAnswered = sendAll(fd, text) && reader.read(answer);
    close(fd);
    return isAnswered ? answer.status() : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        giveUp("usage: restored_key RECORD FOLDER");
    }
    Record record(argv[1]);
    Store store;
    std::vector<std::unique_ptr<Server>> replicas;
    for (int n = 1; n <= 3; ++n) {
        const auto id = "i-7f3a91e" + std::to_string(n);
        replicas.push_back(std::make_unique<Server>("127.0.0.1", 0, [id, &record](int fd) {
            serveReplica(fd, id, record);
        }));
        store.put("servers/" + id, replicaEntry("table-api", replicas.back()->address(), "ready", 1'700'000'000'000));
    }
    const auto both = "\"" + removedKey + "\",\"" + otherKey + "\"";
    const auto one = "\"" + otherKey + "\"";
    store.put("op/config", configOf(7, both));
    Gateway first(argv[2], 1, store.address());
    Gateway second(argv[2], 2, store.address());
    const auto seeds = first.control() + "," + second.control();
    first.start(seeds);
    second.start(seeds);
    first.waitUntilReady();
    second.waitUntilReady();
    if (call(first, removedKey) != 200 || call(second, removedKey) != 200) {
        giveUp("a request with a valid key was not served");
    }
    sleepMs(2'000);
    const auto copy = store.copy();
    sleepMs(500);
    store.put("op/config", configOf(8, one));
    const auto removedAt = nowMs();
    record.line("version 8, without the key " + removedKey + ", is acknowledged");
    sleepUntilMs(removedAt + 3'000);
    if (call(first, removedKey) != 401 || call(second, removedKey) != 401) {
        giveUp("the removed key is not refused before the drill");
    }
    const auto backAt = removedAt + 6'500;
    sleepUntilMs(backAt - 2'800);
    record.line("the second gateway gets SIGTERM");
    second.signal(SIGTERM);
    sleepUntilMs(backAt - awayMs);
    if (hasTrouble()) {
        store.setAway(true);
        record.line("the store is away");
    }
    sleepUntilMs(backAt);
    if (hasTrouble()) {
        store.restore(copy);
        store.setAway(false);
        record.line("the store is back from a copy that is " + std::to_string(nowMs() - removedAt + 500) + " ms old");
    }
    while (!second.hasEnded() && nowMs() < backAt + 500) {
        sleepMs(5);
    }
    if (!second.hasEnded()) {
        giveUp("the second gateway did not stop in time");
    }
    second.start(seeds);
    record.line("the second gateway starts again");
    int runs = 0;
    int tries = 0;
    bool isRewritten = false;
    while (nowMs() < backAt + 5'000) {
        if (!isRewritten && nowMs() >= backAt + rewriteMs) {
            isRewritten = true;
            if (hasTrouble()) {
                store.put("op/config", configOf(8, one));
                record.line("the operator has written version 8 again");
            }
        }
        const auto sentAt = nowMs();
        for (const auto *gateway : {&first, &second}) {
            const int status = call(*gateway, removedKey);
            const bool isLate = sentAt > removedAt + revokeMs;
            tries += status == 0 ? 0 : 1;
            runs += status == 200 && isLate ? 1 : 0;
            if (status != 0) {
                record.line("the removed key at the " + std::string(gateway == &first ? "first" : "second")
                            + " gateway, " + std::to_string(sentAt - removedAt) + " ms after its removal: status "
                            + std::to_string(status));
            }
        }
        sleepMs(50);
    }
    const bool hasEnded = first.hasEnded() || second.hasEnded();
    const int valid = call(second, otherKey);
    first.end();
    second.end();
    if (valid != 200) {
        giveUp("the second gateway does not serve the other key at the end");
    }
    std::ostringstream result;
    result << runs << " of " << tries << " requests with the removed key ran, sent over 5 s after its removal"
           << (hasEnded ? "; a gateway ended by itself" : "");
    record.line(result.str());
    std::cout << result.str() << std::endl;
    std::_Exit(runs > 0 || hasEnded ? RuleBroken : RuleHeld); // Threads of the stand-ins still run.
}

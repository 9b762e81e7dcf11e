#include "../standin/replica.h"

using namespace standin;

namespace {

/** A replica ends this long after it has got a request with the crashing part: as it begins to write the answer. */
constexpr double crashTime = 0.08;
/** A crashed replica is back after this time. */
constexpr double downTime = 2.5;
constexpr double contactTime = 3.0;
constexpr int maxRequests = 3;
constexpr int sessionCount = 15;
/** From one session to the next. */
constexpr double sessionTime = 4.0;
const char *const crashingPart = "0badbad0";

std::mutex mutex; // NOLINT
std::vector<Run> arrivals; // NOLINT
std::vector<double> crashes; // NOLINT

/** A prompt of three parts: instructions, a document, and what belongs to this request alone. */
std::string promptOf(const std::string &instructions, const std::string &document)
{
    return "Model: m\r\nToken-Usage: 700,80\r\nPrompt-Prefix: " + instructions + ":800," + document + ":410,"
           + newId().substr(0, 8) + ":250\r\n";
}

std::string documentOf(int n)
{
    char text[16];
    std::snprintf(text, sizeof text, "%08x", 0x5c1e0000 + n);
    return text;
}

} // namespace

int main(int, char **argv)
{
    record.open(argv[1]);
    Store store(loopback(1));
    store.put("op/config",
              configText(1,
                         routeText("r-1",
                                   "/memo/",
                                   "stream",
                                   8000,
                                   500,
                                   "svc",
                                   2,
                                   ",\"sticky_sessions\":true,\"resume_streams\":true,\"target_gap_ms\":120"),
                         "svc",
                         "\"key-1\""));
    std::atomic<bool> isOver = false;
    const auto work = [&](Replica &replica, Peer &peer, const Message &request) {
        const bool hasPart = request.header("prompt-prefix").rfind(crashingPart, 0) == 0;
        if (!hasPart || !hasTrouble()) {
            sleepFor(0.1);
            return replica.stream(peer, request, 10, 0.03);
        }
        {
            const std::lock_guard lock(mutex);
            arrivals.push_back({replica.id(), request.header("attempt-id"), request.header("prompt-prefix"), now()});
        }
        record.line("%s begins a request with the crashing part: %s",
                    replica.id().c_str(),
                    request.header("prompt-prefix").c_str());
        sleepFor(crashTime);
        replica.crash();
        {
            const std::lock_guard lock(mutex);
            crashes.push_back(now());
        }
        sleepFor(downTime);
        if (!isOver) {
            replica.start();
        }
        return false;
    };
    std::vector<std::unique_ptr<Replica>> replicas;
    replicas.reserve(6);
    const char *const zones[] = {"hall-a", "hall-b", "hall-c"};
    for (int n = 0; n < 6; ++n) {
        replicas.push_back(std::make_unique<Replica>(
            store, "i-" + std::to_string(n + 1), "svc", zones[n % 3], loopback(11 + n), work));
    }
    auto gateways = startGateways(3, 31, [&](std::size_t) {
        return store.address();
    });
    sleepFor(2); // The gateways get to know each other.
    record.line("start; trouble %d", hasTrouble() ? 1 : 0);
    const auto begin = now();
    const auto sendPrompt = [&](std::size_t gateway, const std::string &instructions, const std::string &document) {
        const auto &it = *gateways[gateway % gateways.size()];
        Call call;
        call.ip = it.ip();
        call.port = it.port();
        call.path = "/memo/1";
        call.key = "key-1";
        call.body = newId();
        call.moreHeaders = promptOf(instructions, document);
        return send(call);
    };
    std::atomic<int> otherServed = 0;
    std::atomic<int> otherFailed = 0;
    int sameServed = 0;
    int sameRefused = 0;
    std::vector<std::thread> clients;
    // Sound requests with other documents, all the time.
    clients.emplace_back([&] {
        for (int n = 0; now() < begin + sessionCount * sessionTime; ++n) {
            const auto answer = sendPrompt(static_cast<std::size_t>(n), "5a5a5a5a", documentOf(1000 + n % 20));
            ++(answer.status == 200 && answer.isComplete ? otherServed : otherFailed);
            sleepFor(0.1);
        }
    });
    clients.emplace_back([&] {
        for (int n = 0; n < sessionCount; ++n) {
            sleepUntil(begin + n * sessionTime);
            // With the crashing part, on a document that nobody has asked about yet. The client asks a second time. Without
            // trouble, the part crashes nothing.
            for (std::size_t i = 0; i < 2; ++i) {
                const auto answer = sendPrompt(static_cast<std::size_t>(n) + i, crashingPart, documentOf(n));
                record.line("client: status %d for a request with the crashing part, document %s",
                            answer.status,
                            documentOf(n).c_str());
                sleepFor(0.5);
            }
            // A sound one on the same document, somewhat later.
            sleepFor(1.5);
            const auto answer = sendPrompt(static_cast<std::size_t>(n), "5a5a5a5a", documentOf(n));
            const bool isServed = answer.status == 200 && answer.isComplete;
            ++(isServed ? sameServed : sameRefused);
            if (!isServed) {
                record.line("client: status %d for a sound request, document %s", answer.status, documentOf(n).c_str());
            }
        }
    });
    for (auto &it : clients) {
        it.join();
    }
    isOver = true;
    int late = 0;
    {
        const std::lock_guard lock(mutex);
        const double from = crashes.size() >= 5 ? crashes[4] + contactTime : 1e9;
        for (const auto &it : arrivals) {
            late += it.at > from ? 1 : 0;
        }
        record.line(
            "requests with the crashing part reached replicas %zu times and crashed them %zu times; %d later than "
            "contact_ms after the fifth crash (allowed: %d)",
            arrivals.size(),
            crashes.size(),
            late,
            maxRequests);
    }
    record.line("sound requests on the same documents: %d served, %d not; on other documents: %d served, %d not",
                sameServed,
                sameRefused,
                otherServed.load(),
                otherFailed.load());
    finish(late > maxRequests, [&] {
        for (auto &it : gateways) {
            it->program().kill();
        }
    });
}

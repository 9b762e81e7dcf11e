#pragma once

#include "stand_in.h"

#include <utility>

namespace standin {

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/** A request that a replica began to run. */
struct Run
{
    std::string replica;
    std::string id; ///< Attempt-Id.
    std::string key; ///< Name that the test gives to the request, from the body.
    double at = 0;
};

/** Replica of a plain service. Runs each request for some time, echoes its id and signs its answer. */
class Replica
{
public:
    /** Decides what to do with a request that has begun; returns false if it has ended without an answer. */
    using Work = std::function<bool(Replica &replica, Peer &peer, const Message &request)>;

    Replica(Store &store,
            std::string id,
            std::string service,
            std::string zone,
            const std::string &ip,
            Work work,
            double rate = 0)
        : m_store(store)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_work(std::move(work))
        , m_server(ip, [this](Peer &peer, const Message &request) {
            handle(peer, request);
        })
    {
        m_server.setRate(rate);
        m_server.onHead([this](const Message &head) {
            if (!head.header("attempt-id").empty()) {
                const std::lock_guard lock(m_mutex);
                m_arrived.insert(head.header("attempt-id"));
            }
        });
        start();
    }

    /** Starts the replica, under the same id and with a later start time. */
    void start()
    {
        m_born = unixMs();
        m_isLeaving = false;
        m_server.start();
        announce("ready");
    }

    /** Ends like a process that crashes; tells nobody. */
    void crash()
    {
        m_server.stop();
    }

    /** Writes its state to the store. */
    void announce(const std::string &state)
    {
        m_store.put("servers/" + m_id,
                    "{\"service\":\"" + m_service + "\",\"address\":\"" + m_server.address() + "\",\"zone\":\"" + m_zone
                        + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state
                        + "\",\"cold_left_ms\":0,\"sequence\":1,\"born\":" + std::to_string(m_born) + "}");
    }

    /** Says from now on in all answers that it leaves, and reports it. Returns when the store has acknowledged that. */
    double drain()
    {
        m_isLeaving = true;
        announce("draining");
        return now();
    }

    /** Ends after it has drained: its entry is removed. */
    void leave()
    {
        m_server.stop();
        m_store.remove("servers/" + m_id);
    }

    /** Answers with success. */
    bool answer(Peer &peer, const Message &request, const std::string &body) const
    {
        return peer.send(responseText(200, headersFor(request), body));
    }

    /** Answers with a stream of @p count events, one each @p gap seconds. */
    bool stream(Peer &peer, const Message &request, int count, double gap) const
    {
        const auto last = std::strtol(request.header("last-event-id").c_str(), nullptr, 10);
        if (!peer.send("HTTP/1.1 200 OK\r\n" + headersFor(request)
                       + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        for (int n = static_cast<int>(last) + 1; n <= count; ++n) {
            const auto event = "id: " + std::to_string(n) + "\ndata: " + m_id + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!peer.send(size + event + "\r\n")) {
                return false;
            }
            sleepFor(gap);
        }
        return peer.send("0\r\n\r\n");
    }

    /** Whether a request has arrived here, whole or in part. */
    bool hasArrived(const std::string &attemptId)
    {
        const std::lock_guard lock(m_mutex);
        return m_arrived.count(attemptId) != 0;
    }

    const std::string &id() const
    {
        return m_id;
    }

    bool isLeaving() const
    {
        return m_isLeaving;
    }

private:
    std::string headersFor(const Message &request) const
    {
        return "Attempt-Id: " + request.header("attempt-id") + "\r\nReplica-Signature: " + m_id + "."
               + request.header("attempt-id") + "\r\nReplica-Load: 1,0,6\r\n"
               + (m_isLeaving ? "Server-Leaving: 1\r\n" : "");
    }

    void handle(Peer &peer, const Message &request)
    {
        if (request.method == "GET" && request.target == "/health") {
            peer.send(responseText(m_isLeaving ? 503 : 200, "Replica-Id: " + m_id + "\r\n", ""));
            return;
        }
        const auto expected = request.header("expect-replica");
        if (!expected.empty() && expected != m_id) {
            peer.send(responseText(421, "Replica-Id: " + m_id + "\r\n", ""));
            return;
        }
        if (!m_work(*this, peer, request)) {
            peer.reset();
        }
    }

    Store &m_store;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::int64_t m_born = 0;
    std::atomic<bool> m_isLeaving = false;
    std::mutex m_mutex;
    std::set<std::string> m_arrived;
    Work m_work;
    Server m_server;
};

/** One route of a configuration. */
inline std::string routeText(const std::string &name,
                             const std::string &prefix,
                             const std::string &kind,
                             int timeoutMs,
                             int targetMs,
                             const std::string &service,
                             int attempts,
                             const std::string &more = "")
{
    return "{\"name\":\"" + name + "\",\"host\":\"front.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
           + "\",\"timeout_ms\":" + std::to_string(timeoutMs) + ",\"target_latency_ms\":" + std::to_string(targetMs)
           + ",\"priority\":2,\"service\":\"" + service + "\",\"max_attempts\":" + std::to_string(attempts)
           + ",\"allow_anonymous\":false" + more + "}";
}

/** A whole configuration; @p keys: of the one tenant, separated by commas and in quotes. */
inline std::string
configText(int version, const std::string &routes, const std::string &service, const std::string &keys)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\""
           + service
           + "\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
             "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":"
             "8000},"
             "\"tenants\":[{\"name\":\"t1\",\"api_keys\":["
           + keys + "]}]}";
}

} // namespace standin

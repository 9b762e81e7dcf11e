#pragma once

#include "replica.h"

namespace standin {

/** Experts of each rank, by set of layers. */
using Map = std::vector<std::vector<std::vector<int>>>;

/** Parses the lists of a prepare order: [[[...],...],...]. */
inline Map parseMap(const std::string &text)
{
    Map map;
    int depth = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '[') {
            ++depth;
            if (depth == 2) {
                map.emplace_back();
            } else if (depth == 3) {
                map.back().emplace_back();
            }
        } else if (c == ']') {
            if (--depth == 0) {
                return map;
            }
        } else if (std::isdigit(static_cast<unsigned char>(c)) != 0) {
            char *end = nullptr;
            map.back().back().push_back(static_cast<int>(std::strtol(text.c_str() + i, &end, 10)));
            i = static_cast<std::size_t>(end - text.c_str()) - 1;
        }
    }
    return map;
}

/** Number behind "NAME": in a flat JSON text; -1 if there is none. */
inline long long numberOf(const std::string &json, const std::string &name)
{
    const auto at = json.find("\"" + name + "\":");
    return at == std::string::npos ? -1 : std::strtoll(json.c_str() + at + name.size() + 3, nullptr, 10);
}

/** A group of ranks that advance in lock-step, and what each rank does with orders. */
class Group
{
public:
    struct Layout
    {
        int ranks = 12;
        int sets = 4;
        int experts = 72;
        int places = 8;
        int spare = 3;
    };

    /** Called with each order before it is carried out; returns true if the order gets no answer. */
    using OrderHook = std::function<bool(int rank, const Message &order)>;
    /** Bytes to send late on the connection of the present request, before the answer to it. */
    using ExtraHook = std::function<std::string(int rank, const Message &request, const std::string &lastAnswer)>;

    Group(Store &store, Layout layout, const std::function<std::string(int)> &ipOf)
        : m_store(store)
        , m_layout(layout)
        , m_ranks(static_cast<std::size_t>(layout.ranks))
    {
        const Map initial = [&] {
            Map map(static_cast<std::size_t>(layout.sets), std::vector<std::vector<int>>(m_ranks.size()));
            for (auto &set : map) {
                for (int e = 0; e < layout.experts; ++e) {
                    set[static_cast<std::size_t>(e % layout.ranks)].push_back(e);
                }
            }
            return map;
        }();
        int port = 0;
        for (int r = 0; r < layout.ranks; ++r) {
            auto &rank = m_ranks[static_cast<std::size_t>(r)];
            rank.map = initial;
            rank.counts.assign(static_cast<std::size_t>(layout.sets * layout.experts), 0);
            rank.server = std::make_unique<Server>(
                ipOf(r),
                [this, r](const std::shared_ptr<Peer> &peer) {
                    serve(r, peer);
                },
                0);
            rank.server->start(port);
            announce(r);
        }
    }

    void onOrder(OrderHook hook)
    {
        m_orderHook = std::move(hook);
    }

    void beforeAnswer(ExtraHook hook)
    {
        m_extraHook = std::move(hook);
    }

    /**
     * Begins passes until stop(); each takes @p seconds. A few experts are in demand, others each @p shiftSeconds.
     */
    void run(double seconds, double shiftSeconds)
    {
        m_shiftSeconds = shiftSeconds;
        m_thread = std::thread([this, seconds] {
            while (!m_isOver) {
                beginPass();
                sleepFor(seconds);
            }
        });
    }

    void stop()
    {
        m_isOver = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /** Carries out @p order now; returns the status. */
    int execute(int r, const std::string &order)
    {
        const std::lock_guard lock(m_mutex);
        auto &rank = m_ranks[static_cast<std::size_t>(r)];
        const auto version = numberOf(order, "version");
        const auto step = numberOf(order, "step");
        if (numberOf(order, "epoch") != epoch) {
            return 409;
        }
        if (isOperation(order, "prepare")) {
            if (version <= rank.highest || rank.armed) {
                return 409;
            }
            rank.highest = version;
            rank.prepared = version;
            rank.preparedMap = parseMap(order.substr(order.find("\"map\":") + 6));
            rank.preparedAt = now() + 0.1;
            ++rank.sequence;
            return 202;
        }
        if (isOperation(order, "arm")) {
            if (rank.armed && *rank.armed == version && rank.armedStep == step) {
                return 200;
            }
            if (rank.prepared != version || now() < rank.preparedAt || step <= m_step) {
                return 409;
            }
            rank.armed = version;
            rank.armedStep = step;
            ++rank.sequence;
            return 202;
        }
        if (isOperation(order, "disarm")) {
            if (rank.version == version) {
                return 409;
            }
            rank.armed.reset();
            ++rank.sequence;
            return 202;
        }
        if (isOperation(order, "hold")) {
            if (rank.held && *rank.held == step) {
                return 200;
            }
            if (rank.held || step <= m_step) {
                return 409;
            }
            rank.held = step;
            ++rank.sequence;
            return 202;
        }
        if (isOperation(order, "go")) {
            if (rank.held != step) {
                return 409;
            }
            rank.held.reset();
            ++rank.sequence;
            return 202;
        }
        return 400;
    }

    static bool isOperation(const std::string &order, const std::string &name)
    {
        return order.find("\"op\":\"" + name + "\"") != std::string::npos;
    }

    int passesWithTwoMaps() const
    {
        return m_mixedPasses;
    }

    long long passes() const
    {
        return m_step;
    }

    int switches() const
    {
        return m_switches;
    }

    static constexpr long long epoch = 1;

private:
    struct Rank
    {
        std::unique_ptr<Server> server;
        long long version = 0;
        Map map;
        long long highest = 0;
        long long prepared = -1;
        Map preparedMap;
        double preparedAt = 0;
        std::optional<long long> armed;
        long long armedStep = 0;
        std::optional<long long> held;
        long long sequence = 0;
        std::vector<long long> counts;
    };

    static std::string serviceName()
    {
        return "model";
    }

    void announce(int r)
    {
        static const char *const zones[] = {"hall-a", "hall-b", "hall-c"};
        m_store.put("servers/rank-" + std::to_string(r),
                    "{\"service\":\"" + serviceName() + "\",\"address\":\""
                        + m_ranks[static_cast<std::size_t>(r)].server->address() + "\",\"zone\":\""
                        + zones[r * 3 / m_layout.ranks]
                        + "\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":"
                          "\"mixed\",\"sequence\":0,"
                          "\"group\":{\"name\":\"g1\",\"epoch\":1,\"rank\":"
                        + std::to_string(r) + ",\"state\":\"open\"}}");
    }

    void beginPass()
    {
        const std::lock_guard lock(m_mutex);
        const auto next = m_step + 1;
        for (const auto &it : m_ranks) {
            if (it.held && *it.held == next) {
                return;
            }
        }
        m_step = next;
        bool isSwitch = false;
        for (auto &it : m_ranks) {
            if (it.armed && it.armedStep == next) {
                it.version = *it.armed;
                it.map = it.preparedMap;
                it.armed.reset();
                it.prepared = -1;
                isSwitch = true;
            }
        }
        std::string versions;
        bool isMixed = false;
        for (std::size_t r = 0; r < m_ranks.size(); ++r) {
            auto &it = m_ranks[r];
            isMixed |= it.version != m_ranks.front().version || it.map != m_ranks.front().map;
            versions += " " + std::to_string(it.version);
            // A few experts, all of them on one rank in map 0, get most of the tokens.
            const int liked = static_cast<int>(now() / m_shiftSeconds) * 5 % m_layout.ranks;
            for (int s = 0; s < m_layout.sets; ++s) {
                for (int e = 0; e < m_layout.experts; ++e) {
                    it.counts[static_cast<std::size_t>(s * m_layout.experts + e)]
                        += e % m_layout.ranks == liked ? 100 : 5;
                }
            }
        }
        if (isSwitch || (isMixed && m_mixedPasses < 3)) {
            record.line("pass %lld begins; map of each rank:%s", next, versions.c_str());
        }
        m_switches += isSwitch ? 1 : 0;
        m_mixedPasses += isMixed ? 1 : 0;
    }

    std::string reportText(int r)
    {
        const std::lock_guard lock(m_mutex);
        const auto &rank = m_ranks[static_cast<std::size_t>(r)];
        const bool isPrepared = rank.prepared >= 0 && now() >= rank.preparedAt;
        return "{\"stage\":\"mixed\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
               "\"sequence\":"
               + std::to_string(rank.sequence)
               + ",\"waiting\":0,\"running\":4,\"kv_used\":41000,\"kv_total\":280000,\"handles\":0,\"pace\":1.0,"
                 "\"group\":{\"name\":\"g1\",\"epoch\":1,\"rank\":"
               + std::to_string(r) + ",\"state\":\"open\"},\"size\":" + std::to_string(m_layout.ranks)
               + ",\"step\":" + std::to_string(m_step) + ",\"map\":" + std::to_string(rank.version)
               + (isPrepared ? ",\"prepared\":" + std::to_string(rank.prepared) : "")
               + (rank.armed ? ",\"armed\":" + std::to_string(*rank.armed) : "")
               + (rank.held ? ",\"held\":" + std::to_string(*rank.held) : "") + "}";
    }

    std::string pickedText(int r, bool withLists)
    {
        const std::lock_guard lock(m_mutex);
        const auto &rank = m_ranks[static_cast<std::size_t>(r)];
        auto text = "{\"step\":" + std::to_string(m_step) + ",\"epoch\":1,";
        std::string list;
        if (!withLists) {
            for (const auto it : rank.counts) {
                list += (list.empty() ? "" : ",") + std::to_string(it);
            }
            return text + "\"counts\":[" + list + "]}";
        }
        for (const auto &set : rank.map) {
            std::string experts;
            for (const auto it : set[static_cast<std::size_t>(r)]) {
                experts += (experts.empty() ? "" : ",") + std::to_string(it);
            }
            list += (list.empty() ? "[" : ",[") + experts + "]";
        }
        return text + "\"map\":{\"version\":" + std::to_string(rank.version) + ",\"experts\":[" + list + "]}}";
    }

    /** Serves one connection to rank @p r. */
    void serve(int r, const std::shared_ptr<Peer> &peer)
    {
        std::string lastAnswer;
        while (const auto request = peer->read(true)) {
            if (m_extraHook) {
                if (const auto extra = m_extraHook(r, *request, lastAnswer); !extra.empty()) {
                    peer->send(extra);
                }
            }
            int status = 200;
            std::string body = "{}";
            if (request->method == "GET" && request->target.rfind("/v1/report", 0) == 0) {
                body = reportText(r);
            } else if (request->method == "GET" && request->target.rfind("/v1/picked", 0) == 0) {
                body = pickedText(r, request->target.find("lists") != std::string::npos);
            } else if (request->method == "POST" && request->target == "/v1/order") {
                if (m_orderHook && m_orderHook(r, *request)) {
                    continue; // It gets no answer.
                }
                status = execute(r, request->body);
            } else {
                status = 404;
            }
            lastAnswer = responseText(status, "Content-Type: application/json\r\n", body);
            if (!peer->send(lastAnswer)) {
                return;
            }
        }
    }

    Store &m_store;
    Layout m_layout;
    OrderHook m_orderHook;
    ExtraHook m_extraHook;
    std::mutex m_mutex;
    std::vector<Rank> m_ranks;
    std::atomic<long long> m_step = 0;
    std::atomic<int> m_mixedPasses = 0;
    std::atomic<int> m_switches = 0;
    std::atomic<bool> m_isOver = false;
    double m_shiftSeconds = 1e9;
    std::thread m_thread;
};

/** Settings of the agents beside the ranks, and the configuration of their service. */
inline std::string groupConfigText(const Group::Layout &layout)
{
    return "{\"version\":1,\"routes\":["
           + routeText("r-1",
                       "/memo/",
                       "stream",
                       8000,
                       500,
                       "model",
                       2,
                       ",\"sticky_sessions\":true,\"resume_streams\":true,\"target_gap_ms\":120")
           + "],\"services\":[{\"name\":\"model\",\"health_path\":\"/"
             "health\",\"max_conns\":258,\"protocol\":\"h1\",\"tls\":false,"
             "\"engine\":{\"slots\":12,\"kv_tokens\":280000,\"stride\":4,\"models\":[{\"name\":\"m\"}],\"step_ms\":4."
             "55,"
             "\"per_seq_ms\":0.905,\"report_lag_ms\":200.0,\"sets\":"
           + std::to_string(layout.sets) + ",\"experts\":" + std::to_string(layout.experts)
           + ",\"placements\":" + std::to_string(layout.places) + ",\"spare\":" + std::to_string(layout.spare)
           + ",\"expert_mb\":2200.0,\"expert_share\":0.85,\"form_ms\":600.0}}],\"limits\":{\"max_header_bytes\":16384,"
             "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":8000},"
             "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-1\"]}]}";
}

} // namespace standin

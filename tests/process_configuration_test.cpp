#include "config_store.h"
#include "config_sync_codec.h"
#include "fleet.h"
#include "h2_client.h"
#include "peer_tls.h"

#include <asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <iostream>
#include <optional>
#include <set>

using namespace turmericline;
using nlohmann::json;

namespace {

using Clock = std::chrono::steady_clock;

/** Number of reads of a stale service after which the fleet has surely seen its old document. */
constexpr std::uint64_t staleReads = 20;

PeerTls tlsOf(const std::string &key)
{
    return PeerTls({*parsePeerKey(key).value});
}

} // namespace

/**
 * Guards invariant I7 on real processes: a published document becomes active on every entry and agent whatever faults
 * the configuration service has, and the active version of a process never decreases until it restarts.
 */
class ProcessConfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProcessConfigurationTest);
    CPPUNIT_TEST(serviceIsHealthy);
    CPPUNIT_TEST(serviceIsSlow);
    CPPUNIT_TEST(serviceIsDownAndBack);
    CPPUNIT_TEST(serviceIsStale);
    CPPUNIT_TEST(serviceReachesOneDomain);
    CPPUNIT_TEST(entryIsFrozen);
    CPPUNIT_TEST(twoDocumentsHaveOneVersion);
    CPPUNIT_TEST(documentIsRejected);
    CPPUNIT_TEST(wrongPeerKeyIsRejected);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<Fleet> m_fleet;
    std::map<std::string, Fleet::Arguments> m_commands; ///< Command line of each process as started by the fixture.
    std::map<std::string, std::uint64_t> m_seen; ///< Highest version of each process since its start.
    std::set<std::string> m_frozen; ///< Frozen processes, which are not polled.
    std::size_t m_publications = 0;
    std::size_t m_serviceFaults = 0;
    std::size_t m_reads = 0;
    std::size_t m_versionsBack = 0;

    static std::vector<std::string> daemons()
    {
        auto names = Fleet::entries();
        names.insert(names.end(), Fleet::agents().begin(), Fleet::agents().end());
        return names;
    }

    /** Reads the status of every process that is not frozen; fails if a version has decreased. */
    std::map<std::string, json> poll()
    {
        std::map<std::string, Fleet::Answer> answers;
        for (const auto &it : daemons()) {
            if (!m_frozen.contains(it)) {
                answers[it] = m_fleet->get(it, "/status", "ops_port");
            }
        }
        std::map<std::string, json> rows;
        for (const auto &[name, answer] : answers) {
            m_fleet->waitDone({answer});
            CPPUNIT_ASSERT_MESSAGE(name + ": " + answer->error, answer->complete && answer->status == 200);
            rows[name] = json::parse(answer->body).at("configuration");
            const auto version = rows[name].at("version").get<std::uint64_t>();
            m_versionsBack += version < m_seen[name] ? 1 : 0;
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: version {} follows {}", name, version, m_seen[name]),
                                   version >= m_seen[name]);
            m_seen[name] = version;
            ++m_reads;
        }
        return rows;
    }

    /** Polls until @p condition holds for the configuration status of every process. */
    void waitAll(const std::function<bool(const json &)> &condition)
    {
        m_fleet->waitUntil([&] {
            const auto rows = poll();
            return std::ranges::all_of(rows, [&](const auto &row) {
                return condition(row.second);
            });
        });
    }

    void waitUntilActive(std::uint64_t version)
    {
        waitAll([version](const json &status) {
            return status.at("version") == version;
        });
    }

    void report(std::string_view mode, std::uint64_t version, Clock::time_point since)
    {
        waitUntilActive(version);
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - since).count();
        std::cout << fmt::format(
            "\n{}: in force on all {} processes after {} ms\n", mode, daemons().size() - m_frozen.size(), ms);
    }

    std::uint64_t publish(const std::function<void(json &)> &change = {})
    {
        ++m_publications;
        return m_fleet->publish(change);
    }

    void publishAndReport(std::string_view mode)
    {
        const auto since = Clock::now();
        report(mode, publish(), since);
    }

    void setFault(const json &fault)
    {
        ++m_serviceFaults;
        HttpClientRequest request{
            "POST", fmt::format("http://127.0.0.1:{}/control/fault", m_fleet->port("config")), {}, {}};
        request.body = fault.dump();
        const auto answer = m_fleet->call(std::move(request));
        m_fleet->waitDone({answer});
        CPPUNIT_ASSERT_EQUAL(200, answer->status);
    }

    /** Restarts a process on the same ports with another configuration service. */
    void restartWithService(const std::string &name, const std::string &configUrl)
    {
        auto command = m_commands.at(name);
        *std::next(std::ranges::find(command, "--config-url")) = configUrl;
        m_fleet->kill(name);
        m_seen.erase(name);
        CPPUNIT_ASSERT(m_fleet->tryStart(name, command));
    }

    static std::vector<std::string> processesOf(char domain)
    {
        return {std::string("entry-") + domain, std::string("agent-m") + domain, std::string("agent-s") + domain};
    }

    /** Sends one request to a process as a peer; returns false if the connection failed. */
    bool sendPeerRequest(
        PeerTls &tls, const std::string &process, const std::string &path, const json &body, std::string *text)
    {
        const auto *field = process.starts_with("entry") ? "peer_port" : "port";
        H2Client client(m_fleet->io(), tls, fmt::format("127.0.0.1:{}", m_fleet->port(process, field)));
        std::optional<bool> ok;
        H2Client::StreamId id = 0;
        id = client.start({"POST", path, {}, toMessagePack(body)},
                          {{},
                           [&](std::string_view chunk) {
                               client.consume(id, chunk.size());
                               text->append(chunk);
                           },
                           [&](const H2Result &result) {
                               ok = result.complete;
                           }});
        m_fleet->waitUntil([&ok] {
            return ok.has_value();
        });
        return *ok;
    }

    DocumentRef activeDocument(PeerTls &tls, const std::string &process)
    {
        std::string text;
        CPPUNIT_ASSERT(sendPeerRequest(tls, process, "/gossip", {{"a", encodeAnnouncement({})}}, &text));
        const auto announcement = decodeAnnouncement(fromMessagePack(text).value("a", json()));
        CPPUNIT_ASSERT_MESSAGE(process, announcement.has_value());
        return announcement->activeDocument;
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<Fleet>();
        m_seen.clear();
        m_frozen.clear();
        auto rows = json::array();
        for (const auto &it : daemons()) {
            const bool isEntry = it.starts_with("entry");
            m_commands[it] = m_fleet->command(it);
            rows.push_back({{"name", isEntry ? std::string("e") + it.back() : Fleet::server(it.substr(6))},
                            {"role", isEntry ? "entry" : "agent"},
                            {"domain", std::string("d") + it.back()},
                            {"address", fmt::format("127.0.0.1:{}", m_fleet->port(it, isEntry ? "peer_port" : "port"))},
                            {"state", "live"}});
        }
        m_fleet->put("instances", "/control/instances", rows);
    }

    void tearDown() override
    {
        std::cout << fmt::format(
            "\nfigures: point=I7 operations={} faults={} service_faults={} status_reads={} versions_back={}\n",
            m_publications,
            m_fleet->faultCount(),
            m_serviceFaults,
            m_reads,
            m_versionsBack);
        m_fleet.reset();
    }

    void serviceIsHealthy()
    {
        publishAndReport("healthy");
    }

    void serviceIsSlow()
    {
        setFault({{"mode", "slow"}, {"delay_ms", 1'000}});
        publishAndReport("slow by 1 s");
    }

    void serviceIsDownAndBack()
    {
        setFault({{"mode", "down"}});
        const auto version = publish();
        // Wait until no process has received a confirmation for longer than its limit.
        waitAll([](const json &status) {
            return status.at("confirmed_ms_ago") > 4'000;
        });
        for (const auto &[name, seen] : m_seen) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, version - 1, seen);
        }
        const auto since = Clock::now();
        setFault({{"mode", "ok"}});
        report("down, from its return", version, since);
    }

    void waitForStaleReads(std::uint64_t newest)
    {
        const auto reads = [this] {
            return m_fleet->getJson("config", "/control/counts").at("calls").get<std::uint64_t>();
        };
        const auto before = reads();
        m_fleet->waitUntil([&] {
            poll();
            return reads() >= before + staleReads;
        });
        waitUntilActive(newest);
    }

    void serviceIsStale()
    {
        const auto old = publish();
        waitUntilActive(old);
        const auto newest = publish();
        waitUntilActive(newest);
        setFault({{"mode", "down"}});
        setFault({{"mode", "stale"}, {"version", old}});
        waitForStaleReads(newest);
        // The restarted processes read a service that only has the old document.
        for (const auto *name : {"entry-1", "agent-s2"}) {
            const auto since = Clock::now();
            m_fleet->kill(name);
            m_seen.erase(name);
            m_fleet->start(name);
            report(fmt::format("stale, restart of {}", name), newest, since);
        }
        waitForStaleReads(newest);
        const auto next = publish();
        const auto since = Clock::now();
        setFault({{"mode", "ok"}});
        report("stale, from its end", next, since);
    }

    void serviceReachesOneDomain()
    {
        // Bound but not listening, so that connections are refused and no other process gets the port.
        asio::ip::tcp::acceptor closed(m_fleet->io());
        closed.open(asio::ip::tcp::v4());
        closed.bind({asio::ip::make_address_v4("127.0.0.1"), 0});
        const auto url = fmt::format("http://127.0.0.1:{}", closed.local_endpoint().port());
        for (const char domain : {'2', '3'}) {
            for (const auto &it : processesOf(domain)) {
                restartWithService(it, url);
            }
        }
        const auto since = Clock::now();
        report("restart of 6 processes without the service", 1, since);
        publishAndReport("reachable from d1 only");
        publishAndReport("reachable from d1 only");
    }

    void entryIsFrozen()
    {
        m_fleet->signal("entry-2", SIGSTOP);
        m_frozen.insert("entry-2");
        publishAndReport("entry-2 frozen, the others");
        publishAndReport("entry-2 frozen, the others");
        const auto version = publish();
        waitUntilActive(version);
        const auto since = Clock::now();
        m_fleet->signal("entry-2", SIGCONT);
        m_frozen.clear();
        report("entry-2 frozen, from its wake-up", version, since);
    }

    void twoDocumentsHaveOneVersion()
    {
        const auto *bin = std::getenv("TEST_BIN_DIR");
        const std::string programs = bin != nullptr ? bin : "";
        CPPUNIT_ASSERT(!programs.empty());
        CPPUNIT_ASSERT(m_fleet->tryStart("config-b", {programs + "/turmericline-fake", "config"}));
        json document;
        const auto version = publish([&document](json &it) {
            document = it;
        });
        waitUntilActive(version);
        document["version"] = version;
        m_fleet->put("config-b", "/control/document", document);
        for (const auto &it : processesOf('3')) {
            restartWithService(it, fmt::format("http://127.0.0.1:{}", m_fleet->port("config-b")));
        }
        waitUntilActive(version);
        // Domain 3 reads from its own service, so both documents of the next version are read directly from a service.
        document["version"] = version + 1;
        document["plans"][0]["weight"] = 2;
        HttpClientRequest request{
            "PUT", fmt::format("http://127.0.0.1:{}/control/document", m_fleet->port("config-b")), {}, {}};
        request.body = document.dump();
        const auto since = Clock::now();
        const auto other = m_fleet->call(std::move(request));
        CPPUNIT_ASSERT_EQUAL(version + 1, publish());
        m_fleet->waitDone({other});
        ++m_publications;
        auto tls = tlsOf(m_fleet->peerKey());
        std::set<DocumentRef> refs;
        do {
            waitUntilActive(version + 1);
            refs.clear();
            for (const auto &it : daemons()) {
                refs.insert(activeDocument(tls, it));
            }
        } while (refs.size() != 1);
        report("two documents of one version", version + 1, since);
        std::uint64_t conflicts = 0;
        for (const auto &[name, status] : poll()) {
            conflicts += status.at("conflicts").get<std::uint64_t>();
        }
        std::cout << "conflicts counted: " << conflicts << '\n';
        CPPUNIT_ASSERT_MESSAGE("the two documents never met", conflicts > 0);
    }

    void documentIsRejected()
    {
        const auto rejected = publish([](json &it) {
            it["plans"][0]["unknown_field"] = 1;
        });
        waitAll([rejected](const json &status) {
            return status.at("newest_version") == rejected;
        });
        for (const auto &[name, status] : poll()) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, rejected - 1, status.at("version").get<std::uint64_t>());
            CPPUNIT_ASSERT_MESSAGE(name, status.at("rejected") > 0);
        }
        const auto since = Clock::now();
        report("after a rejected document",
               publish([](json &it) {
                   it["plans"][0].erase("unknown_field");
               }),
               since);
    }

    void wrongPeerKeyIsRejected()
    {
        json document;
        const auto version = publish([&document](json &it) {
            document = it;
        });
        waitUntilActive(version);
        document["version"] = version + 100;
        ConfigStore store;
        CPPUNIT_ASSERT(store.offer(document.dump()).status == ApplyStatus::Applied);
        const json body{{"a", encodeAnnouncement(store.announcement())}, {"u", store.encodeUpdate({}).value()}};
        std::string text;
        // The known identity with a wrong secret, and an unknown identity with a wrong and with the right secret.
        const auto secret = std::string(32, 'a');
        std::size_t attempts = 0;
        std::size_t answered = 0;
        for (const auto &key : {"fleet:" + secret, "stranger:" + secret, "stranger:" + m_fleet->peerKey().substr(6)}) {
            auto wrong = tlsOf(key);
            for (const auto &it : daemons()) {
                ++attempts;
                answered += sendPeerRequest(wrong, it, "/document", body, &text) ? 1 : 0;
            }
        }
        std::cout << fmt::format("\nfigures: point=speak operations={} faults=0 answered={}\n", attempts, answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), answered);
        CPPUNIT_ASSERT_EQUAL(std::string(), text);
        waitUntilActive(version);
        // The same message is accepted with the right key, so the key was the only reason for the rejection.
        auto right = tlsOf(m_fleet->peerKey());
        const auto since = Clock::now();
        CPPUNIT_ASSERT(sendPeerRequest(right, "entry-1", "/document", body, &text));
        report("from one peer with the right key", version + 100, since);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessConfigurationTest);

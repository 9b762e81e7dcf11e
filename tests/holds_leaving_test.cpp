#include "fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <optional>

using nlohmann::json;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint32_t longAnswer = 300;
constexpr std::size_t callCountAfterChange = 90;

} // namespace

/** Guards I5: a leaving server gets no new work once its agent and entries know of it, and finishes its requests. */
class LeavingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingTest);
    CPPUNIT_TEST(byDocument);
    CPPUNIT_TEST(byInstanceList);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<Fleet> m_fleet;
    std::vector<Fleet::Answer> m_streams; ///< Long streams, in flight while the server leaves.
    std::vector<Fleet::Answer> m_calls; ///< Requests of the constant load.
    std::vector<Clock::time_point> m_sendTimes; ///< Send time of each request in m_calls.

public:
    void setUp() override
    {
        m_fleet = std::make_unique<Fleet>();
        m_streams.clear();
        m_calls.clear();
        m_sendTimes.clear();
    }

    void tearDown() override
    {
        m_fleet.reset();
    }

    void sendLoad()
    {
        const auto n = m_calls.size();
        m_sendTimes.push_back(Clock::now());
        // Different prompts, because equal ones are routed to the server that has them cached.
        m_calls.push_back(
            m_fleet->stream(Fleet::entries()[n % 3], fmt::format("load {}", n), 3, fmt::format("load-{}", n)));
    }

    void startLongStreams()
    {
        for (std::size_t i = 0; i < 12; ++i) {
            m_streams.push_back(
                m_fleet->stream(Fleet::entries()[i % 3], fmt::format("long {}", i), longAnswer, "long"));
        }
        m_fleet->waitUntil([this] {
            return m_fleet->getJson("engine-1", "/counts").contains("long");
        });
    }

    /** Returns true if every entry and the agent of m1 have received the new state. */
    bool isKnown()
    {
        for (const auto &entry : Fleet::entries()) {
            const auto status = m_fleet->status(entry); // Must outlive the loop, which refers to a part of it.
            for (const auto &row : status.at("servers")) {
                if (row.at("server") == Fleet::server("m1") && row.at("state") != "leaving") {
                    return false;
                }
            }
        }
        return !m_fleet->status("agent-m1").at("refuses").get<std::string>().empty();
    }

    void leave(const std::function<void()> &publish)
    {
        startLongStreams();
        // The server must be in use before it leaves; otherwise the test would prove nothing.
        m_fleet->waitUntil([this] {
            sendLoad();
            const auto counts = m_fleet->getJson("engine-1", "/counts");
            return m_calls.size() >= 30 && std::ranges::any_of(counts.items(), [](const auto &it) {
                       return it.key().starts_with("load-");
                   });
        });
        const auto published = Clock::now();
        publish();
        m_fleet->waitUntil([this] {
            sendLoad();
            return isKnown();
        });
        const auto known = m_calls.size();
        const auto changeKnownAt = Clock::now();
        for (std::size_t i = 0; i < callCountAfterChange; ++i) {
            sendLoad();
        }
        m_fleet->waitDone(m_calls);
        m_fleet->waitDone(m_streams);
        checkLastCall(published, known, changeKnownAt);
        for (std::size_t i = 0; i < m_streams.size(); ++i) {
            expectCompleteStream(m_streams[i], fmt::format("long {}", i), longAnswer);
        }
        for (std::size_t i = 0; i < m_calls.size(); ++i) {
            expectCompleteStream(m_calls[i], fmt::format("load {}", i), 3);
        }
    }

    void checkLastCall(Clock::time_point published, std::size_t known, Clock::time_point changeKnownAt)
    {
        const auto counts = m_fleet->getJson("engine-1", "/counts");
        std::optional<std::size_t> last;
        for (std::size_t i = 0; i < m_calls.size(); ++i) {
            if (counts.contains(fmt::format("load-{}", i))) {
                last = i;
            }
        }
        CPPUNIT_ASSERT_MESSAGE("the server got no load at all", last.has_value());
        const auto ms = [published](Clock::time_point t) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(t - published).count();
        };
        std::cout << fmt::format("\nlast new request at the leaving server: {} ms after the publication, known to all "
                                 "after {} ms; {} calls before, {} after\n",
                                 ms(m_sendTimes[*last]),
                                 ms(changeKnownAt),
                                 known,
                                 m_calls.size() - known);
        std::size_t late = 0;
        for (auto i = known; i < m_calls.size(); ++i) {
            late += counts.contains(fmt::format("load-{}", i)) ? 1 : 0;
        }
        std::cout << fmt::format("figures: point=I5 operations={} faults={} late={}\n",
                                 m_calls.size() + m_streams.size(),
                                 m_fleet->faultCount(),
                                 late);
        for (auto i = known; i < m_calls.size(); ++i) {
            const auto name = fmt::format("load-{}", i);
            CPPUNIT_ASSERT_MESSAGE(name + " reached the leaving server", !counts.contains(name));
        }
    }

    void byDocument()
    {
        leave([this] {
            m_fleet->publish([this](json &document) {
                m_fleet->serverRow(document, "m1")["state"] = "leaving";
            });
        });
    }

    void byInstanceList()
    {
        leave([this] {
            m_fleet->put("instances",
                         "/control/instances",
                         json::array({{{"name", Fleet::server("m1")},
                                       {"role", "agent"},
                                       {"domain", "d1"},
                                       {"address", fmt::format("127.0.0.1:{}", m_fleet->port("agent-m1"))},
                                       {"state", "leaving"}}}));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);

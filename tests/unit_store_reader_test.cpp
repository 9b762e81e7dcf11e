#include "fake_store.h"
#include "platform_dialect.h"
#include "store_reader.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards against a reader that waits for ever for the answer to a call that is void. */
class StoreReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreReaderTest);
    CPPUNIT_TEST(secondRequestDuringAReadIsNotLost);
    CPPUNIT_TEST(pauseDuringAReadIsNotLost);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::seconds timeLimit{10};

    asio::io_context m_io;
    fakes::FakeStore m_store{m_io};
    GatewayDialect m_dialect = platformDialect();
    std::mt19937_64 m_random{1};
    std::string m_value;
    std::unique_ptr<StoreReader> m_reader;

    /** Ticks the reader until @p isDone, or until the time limit is over; returns whether it is done. */
    template<typename Condition>
    bool runUntil(Condition isDone)
    {
        const auto end = std::chrono::steady_clock::now() + timeLimit;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            m_reader->tick(std::chrono::steady_clock::now());
            m_io.poll();
        }
        return isDone();
    }

    bool hasRead(const std::string &value)
    {
        return runUntil([&] {
            return m_value == value;
        });
    }

public:
    void setUp() override
    {
        StoreFeedConfig config;
        config.prefix = "op/config";
        m_reader = std::make_unique<StoreReader>(
            m_io,
            m_dialect,
            config,
            "127.0.0.1:" + std::to_string(m_store.port()),
            [this](TimePoint, const StoreChange &change, std::chrono::milliseconds) {
                if (!change.items.empty()) {
                    m_value = change.items.front().value;
                }
            },
            m_random);
        m_store.put("op/config", "one");
        CPPUNIT_ASSERT(hasRead("one"));
    }

    /** A gateway that follows another one asked for a read again while the first one was in flight, and had no answer. */
    void secondRequestDuringAReadIsNotLost()
    {
        m_reader->setPaused(true);
        m_store.put("op/config", "two");
        m_reader->requestRead();
        m_reader->tick(std::chrono::steady_clock::now());
        m_reader->requestRead();
        CPPUNIT_ASSERT(hasRead("two"));
        // The next request is a new one.
        m_store.put("op/config", "three");
        m_reader->requestRead();
        CPPUNIT_ASSERT(hasRead("three"));
    }

    void pauseDuringAReadIsNotLost()
    {
        m_store.put("op/config", "two");
        m_reader->requestRead();
        m_reader->tick(std::chrono::steady_clock::now());
        m_reader->setPaused(true);
        m_reader->setPaused(false);
        CPPUNIT_ASSERT(hasRead("two"));
        m_store.put("op/config", "three");
        CPPUNIT_ASSERT(hasRead("three"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReaderTest);

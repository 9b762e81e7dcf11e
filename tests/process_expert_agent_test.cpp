#include "child_process.h"
#include "fake_platform.h"
#include "fake_store.h"
#include "raw_caller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

using namespace turmericline;

/** Guards against an expert agent that exits on SIGHUP or accepts requests that it cannot answer without a rank. */
class ExpertAgentProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExpertAgentProcessTest);
    CPPUNIT_TEST(survivesReload);
    CPPUNIT_TEST(rejectsWhatItCannotAnswer);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context m_io;
    std::unique_ptr<fakes::FakeStore> m_store;
    std::unique_ptr<ChildProcess> m_agent;

    int status(const std::string &target)
    {
        RawCaller caller(m_io, m_agent->port("peer_port"));
        caller.send("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
        return caller.answer().status;
    }

public:
    void setUp() override
    {
        m_store = std::make_unique<fakes::FakeStore>(m_io);
        m_agent = std::make_unique<ChildProcess>(
            m_io,
            "turmericline-expert-agent",
            std::vector<std::string>{"--name=a",
                                     "--domain=d",
                                     "--peer=127.0.0.1:0",
                                     "--store=127.0.0.1:" + std::to_string(m_store->port()),
                                     "--log-level=error"});
    }

    void tearDown() override
    {
        m_agent.reset();
        m_store.reset();
    }

    /** SIGHUP reloads the settings of a running agent; without a handler it would end the process. */
    void survivesReload()
    {
        CPPUNIT_ASSERT_EQUAL(503, status("/loads")); // It has started.
        m_agent->signal(SIGHUP);
        CPPUNIT_ASSERT_EQUAL(503, status("/ranks?first=0&count=1"));
        m_agent->signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(0, m_agent->waitForExit());
    }

    void rejectsWhatItCannotAnswer()
    {
        CPPUNIT_ASSERT_EQUAL(400, status("/ranks?first=0&count=0"));
        CPPUNIT_ASSERT_EQUAL(400, status("/ranks?nonsense"));
        CPPUNIT_ASSERT_EQUAL(503, status("/loads"));
        CPPUNIT_ASSERT_EQUAL(404, status("/else"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExpertAgentProcessTest);

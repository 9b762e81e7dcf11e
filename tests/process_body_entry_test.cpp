#include "caller_fixture.h"
#include "unread_bytes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

/** Guards the entry of the own fleet against callers that send large bodies at once and stop short of the end. */
class BodyEntryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyEntryTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t callerCount = 120;
    static constexpr std::size_t bodyBytes = 1'000'000;
    static constexpr std::size_t memoryBoundMiB = 64;

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        CallerFixture fixture({"--max-body-bytes=1048576", "--read-timeout-ms=60000"});
        const auto whole = CallerFixture::request("POST /v1/completions", {}, std::string(bodyBytes, ' '));
        const auto most = whole.substr(0, whole.size() - 10);
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (std::size_t n = 0; n < callerCount; ++n) {
            callers.push_back(std::make_unique<RawCaller>(fixture.io, fixture.entry.port()));
            callers.back()->send(most);
        }
        while (unreadBytes(fixture.entry.port()) > 0) {
            fixture.io.poll();
        }
        CPPUNIT_ASSERT_EQUAL(200, fixture.ask(CallerFixture::completion(false, 1)).status);
        const auto peak = fixture.entry.memoryKiB("VmHWM") / 1'024;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(peak) + " MB", peak < memoryBoundMiB);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyEntryTest);

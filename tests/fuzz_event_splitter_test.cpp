#include "event_splitter.h"

#include "fuzz_property.h"

using namespace turmericline;

/** Guards against lost, repeated and truncated events in streams that are resumed after a server failure. */
class EventSplitterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventSplitterTest);
    CPPUNIT_TEST(resumedStreamIsComplete);
    CPPUNIT_TEST(keepsEventsWithoutId);
    CPPUNIT_TEST_SUITE_END();

    static std::string event(std::uint64_t id)
    {
        return "id: " + std::to_string(id) + "\ndata: text " + std::to_string(id) + "\n\n";
    }

    static std::string events(std::uint64_t first, std::uint64_t last)
    {
        std::string text;
        for (auto id = first; id <= last; ++id) {
            text += event(id);
        }
        return text;
    }

public:
    /** Servers fail after any byte; the next one resumes after the last forwarded event, or up to 2 events earlier. */
    void resumedStreamIsComplete()
    {
        const auto failure = counterexample("resumed stream is whole", fuzzParams(100, 300), [] {
            constexpr std::uint64_t count = 12;
            EventSplitter splitter;
            std::string passed;
            const auto breaks = *rc::gen::inRange(0, 4);
            for (int n = 0; n <= breaks; ++n) {
                const auto next = splitter.lastId().value_or(0) + 1;
                const auto overlap = *rc::gen::inRange<std::uint64_t>(0, std::min<std::uint64_t>(next, 3));
                auto bytes = events(next - overlap == 0 ? 1 : next - overlap, count);
                if (n < breaks) {
                    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
                }
                for (std::size_t at = 0; at < bytes.size();) {
                    const auto size = *rc::gen::inRange<std::size_t>(1, 40);
                    passed += splitter.push(std::string_view(bytes).substr(at, size));
                    at += size;
                }
                splitter.dropPartial();
            }
            RC_ASSERT(passed == events(1, count));
        });
        CPPUNIT_ASSERT_EQUAL(std::string(), failure);
    }

    void keepsEventsWithoutId()
    {
        EventSplitter splitter;
        CPPUNIT_ASSERT_EQUAL(std::string(": note\r\n\r\ndata: a\n\n"), splitter.push(": note\r\n\r\ndata: a\n\ndata"));
        CPPUNIT_ASSERT(splitter.hasPartial());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

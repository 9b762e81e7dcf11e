#include "part_suspect_codec.h"
#include "suspect.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/**
 * Guards against a part of prompts that crashes servers being sent on, and against the refusal of a part that sound
 * requests share.
 */
class PartSuspectTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PartSuspectTest);
    CPPUNIT_TEST(partIsRefusedAfterTwoSeries);
    CPPUNIT_TEST(endsAtTheSameTimeCountOnce);
    CPPUNIT_TEST(endsUnderAllRequestsOfAPartCount);
    CPPUNIT_TEST(endUnderALaterRequestCounts);
    CPPUNIT_TEST(answerClearsPart);
    CPPUNIT_TEST(partThatWasAnsweredBeforeNeedsMoreCrashes);
    CPPUNIT_TEST(sharedPartIsNotBlamedForTheOther);
    CPPUNIT_TEST(requestsWithoutTheRarePartFindTheSharedOne);
    CPPUNIT_TEST(frequentPartIsNotBlamedForOtherCrashes);
    CPPUNIT_TEST(partsThatNothingTellsApartAreRefusedTogether);
    CPPUNIT_TEST(newPartsDoNotHideTheOneInEachEnd);
    CPPUNIT_TEST(newPartsDoNotHideAFrequentOne);
    CPPUNIT_TEST(newPartsDoNotHideOneThatWasAnsweredBefore);
    CPPUNIT_TEST(crashingPartUnderNewFirstPartsIsFound);
    CPPUNIT_TEST(twoCrashingPartsAreFound);
    CPPUNIT_TEST(requestsThatWereNotRunDoNotCount);
    CPPUNIT_TEST(outlivedPartIsSound);
    CPPUNIT_TEST(heldPartIsTestedByOneRequest);
    CPPUNIT_TEST(holdDoublesWithEachCrash);
    CPPUNIT_TEST(othersTestLater);
    CPPUNIT_TEST(reportsMergeInAnyOrder);
    CPPUNIT_TEST(circulatingReportsDoNotMoveAnAnswer);
    CPPUNIT_TEST(answerElsewhereIsNews);
    CPPUNIT_TEST(tablesAreBounded);
    CPPUNIT_TEST(accusedPartsKeepTheirPlace);
    CPPUNIT_TEST(reportsAreSentLeastOftenFirst);
    CPPUNIT_TEST(codecRoundTrips);
    CPPUNIT_TEST_SUITE_END();

    Age m_now = 1'000s;
    PartSuspects m_parts{PartSuspectSettings{}};
    std::uint64_t m_servers = 0;

    static Fingerprint part(std::uint64_t id)
    {
        return partFingerprint("s", id);
    }

    /** A server ends under requests with these parts, each in the position of its id. */
    void crash(std::initializer_list<std::uint64_t> ids, Age runTime = 50ms)
    {
        std::vector<PartInFlight> inFlight;
        inFlight.reserve(ids.size());
        for (const auto id : ids) {
            inFlight.push_back({part(id), static_cast<std::uint32_t>(id), runTime});
        }
        m_parts.recordCrash(inFlight, "i-" + std::to_string(++m_servers), 1, m_now);
    }

    void answer(std::uint64_t id)
    {
        const auto it = part(id);
        m_parts.recordSound(std::span(&it, 1), m_now);
    }

    SuspectAction actionOn(std::initializer_list<std::uint64_t> ids) const
    {
        std::vector<Fingerprint> parts;
        parts.reserve(ids.size());
        for (const auto id : ids) {
            parts.push_back(part(id));
        }
        return m_parts.decide(parts, m_now).action;
    }

    bool isRefused(std::uint64_t id) const
    {
        return actionOn({id}) == SuspectAction::Refuse;
    }

    std::vector<PartReport> reports() const
    {
        return m_parts.allReports(100, m_now);
    }

public:
    void partIsRefusedAfterTwoSeries()
    {
        crash({1});
        CPPUNIT_ASSERT(!isRefused(1));
        m_now += 5s;
        crash({1});
        CPPUNIT_ASSERT(isRefused(1) && !isRefused(2));
        CPPUNIT_ASSERT(actionOn({2, 1}) == SuspectAction::Refuse);
        CPPUNIT_ASSERT(actionOn({}) == SuspectAction::Run);
        const auto it = part(1);
        CPPUNIT_ASSERT(m_parts.decide(std::span(&it, 1), m_now).retryAfter == 60s);
    }

    /** Several such requests can be in flight before the first server ends. */
    void endsUnderAllRequestsOfAPartCount()
    {
        const auto rare = part(1);
        for (int n = 0; n < 4; ++n) {
            CPPUNIT_ASSERT(!isRefused(1));
            m_parts.recordSent(std::span(&rare, 1));
            crash({1}, 2s);
        }
        CPPUNIT_ASSERT(isRefused(1));
    }

    /** A failure of power, or a cut, ends several servers with requests that share a sound part. */
    void endsAtTheSameTimeCountOnce()
    {
        const auto frequent = part(1);
        for (int n = 0; n < 20; ++n) {
            m_parts.recordSent(std::span(&frequent, 1));
        }
        for (int n = 0; n < 5; ++n) {
            crash({1}, 2s);
            m_now += 100ms;
        }
        CPPUNIT_ASSERT(!isRefused(1));
    }

    void endUnderALaterRequestCounts()
    {
        crash({1});
        m_now += 200ms;
        crash({1}, 100ms);
        CPPUNIT_ASSERT(isRefused(1));
    }

    void answerClearsPart()
    {
        crash({1});
        m_now += 5s;
        crash({1});
        m_now += 2s;
        answer(1);
        CPPUNIT_ASSERT(!isRefused(1));
        CPPUNIT_ASSERT(m_parts.takeCleared() == std::vector{part(1)});
        CPPUNIT_ASSERT(m_parts.takeCleared().empty());
    }

    void partThatWasAnsweredBeforeNeedsMoreCrashes()
    {
        answer(1);
        for (int n = 0; n < 3; ++n) {
            m_now += 5s;
            crash({1});
            CPPUNIT_ASSERT(!isRefused(1));
        }
        m_now += 5s;
        crash({1});
        CPPUNIT_ASSERT(isRefused(1));
    }

    /** After a start of all gateways, nothing is known of the part that all requests share. */
    void sharedPartIsNotBlamedForTheOther()
    {
        crash({1, 7});
        m_now += 5s;
        crash({1, 7});
        CPPUNIT_ASSERT(actionOn({1, 7}) == SuspectAction::Refuse && !isRefused(1));
        CPPUNIT_ASSERT(actionOn({1, 8}) == SuspectAction::Run);
        answer(1);
        CPPUNIT_ASSERT(isRefused(7) && !isRefused(1));
    }

    void requestsWithoutTheRarePartFindTheSharedOne()
    {
        crash({1, 7});
        m_now += 5s;
        crash({1, 7});
        m_now += 5s;
        crash({1, 8});
        CPPUNIT_ASSERT(isRefused(1) && !isRefused(7) && !isRefused(8));
    }

    /** A part of many requests is in flight at any crash, so it has more of them than the one that is the cause. */
    void frequentPartIsNotBlamedForOtherCrashes()
    {
        const auto frequent = part(1);
        for (int n = 0; n < 20; ++n) {
            m_parts.recordSent(std::span(&frequent, 1));
        }
        crash({1});
        for (int n = 0; n < 2; ++n) {
            m_now += 5s;
            crash({1, 7});
        }
        CPPUNIT_ASSERT(isRefused(7) && !isRefused(1));
        CPPUNIT_ASSERT_EQUAL(20U, reports().front().sent);
        m_now += 5s;
        crash({1});
        CPPUNIT_ASSERT(isRefused(1));
    }

    /** Their places in the prompt tell nothing. Requests with one of them go on, and show which one it is. */
    void partsThatNothingTellsApartAreRefusedTogether()
    {
        for (const std::uint64_t third : {9, 3}) {
            m_parts = PartSuspects{PartSuspectSettings{}};
            const std::vector<PartInFlight> inFlight{{part(9), 0, 50ms}, {part(3), 1, 50ms}};
            for (const char *server : {"x", "y"}) {
                CPPUNIT_ASSERT(actionOn({9, 3}) == SuspectAction::Run);
                m_now += 5s;
                m_parts.recordCrash(inFlight, server, 1, m_now);
            }
            CPPUNIT_ASSERT(actionOn({9, 3}) == SuspectAction::Refuse);
            CPPUNIT_ASSERT(!isRefused(3) && !isRefused(9));
            m_now += 5s;
            crash({third});
            CPPUNIT_ASSERT(isRefused(third) && !isRefused(third == 9 ? 3 : 9));
        }
    }

    /** Sends a request with these parts, under which a server ends. */
    void sendCrashing(std::initializer_list<std::uint64_t> ids)
    {
        m_now += 2s;
        send(ids);
        crash(ids);
    }

    void send(std::initializer_list<std::uint64_t> ids)
    {
        for (const auto id : ids) {
            const auto it = part(id);
            m_parts.recordSent(std::span(&it, 1));
        }
    }

    /** Each caller asks twice about a document that nobody has asked about, with instructions that crash servers. */
    void newPartsDoNotHideTheOneInEachEnd()
    {
        std::size_t ends = 0;
        for (std::uint64_t document = 100; document < 115; ++document) {
            for (int n = 0; n < 2; ++n) {
                if (actionOn({1, document}) != SuspectAction::Refuse) {
                    sendCrashing({1, document});
                    ++ends;
                }
            }
            CPPUNIT_ASSERT(actionOn({2, document}) == SuspectAction::Run);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ends);
        CPPUNIT_ASSERT(isRefused(1));
    }

    /** As above, while more requests with the part are lost with each server. */
    void newPartsDoNotHideAFrequentOne()
    {
        std::size_t ends = 0;
        for (std::uint64_t document = 100; document < 115; ++document) {
            for (int n = 0; n < 2; ++n) {
                if (actionOn({1, document}) != SuspectAction::Refuse) {
                    sendCrashing({1, document});
                    for (std::uint64_t k = 0; k < 6; ++k) {
                        send({1, 1'000 + document * 10 + k});
                    }
                    ++ends;
                }
            }
        }
        CPPUNIT_ASSERT(ends <= 4 && isRefused(1));
        CPPUNIT_ASSERT(!isRefused(100) && !isRefused(101) && !isRefused(114));
    }

    void newPartsDoNotHideOneThatWasAnsweredBefore()
    {
        for (int n = 0; n < 500; ++n) {
            send({1});
            answer(1);
        }
        std::size_t ends = 0;
        for (std::uint64_t document = 100; document < 115; ++document) {
            for (int n = 0; n < 2; ++n) {
                if (actionOn({1, document}) != SuspectAction::Refuse) {
                    sendCrashing({1, document});
                    ++ends;
                }
            }
        }
        CPPUNIT_ASSERT(ends <= 5 && isRefused(1));
        CPPUNIT_ASSERT(!isRefused(100) && !isRefused(101) && !isRefused(114));
    }

    void crashingPartUnderNewFirstPartsIsFound()
    {
        for (std::uint64_t first = 100; first < 102; ++first) {
            sendCrashing({first, 200});
        }
        CPPUNIT_ASSERT(isRefused(200) && !isRefused(100) && !isRefused(101));
    }

    void twoCrashingPartsAreFound()
    {
        for (std::uint64_t n = 0; n < 3; ++n) {
            sendCrashing({1, 7, 100 + n});
            sendCrashing({1, 8, 200 + n});
        }
        answer(1);
        CPPUNIT_ASSERT(isRefused(7) && isRefused(8) && !isRefused(1));
        CPPUNIT_ASSERT(!isRefused(100) && !isRefused(200));
    }

    void requestsThatWereNotRunDoNotCount()
    {
        const auto it = part(1);
        send({1});
        send({1});
        m_parts.recordNotRun(std::span(&it, 1));
        crash({1});
        CPPUNIT_ASSERT_EQUAL(1U, reports().front().sent);
        answer(1);
        CPPUNIT_ASSERT_EQUAL(0U, reports().front().sent);
        m_parts.recordNotRun(std::span(&it, 1));
        CPPUNIT_ASSERT_EQUAL(0U, reports().front().sent);
    }

    /** All callers of these requests leave, so no answer shows that the part is sound. */
    void outlivedPartIsSound()
    {
        const auto it = part(1);
        const auto outlive = [&](int times) {
            for (int n = 0; n < times; ++n) {
                m_parts.recordSurvived(std::span(&it, 1), m_now);
            }
        };
        for (int n = 0; n < 10; ++n) {
            m_now += 5s;
            crash({1});
            m_now += 1s;
            outlive(8);
            CPPUNIT_ASSERT(!isRefused(1));
        }
        // Fewer may be due to servers that notice that the caller has left.
        for (int n = 0; n < 4; ++n) {
            CPPUNIT_ASSERT(!isRefused(1));
            m_now += 5s;
            crash({1});
            outlive(7);
        }
        CPPUNIT_ASSERT(isRefused(1));
    }

    void heldPartIsTestedByOneRequest()
    {
        crash({1});
        m_now += 5s;
        crash({1});
        m_now += 60s;
        const auto it = part(1);
        CPPUNIT_ASSERT(m_parts.admit(std::span(&it, 1), m_now).action == SuspectAction::RunAlone);
        CPPUNIT_ASSERT(m_parts.admit(std::span(&it, 1), m_now).action == SuspectAction::Refuse);
        m_now += 10s;
        CPPUNIT_ASSERT(m_parts.admit(std::span(&it, 1), m_now).action == SuspectAction::RunAlone);
    }

    void holdDoublesWithEachCrash()
    {
        crash({1});
        for (const Age hold : {60s, 120s, 240s, 300s, 300s}) {
            m_now += 5s;
            crash({1});
            m_now += hold - 1ms;
            CPPUNIT_ASSERT(isRefused(1));
            m_now += 1ms;
            CPPUNIT_ASSERT(!isRefused(1));
        }
    }

    /** Otherwise each gateway would test the part when the hold time ends. */
    void othersTestLater()
    {
        crash({1});
        m_now += 5s;
        crash({1});
        PartSuspects other(PartSuspectSettings{}, 5);
        CPPUNIT_ASSERT(other.merge(reports().front(), m_now));
        const auto it = part(1);
        CPPUNIT_ASSERT(other.decide(std::span(&it, 1), m_now + 119s).action == SuspectAction::Refuse);
        CPPUNIT_ASSERT(other.decide(std::span(&it, 1), m_now + 180s).action == SuspectAction::RunAlone);
    }

    void reportsMergeInAnyOrder()
    {
        crash({1});
        const auto first = reports();
        m_now += 5s;
        crash({1});
        const auto both = reports();
        m_now += 5s;
        answer(1);
        const auto cleared = reports();
        PartSuspects other{PartSuspectSettings{}};
        const auto age = [&](std::vector<PartReport> list, Age by) {
            for (auto &report : list) {
                for (auto &it : report.crashes) {
                    it.age += by;
                    it.requestAge += by;
                }
            }
            return list.front();
        };
        CPPUNIT_ASSERT(other.merge(age(both, 5s), m_now));
        CPPUNIT_ASSERT(!other.merge(age(first, 10s), m_now));
        CPPUNIT_ASSERT(!other.merge(age(both, 5s), m_now));
        const auto it = part(1);
        CPPUNIT_ASSERT(other.decide(std::span(&it, 1), m_now).action == SuspectAction::Refuse);
        CPPUNIT_ASSERT(other.merge(cleared.front(), m_now));
        CPPUNIT_ASSERT(other.decide(std::span(&it, 1), m_now).action == SuspectAction::Run);
        CPPUNIT_ASSERT(!other.merge(age(both, 5s), m_now));
        CPPUNIT_ASSERT(other.decide(std::span(&it, 1), m_now).action == SuspectAction::Run);
    }

    /** Each transmission makes an answer look later, which must not void a crash that followed it. */
    void circulatingReportsDoNotMoveAnAnswer()
    {
        answer(1);
        m_now += 1s;
        crash({1});
        auto report = reports().front();
        report.crashes.clear();
        for (int hop = 0; hop < 1'000; ++hop) {
            m_now += 10ms;
            m_parts.merge(report, m_now); // As if 10 ms had been spent on the way.
            report = reports().front();
            report.crashes.clear();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports().front().crashes.size());
    }

    /** The gateways that know the crash must learn soon that the part is sound elsewhere. */
    void answerElsewhereIsNews()
    {
        PartSuspects other{PartSuspectSettings{}};
        const auto it = part(1);
        other.recordSound(std::span(&it, 1), m_now);
        m_now += 5s;
        crash({1});
        CPPUNIT_ASSERT(other.merge(reports().front(), m_now) && other.takeNews());
        CPPUNIT_ASSERT(m_parts.merge(other.allReports(1, m_now).front(), m_now) && m_parts.takeNews());
        CPPUNIT_ASSERT(!other.merge(reports().front(), m_now) && !other.takeNews());
        m_now += 5s;
        crash({1});
        CPPUNIT_ASSERT(!isRefused(1));
    }

    void tablesAreBounded()
    {
        for (std::uint64_t n = 0; n < 10'000; ++n) {
            m_now += 1ms;
            crash({100 + n});
            answer(50'000 + n);
        }
        CPPUNIT_ASSERT(m_parts.size() <= PartSuspectSettings{}.maxParts);
        m_now += 1'300s;
        m_parts.expire(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_parts.size());
    }

    void accusedPartsKeepTheirPlace()
    {
        crash({1});
        m_now += 5s;
        crash({1});
        for (std::uint64_t n = 0; n < 2'000; ++n) {
            m_now += 1ms;
            crash({100 + n});
        }
        CPPUNIT_ASSERT(isRefused(1));
    }

    /** Accused parts go ahead, so that no process blames another part for their crashes. */
    void reportsAreSentLeastOftenFirst()
    {
        const auto next = [this] {
            std::size_t n = 0;
            const auto found = m_parts.nextReports(m_now, [&n](const PartReport &) {
                return ++n == 1;
            });
            return found.empty() ? 0 : found.front().part.low;
        };
        crash({1, 2});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next());
        m_now += 5s;
        crash({2});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next());
        for (int n = 0; n < 70; ++n) {
            next();
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, next());
    }

    void codecRoundTrips()
    {
        answer(1);
        m_now += 5s;
        crash({1, 2});
        for (const auto &it : reports()) {
            const auto decoded
                = decodePartReport(nlohmann::json::from_msgpack(nlohmann::json::to_msgpack(encodePartReport(it))));
            CPPUNIT_ASSERT(decoded->part == it.part && decoded->position == it.position && decoded->sent == it.sent);
            CPPUNIT_ASSERT(decoded->soundAge == it.soundAge);
            CPPUNIT_ASSERT_EQUAL(it.crashes.front().server, decoded->crashes.front().server);
            CPPUNIT_ASSERT(decoded->crashes.front().age == it.crashes.front().age);
            CPPUNIT_ASSERT(decoded->crashes.front().requestAge == it.crashes.front().requestAge);
        }
        for (const char *text : {"7",
                                 "[]",
                                 "[1,2,3,4,null]",
                                 "[1,2,3,4,-1,[]]",
                                 "[1,2,3,4,null,[[]]]",
                                 "[1,2,-3,4,null,[]]",
                                 "[1,2,3,4294967296,null,[]]",
                                 R"([1,2,3,4,null,[["",1,1,1]]])",
                                 R"([1,2,3,4,null,[["i",1,1,99999999999]]])",
                                 R"([1,2,3,4,"x",[]])",
                                 "[1e9,2,3,4,null,[]]"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !decodePartReport(nlohmann::json::parse(text)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartSuspectTest);

#include "key_binder.h"
#include "ledger.h"
#include "ticket.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t ownIncarnation = 7;

Ticket ticketAt(std::uint64_t tick)
{
    return makeTicket("s1", ownIncarnation, tick);
}

Ledger ledgerOf(LedgerSettings settings = {})
{
    return {"s1", ownIncarnation, settings};
}

void expectAdmission(Admission admission, Verdict verdict, const AdmitResult &result)
{
    CPPUNIT_ASSERT_EQUAL(nameOf(admissionNames, admission), nameOf(admissionNames, result.admission));
    CPPUNIT_ASSERT(verdict == result.verdict);
}

} // namespace

/** Guards the ticket format: only one spelling of a ticket is valid, so that a call never has two names. */
class TicketTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TicketTest);
    CPPUNIT_TEST(survivesRoundTrip);
    CPPUNIT_TEST(refusesOtherSpellings);
    CPPUNIT_TEST(tickIsNeverAboveTheTrueAge);
    CPPUNIT_TEST_SUITE_END();

public:
    void survivesRoundTrip()
    {
        const auto ticket = makeTicket("rack-3_a", makeIncarnation(), 1234567);
        const auto parsed = parseTicket(formatTicket(ticket));
        CPPUNIT_ASSERT(parsed && *parsed == ticket);
        CPPUNIT_ASSERT(makeTicket("a", 1, 1) != makeTicket("a", 1, 1));
    }

    void refusesOtherSpellings()
    {
        CPPUNIT_ASSERT(parseTicket("t1.s.0000000000000000.0.aaaaaaaaaaaaaaaaaaaaaaaa"));
        for (const std::string text : {"",
                                       "t2.s.0000000000000000.0.aaaaaaaaaaaaaaaaaaaaaaaa",
                                       "t1..0000000000000000.0.aaaaaaaaaaaaaaaaaaaaaaaa",
                                       "t1.a b.0000000000000000.0.aaaaaaaaaaaaaaaaaaaaaaaa",
                                       "t1.s.0.0.aaaaaaaaaaaaaaaaaaaaaaaa",
                                       "t1.s.AAAAAAAAAAAAAAAA.0.aaaaaaaaaaaaaaaaaaaaaaaa",
                                       "t1.s.0000000000000000.00.aaaaaaaaaaaaaaaaaaaaaaaa",
                                       "t1.s.0000000000000000.+1.aaaaaaaaaaaaaaaaaaaaaaaa",
                                       "t1.s.0000000000000000..aaaaaaaaaaaaaaaaaaaaaaaa",
                                       "t1.s.0000000000000000.12345678901.aaaaaaaaaaaaaaaaaaaaaaaa",
                                       "t1.s.0000000000000000.0.aaaaaaaaaaaaaaaaaaaaaaaa0",
                                       "t1.s.0000000000000000.0.aaaaaaaaaaaaaaaaaaaaaaaa.",
                                       "t1.s.0000000000000000.0.gggggggggggggggggggggggg"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseTicket(text));
        }
        auto longName = makeTicket(std::string(64, 's'), 0, 0);
        CPPUNIT_ASSERT(parseTicket(formatTicket(longName)));
        longName.server += 's';
        CPPUNIT_ASSERT(!parseTicket(formatTicket(longName)));
    }

    void tickIsNeverAboveTheTrueAge()
    {
        const std::chrono::steady_clock::time_point receivedAt(1h);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, tickLowerBound(50, receivedAt, receivedAt));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{59}, tickLowerBound(50, receivedAt, receivedAt + 10s));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{47}, tickLowerBound(50, receivedAt, receivedAt - 2500ms));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, tickLowerBound(50, receivedAt, receivedAt - 100s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TicketTest);

/** Guards the record of keyed calls: a ticket is admitted once, and not-run is never reported wrongly. */
class LedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LedgerTest);
    CPPUNIT_TEST(admitsOnceAndReplays);
    CPPUNIT_TEST(failureSealsOnlyWhenNothingWasSent);
    CPPUNIT_TEST(sealStopsLaterCopies);
    CPPUNIT_TEST(refusesForeignTickets);
    CPPUNIT_TEST(expiredTicketIsNeverAdmittedAgain);
    CPPUNIT_TEST(expiryProvesNotRunOnlyWhileEntriesAreKept);
    CPPUNIT_TEST(longCallKeepsItsEntry);
    CPPUNIT_TEST(fullLedgerEvictsNothing);
    CPPUNIT_TEST(answerMemoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void admitsOnceAndReplays()
    {
        auto ledger = ledgerOf();
        const auto t = ticketAt(10);
        expectAdmission(Admission::Admitted, Verdict::MayHaveRun, ledger.admit("w", t, 10s));
        expectAdmission(Admission::InProgress, Verdict::MayHaveRun, ledger.admit("w", t, 11s));
        expectAdmission(Admission::InProgress, Verdict::MayHaveRun, ledger.seal("w", t, 11s));
        ledger.finish(t, {201, {{"a", "b"}}, "done"}, 12s);
        ledger.fail(t, Verdict::NotRun, 12s);
        const auto result = ledger.admit("w", t, 13s);
        expectAdmission(Admission::Replay, Verdict::Run, result);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), result.answer->body);
        expectAdmission(Admission::Replay, Verdict::Run, ledger.seal("w", t, 13s));
    }

    void failureSealsOnlyWhenNothingWasSent()
    {
        auto ledger = ledgerOf();
        const auto refused = ticketAt(0);
        const auto lost = ticketAt(0);
        ledger.admit("w", refused, 1s);
        ledger.admit("w", lost, 1s);
        ledger.fail(refused, Verdict::NotRun, 2s);
        ledger.fail(lost, Verdict::MayHaveRun, 2s);
        expectAdmission(Admission::Sealed, Verdict::NotRun, ledger.admit("w", refused, 3s));
        expectAdmission(Admission::Unknown, Verdict::MayHaveRun, ledger.admit("w", lost, 3s));
    }

    void sealStopsLaterCopies()
    {
        auto ledger = ledgerOf();
        const auto t = ticketAt(0);
        expectAdmission(Admission::Sealed, Verdict::NotRun, ledger.seal("w", t, 1s));
        expectAdmission(Admission::Sealed, Verdict::NotRun, ledger.admit("w", t, 120s));
        expectAdmission(Admission::Sealed, Verdict::NotRun, ledger.admit("w", t, 200s));
    }

    void refusesForeignTickets()
    {
        auto ledger = ledgerOf();
        const auto t = ticketAt(0);
        ledger.admit("w", t, 1s);
        expectAdmission(Admission::WrongOwner, Verdict::NotRun, ledger.admit("other", t, 1s));
        expectAdmission(
            Admission::WrongIncarnation, Verdict::MayHaveRun, ledger.admit("w", makeTicket("s2", 7, 0), 1s));
        expectAdmission(
            Admission::WrongIncarnation, Verdict::MayHaveRun, ledger.admit("w", makeTicket("s1", 8, 0), 1s));
        expectAdmission(Admission::FromTheFuture, Verdict::MayHaveRun, ledger.admit("w", ticketAt(2), 1999ms));
        expectAdmission(Admission::FromTheFuture, Verdict::MayHaveRun, ledger.seal("w", ticketAt(2), 1999ms));
    }

    void expiredTicketIsNeverAdmittedAgain()
    {
        auto ledger = ledgerOf();
        const auto t = ticketAt(0);
        ledger.admit("w", t, 120s);
        ledger.finish(t, {}, 121s);
        for (const auto now : {121s, 239s, 241s}) {
            expectAdmission(Admission::Replay, Verdict::Run, ledger.admit("w", t, now));
        }
        expectAdmission(Admission::Expired, Verdict::MayHaveRun, ledger.admit("w", t, 242s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ledger.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ledger.answerBytes());
    }

    void expiryProvesNotRunOnlyWhileEntriesAreKept()
    {
        auto ledger = ledgerOf();
        expectAdmission(Admission::Admitted, Verdict::MayHaveRun, ledger.admit("w", ticketAt(0), 120s));
        expectAdmission(Admission::Expired, Verdict::NotRun, ledger.admit("w", ticketAt(0), 120001ms));
        expectAdmission(Admission::Expired, Verdict::NotRun, ledger.seal("w", ticketAt(0), 240s));
        expectAdmission(Admission::Expired, Verdict::MayHaveRun, ledger.admit("w", ticketAt(0), 240001ms));
    }

    void longCallKeepsItsEntry()
    {
        auto ledger = ledgerOf();
        const auto t = ticketAt(0);
        ledger.admit("w", t, 0s);
        expectAdmission(Admission::InProgress, Verdict::MayHaveRun, ledger.admit("w", t, 1000s));
        ledger.finish(t, {}, 1000s);
        expectAdmission(Admission::Replay, Verdict::Run, ledger.admit("w", t, 1120s));
        expectAdmission(Admission::Expired, Verdict::MayHaveRun, ledger.admit("w", t, 1121s));
    }

    void fullLedgerEvictsNothing()
    {
        LedgerSettings settings;
        settings.maxEntries = 3;
        settings.maxEntriesPerWorkspace = 2;
        auto ledger = ledgerOf(settings);
        const auto first = ticketAt(0);
        ledger.seal("w", first, 1s);
        ledger.seal("w", ticketAt(0), 1s);
        expectAdmission(Admission::Full, Verdict::MayHaveRun, ledger.admit("w", ticketAt(0), 1s));
        expectAdmission(Admission::Admitted, Verdict::MayHaveRun, ledger.admit("v", ticketAt(0), 1s));
        expectAdmission(Admission::Full, Verdict::MayHaveRun, ledger.seal("u", ticketAt(0), 1s));
        expectAdmission(Admission::Sealed, Verdict::NotRun, ledger.admit("w", first, 240s));
        expectAdmission(Admission::Admitted, Verdict::MayHaveRun, ledger.admit("w", ticketAt(240), 241s));
    }

    void answerMemoryIsBounded()
    {
        LedgerSettings settings;
        settings.maxAnswerBytes = 10;
        settings.maxAnswerBytesPerEntry = 6;
        auto ledger = ledgerOf(settings);
        for (const auto &[body, admission] : {std::pair{"1234567", Admission::Finished},
                                              std::pair{"123456", Admission::Replay},
                                              std::pair{"12345", Admission::Finished},
                                              std::pair{"1234", Admission::Replay}}) {
            const auto t = ticketAt(0);
            ledger.admit("w", t, 1s);
            ledger.finish(t, {200, {}, body}, 1s);
            expectAdmission(admission, Verdict::Run, ledger.admit("w", t, 1s));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, ledger.answerBytes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

/** Guards key bindings: one ticket per key, and no new one while a binding of an earlier owner may be in use. */
class KeyBinderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeyBinderTest);
    CPPUNIT_TEST(firstTicketWins);
    CPPUNIT_TEST(waitsForTheWindow);
    CPPUNIT_TEST(refusesStaleMessages);
    CPPUNIT_TEST(sealedKeyIsNeverBound);
    CPPUNIT_TEST(entryIsKeptAfterItsLastUse);
    CPPUNIT_TEST(fullBinderEvictsNothing);
    CPPUNIT_TEST(ownershipCountsFromWhenItWasLearned);
    CPPUNIT_TEST_SUITE_END();

    const std::string m_first = formatTicket(ticketAt(1));
    const std::string m_second = formatTicket(ticketAt(1));

    static BindRequest request(std::string_view key, std::uint64_t tick, std::string_view workspace = "w")
    {
        return {workspace, "pay", key, {ownIncarnation, tick}};
    }

    static void expectBinding(Binding binding, Verdict verdict, std::string_view ticket, const BindResult &result)
    {
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(binding), static_cast<int>(result.binding));
        CPPUNIT_ASSERT(verdict == result.verdict);
        CPPUNIT_ASSERT_EQUAL(std::string(ticket), result.ticket);
    }

public:
    void firstTicketWins()
    {
        KeyBinder binder(ownIncarnation, {});
        expectBinding(Binding::Bound, Verdict::MayHaveRun, m_first, binder.bind(request("k", 200), m_first, 0s, 201s));
        expectBinding(Binding::Bound, Verdict::MayHaveRun, m_first, binder.bind(request("k", 200), m_second, 0s, 202s));
        expectBinding(
            Binding::Bound, Verdict::MayHaveRun, m_second, binder.bind(request("k", 200, "v"), m_second, 0s, 202s));
        expectBinding(Binding::Invalid, Verdict::MayHaveRun, "", binder.bind(request("l", 200), "t1.x", 0s, 201s));
    }

    void waitsForTheWindow()
    {
        KeyBinder binder(ownIncarnation, {});
        expectBinding(Binding::TooRecent, Verdict::MayHaveRun, "", binder.bind(request("k", 135), m_first, 0s, 135s));
        expectBinding(Binding::TooRecent, Verdict::MayHaveRun, "", binder.sealUnbound(request("k", 135), 0s, 135s));
        expectBinding(Binding::NotOwner, Verdict::MayHaveRun, "", binder.bind(request("k", 136), m_first, {}, 136s));
        expectBinding(Binding::Bound, Verdict::MayHaveRun, m_first, binder.bind(request("k", 136), m_first, 0s, 136s));
    }

    void refusesStaleMessages()
    {
        KeyBinder binder(ownIncarnation, {});
        expectBinding(Binding::Stale, Verdict::MayHaveRun, "", binder.bind(request("k", 200), m_first, 0s, 215001ms));
        auto otherRun = request("k", 210);
        otherRun.ownerAge.incarnation = ownIncarnation + 1;
        expectBinding(Binding::Stale, Verdict::MayHaveRun, "", binder.bind(otherRun, m_first, 0s, 211s));
        expectBinding(Binding::Bound, Verdict::MayHaveRun, m_first, binder.bind(request("k", 200), m_first, 0s, 215s));
    }

    void sealedKeyIsNeverBound()
    {
        KeyBinder binder(ownIncarnation, {});
        expectBinding(Binding::Sealed, Verdict::NotRun, "", binder.sealUnbound(request("k", 200), 0s, 201s));
        expectBinding(Binding::Sealed, Verdict::NotRun, "", binder.bind(request("k", 200), m_first, 0s, 202s));
        binder.bind(request("l", 200), m_first, 0s, 202s);
        expectBinding(Binding::Bound, Verdict::MayHaveRun, m_first, binder.sealUnbound(request("l", 200), 0s, 203s));
    }

    void entryIsKeptAfterItsLastUse()
    {
        KeyBinder binder(ownIncarnation, {});
        binder.bind(request("k", 200), m_first, 0s, 200s);
        binder.bind(request("k", 200), m_first, 0s, 330s);
        expectBinding(Binding::Bound, Verdict::MayHaveRun, m_first, binder.bind(request("k", 464), m_second, 0s, 465s));
        binder.expire(601s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, binder.size());
    }

    void fullBinderEvictsNothing()
    {
        KeyBinderSettings settings;
        settings.maxEntries = 2;
        settings.maxEntriesPerWorkspace = 1;
        KeyBinder binder(ownIncarnation, settings);
        binder.bind(request("k", 200), m_first, 0s, 200s);
        expectBinding(Binding::Full, Verdict::MayHaveRun, "", binder.bind(request("l", 200), m_first, 0s, 200s));
        binder.sealUnbound(request("l", 200, "v"), 0s, 200s);
        expectBinding(Binding::Full, Verdict::MayHaveRun, "", binder.bind(request("l", 200, "u"), m_first, 0s, 200s));
        expectBinding(Binding::Bound, Verdict::MayHaveRun, m_first, binder.bind(request("k", 200), m_second, 0s, 200s));
    }

    void ownershipCountsFromWhenItWasLearned()
    {
        const auto documentWith = [](std::vector<std::string> owners) {
            Document document;
            Service service;
            service.name = "pay";
            service.keyOwners = std::move(owners);
            document.services.add(service);
            return document;
        };
        KeyOwnership ownership("s1");
        CPPUNIT_ASSERT(!ownership.ownedSince("pay", 0));
        ownership.update(documentWith({"s1", "s2"}), 5s);
        ownership.update(documentWith({"s1", "s1"}), 50s);
        CPPUNIT_ASSERT(ownership.ownedSince("pay", 0) == Age(5s));
        CPPUNIT_ASSERT(ownership.ownedSince("pay", 1) == Age(50s));
        CPPUNIT_ASSERT(!ownership.ownedSince("pay", 2));
        ownership.update(documentWith({"s1", "s3"}), 60s);
        CPPUNIT_ASSERT(!ownership.ownedSince("pay", 1));
        ownership.update(documentWith({"s1", "s3", "s4"}), 70s);
        CPPUNIT_ASSERT(ownership.ownedSince("pay", 0) == Age(70s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyBinderTest);

#include "config_store.h"
#include "config_watch.h"
#include "document_patch.h"
#include "document_sample.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const ConfigStore::Clock::time_point start{};

std::string textOf(std::uint64_t version, int weight = 1)
{
    auto document = sampleDocument(version);
    document["plans"][0]["weight"] = weight;
    return document.dump();
}

/** Returns version 9, in which a workspace refers to a plan that does not exist. */
std::string invalidText()
{
    auto document = sampleDocument(9);
    document["workspaces"][0]["plan"] = "nothing";
    return document.dump();
}

ConfigStore storeWith(std::initializer_list<std::string> texts)
{
    ConfigStore store;
    for (const auto &it : texts) {
        store.offer(it);
    }
    return store;
}

/** Lets @p to query @p from until it has nothing left to query. */
void synchronise(ConfigStore &to, const ConfigStore &from)
{
    for (int i = 0; i < 3; ++i) {
        if (const auto query = to.query(from.announcement(), start)) {
            to.applyUpdate(from.encodeUpdate(*query).value_or(""), from.announcement(), start);
        }
    }
}

std::string replaced(std::string text, const std::string &what, const std::string &with)
{
    const auto at = text.find(what);
    CPPUNIT_ASSERT_MESSAGE(what + " in " + text, at != std::string::npos);
    return text.replace(at, what.size(), with);
}

} // namespace

/** Guards against corrupt and inconsistent updates, and against full documents being sent where a patch would do. */
class ConfigStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigStoreTest);
    CPPUNIT_TEST(refusesInconsistentUpdates);
    CPPUNIT_TEST(refusesOlderDocuments);
    CPPUNIT_TEST(forwardsRejectedDocuments);
    CPPUNIT_TEST(rejectedDocumentDoesNotHideOthers);
    CPPUNIT_TEST(keepsKeyOwners);
    CPPUNIT_TEST(patchesAreSmall);
    CPPUNIT_TEST(backsOffAfterFailures);
    CPPUNIT_TEST(fewInstancesWatch);
    CPPUNIT_TEST(readsStayWithinTheBudget);
    CPPUNIT_TEST_SUITE_END();

    void expectRefused(const std::string &update, const std::string &reason, DocumentAnnouncement peer = {})
    {
        auto store = storeWith({textOf(5)});
        const auto before = store.activeDocument();
        const auto outcome = store.applyUpdate(update, peer, start);
        CPPUNIT_ASSERT_MESSAGE(outcome.reason, outcome.reason.find(reason) != std::string::npos);
        CPPUNIT_ASSERT(outcome.status == ApplyStatus::Refused);
        CPPUNIT_ASSERT(store.activeDocument().ref == before.ref && store.activeDocument().document == before.document);
        CPPUNIT_ASSERT(store.announcement().newest == before.ref);
    }

public:
    void refusesInconsistentUpdates()
    {
        const auto peer = storeWith({textOf(5), textOf(7, 3)});
        const auto base = storeWith({textOf(5)}).activeDocument().ref;
        const auto patch = *peer.encodeUpdate({base, base});
        const auto whole = *peer.encodeUpdate({});
        CPPUNIT_ASSERT(patch.find("\"patch\"") != std::string::npos);
        CPPUNIT_ASSERT(whole.find("\"document\"") != std::string::npos);

        auto untrue = peer.announcement();
        untrue.newest.version = 9;
        expectRefused(whole, "announced version 9 and delivered version 7", untrue);
        expectRefused(replaced(patch, "\"version\":7", "\"version\":9"), "the document has version 7");
        expectRefused(replaced(whole, "\"weight\":3", "\"weight\":4"), "digest");
        expectRefused(replaced(patch, "\"value\":3", "\"value\":4"), "digest");
        expectRefused(replaced(patch, "\"from_version\":5", "\"from_version\":4"), "which is not available");
        expectRefused(replaced(patch, "/plans/0/weight", "/plans/7/weight"), "does not apply");
        expectRefused(replaced(patch, "\"replace\"", "\"copy\""), "list of the operations");
        expectRefused(whole.substr(0, whole.size() / 2), "unexpected end");
        expectRefused(R"({"updates":[{"document":{}}]})", "no version and digest");
    }

    void refusesOlderDocuments()
    {
        auto store = storeWith({textOf(7), textOf(5)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), store.activeDocument().ref.version);
        const auto older = storeWith({textOf(6)});
        const auto outcome = store.applyUpdate(*older.encodeUpdate({}), older.announcement(), start);
        CPPUNIT_ASSERT(outcome.status == ApplyStatus::Unchanged);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), store.activeDocument().ref.version);
    }

    /** Of two documents with the same version, the same one wins in either order of arrival, and they are counted. */
    void forwardsRejectedDocuments()
    {
        const auto first = storeWith({textOf(5), textOf(7, 1), textOf(7, 2)});
        const auto second = storeWith({textOf(5), textOf(7, 2), textOf(7, 1)});
        CPPUNIT_ASSERT(first.activeDocument().ref == second.activeDocument().ref);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), first.counters().conflicts);

        auto old = storeWith({textOf(7), invalidText()});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), old.activeDocument().ref.version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), old.announcement().newest.version);
        // An instance whose program accepts the document gets it through one that rejects it.
        ConfigStore accepting({}, [](const json &document) {
            auto fixed = document;
            fixed["workspaces"][0]["plan"] = "p0";
            return parseDocumentJson(fixed);
        });
        synchronise(accepting, old);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), accepting.activeDocument().ref.version);
    }

    /** An instance that has only seen the rejected document must still get the active one of its peers. */
    void rejectedDocumentDoesNotHideOthers()
    {
        auto behind = storeWith({textOf(5), invalidText()});
        const auto peer = storeWith({textOf(5), textOf(7), invalidText()});
        synchronise(behind, peer);
        CPPUNIT_ASSERT(behind.activeDocument().ref == peer.activeDocument().ref);
        CPPUNIT_ASSERT(behind.offer(textOf(8)).status == ApplyStatus::Applied);
    }

    void keepsKeyOwners()
    {
        auto store = storeWith({textOf(5)});
        auto moved = sampleDocument(6);
        moved["services"][0]["key_owners"] = {"confirm-1"};
        const auto outcome = store.offer(moved.dump());
        CPPUNIT_ASSERT(outcome.status == ApplyStatus::KeptForPeers);
        CPPUNIT_ASSERT(outcome.reason.find("key_owners") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), store.activeDocument().ref.version);
    }

    void patchesAreSmall()
    {
        const SampleSize size{2, 2, 2, 1000};
        auto before = sampleDocument(5, size);
        auto after = sampleDocument(6, size);
        auto &rows = after["workspaces"];
        rows.erase(900);
        const json row{{"name", "new"}, {"keys", json::array()}, {"plan", "p1"}};
        rows.insert(rows.begin() + 1, row);
        const auto patch = diffDocuments(before, after);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), patch.size());
        CPPUNIT_ASSERT(!patchDocument(before, patch));
        CPPUNIT_ASSERT(before == after);
    }

    void backsOffAfterFailures()
    {
        auto store = storeWith({textOf(5)});
        const auto peer = storeWith({textOf(7)}).announcement();
        CPPUNIT_ASSERT(store.query(peer, start)->from == store.activeDocument().ref);
        store.applyUpdate("damaged", peer, start);
        CPPUNIT_ASSERT(!store.query(peer, start + 999ms));
        // The patch may fail again, so a full document is requested.
        CPPUNIT_ASSERT(store.query(peer, start + 1s)->from == DocumentRef{});
        store.applyUpdate("damaged", peer, start + 1s);
        CPPUNIT_ASSERT(!store.query(peer, start + 2s));
        // The delay does not apply to another document.
        CPPUNIT_ASSERT(store.query(storeWith({textOf(8)}).announcement(), start + 2s));
    }

    void fewInstancesWatch()
    {
        std::vector<WatchEntry> fleet;
        fleet.reserve(130);
        for (int i = 0; i < 130; ++i) {
            fleet.push_back({fmt::format("e{}", i), fmt::format("d{}", i % 13)});
        }
        std::vector<ConfigWatchPolicy> policies;
        policies.reserve(fleet.size());
        int watchers = 0;
        for (const auto &it : fleet) {
            policies.emplace_back(it, WatchSettings{}, 1, start);
            policies.back().setFleet(fleet, fleet.size());
            watchers += policies.back().isWatcher() ? 1 : 0;
            // All instances read until they receive a confirmation.
            CPPUNIT_ASSERT(policies.back().nextRead() <= start + 130ms);
            policies.back().confirmed(start, 0ms);
            // Confirmations from peers keep all instances but the watchers from reading.
            CPPUNIT_ASSERT(policies.back().isWatcher() == (policies.back().nextRead() < start + 3s));
        }
        CPPUNIT_ASSERT_EQUAL(26, watchers);
        // A confirmation that only circulates between peers does not count as a new one.
        auto it = std::ranges::find(policies, false, &ConfigWatchPolicy::isWatcher);
        const auto due = it->nextRead();
        it->confirmed(start + 2s, 1990ms);
        CPPUNIT_ASSERT(it->nextRead() == due);
        it->confirmed(start + 2s, 1s);
        CPPUNIT_ASSERT(it->nextRead() >= start + 5s);
    }

    /** While the service is down, all 9,000 entries and agents read it; this must stay within half of its capacity. */
    void readsStayWithinTheBudget()
    {
        constexpr int fleetSize = 9000;
        std::vector<ConfigWatchPolicy> policies;
        policies.reserve(fleetSize);
        for (int i = 0; i < fleetSize; ++i) {
            policies.emplace_back(WatchEntry{fmt::format("e{}", i), "d0"}, WatchSettings{}, i, start);
            policies.back().setFleet({{"e0", "d0"}, {"e1", "d0"}, {"e2", "d0"}}, fleetSize);
        }
        std::vector<int> reads(60);
        for (auto now = start; now < start + 60s; now += 100ms) {
            for (auto &it : policies) {
                if (it.nextRead() <= now) {
                    ++reads[static_cast<std::size_t>((now - start) / 1s)];
                    it.readEnded(now, ReadResult::Failed);
                }
            }
        }
        const int most = *std::ranges::max_element(reads);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} reads in a second", most), most <= 1200);
        CPPUNIT_ASSERT(reads.back() > 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStoreTest);

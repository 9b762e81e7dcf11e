#include "backend_table.h"
#include "evacuation.h"
#include "feed_relay_codec.h"
#include "gateway_route.h"
#include "platform_dialect.h"
#include "region_map.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards against requests that reach an evacuated failure domain, or a region that the operators have not allowed. */
class EvacuationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationTest);
    CPPUNIT_TEST(evacuatedDomainGetsNoRequests);
    CPPUNIT_TEST(serverAnnouncedDuringAnEvacuationGetsNone);
    CPPUNIT_TEST(allDomainsEvacuatedLeaveNoServer);
    CPPUNIT_TEST(otherItemsAreNoEvacuations);
    CPPUNIT_TEST(snapshotWithoutAnEvacuationEndsIt);
    CPPUNIT_TEST(restoredStoreDoesNotEndAnEvacuationAtOnce);
    CPPUNIT_TEST(evacuationThatIsWrittenAgainStays);
    CPPUNIT_TEST(followedGatewayStatesTheWholeSet);
    CPPUNIT_TEST(reportKeepsEvacuatedDomains);
    CPPUNIT_TEST(bothListsOfRegionsApply);
    CPPUNIT_TEST(domainWithoutARegionIsNotAllowed);
    CPPUNIT_TEST(keyOnARouteWithoutKeysRestrictsNothing);
    CPPUNIT_TEST_SUITE_END();

    const GatewayDialect m_dialect = platformDialect();
    TimePoint m_now{1'000s};
    EvacuatedDomains m_domains{m_dialect};

    static StoreChange change(const std::string &domain, bool isDeleted = false)
    {
        StoreChange it;
        it.items = {{"op/evacuate/" + domain, isDeleted ? "" : "{}", isDeleted}};
        return it;
    }

    static StoreChange snapshot(bool isNewEra)
    {
        StoreChange it;
        it.isSnapshot = true;
        if (isNewEra) {
            it.replaced = StorePosition{};
        }
        return it;
    }

    static BackendTable tableOfTwoDomains()
    {
        BackendTable table("d1");
        for (const std::string domain : {"d1", "d2"}) {
            BackendRecord record;
            record.id = "i-" + domain;
            record.service = "s";
            record.address = "127.0.0.1:1";
            record.domain = domain;
            table.upsert(record);
        }
        return table;
    }

public:
    void evacuatedDomainGetsNoRequests()
    {
        auto table = tableOfTwoDomains();
        std::mt19937_64 random(1);
        table.setEvacuated({"d1"});
        for (int n = 0; n < 20; ++n) {
            CPPUNIT_ASSERT_EQUAL(std::string("i-d2"), table.choose(m_now, "s", {}, random)->server.id);
        }
        table.setEvacuated({});
        CPPUNIT_ASSERT_EQUAL(std::string("i-d1"), table.choose(m_now, "s", {}, random)->server.id);
    }

    void serverAnnouncedDuringAnEvacuationGetsNone()
    {
        BackendTable table("d1");
        std::mt19937_64 random(1);
        table.setEvacuated({"d1"});
        BackendRecord record;
        record.id = "i";
        record.service = "s";
        record.domain = "d1";
        table.upsert(record);
        CPPUNIT_ASSERT(!table.choose(m_now, "s", {}, random));
        record.address = "127.0.0.1:2";
        table.upsert(record);
        CPPUNIT_ASSERT(!table.choose(m_now, "s", {}, random));
    }

    void allDomainsEvacuatedLeaveNoServer()
    {
        auto table = tableOfTwoDomains();
        std::mt19937_64 random(1);
        table.setEvacuated({"d1", "d2"});
        CPPUNIT_ASSERT(!table.choose(m_now, "s", {}, random));
        CPPUNIT_ASSERT(table.isDown(m_now, "s"));
    }

    void otherItemsAreNoEvacuations()
    {
        StoreChange it;
        it.items = {{"op/config", "{}", false}, {"op/evacuate/", "{}", false}, {"op/evacuated", "{}", false}};
        m_domains.apply(m_now, it);
        CPPUNIT_ASSERT(m_domains.domains().empty());
    }

    void snapshotWithoutAnEvacuationEndsIt()
    {
        m_domains.apply(m_now, change("d1"));
        CPPUNIT_ASSERT(m_domains.domains().contains("d1"));
        m_domains.apply(m_now, snapshot(false));
        CPPUNIT_ASSERT(m_domains.domains().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_domains.takeChanges().size());
    }

    void restoredStoreDoesNotEndAnEvacuationAtOnce()
    {
        m_domains.apply(m_now, change("d1"));
        m_domains.apply(m_now, snapshot(true));
        m_domains.tick(m_now + 2'200ms);
        CPPUNIT_ASSERT(m_domains.domains().contains("d1"));
        m_domains.tick(m_now + 2'400ms);
        CPPUNIT_ASSERT(m_domains.domains().empty());
    }

    void evacuationThatIsWrittenAgainStays()
    {
        m_domains.apply(m_now, change("d1"));
        m_domains.apply(m_now, snapshot(true));
        m_domains.apply(m_now + 1s, change("d1"));
        m_domains.tick(m_now + 10s);
        CPPUNIT_ASSERT(m_domains.domains().contains("d1"));
    }

    void followedGatewayStatesTheWholeSet()
    {
        m_domains.replace(m_now, {"d1", "d2"});
        m_domains.replace(m_now, {"d2"});
        CPPUNIT_ASSERT(m_domains.domains() == std::set<std::string>{"d2"});
    }

    void reportKeepsEvacuatedDomains()
    {
        FeedReport report;
        report.evacuated = {"d1", "d2"};
        const auto decoded = decodeFeedReport(encodeFeedReport(report));
        CPPUNIT_ASSERT(decoded && decoded.value->evacuated == report.evacuated);
    }

    void bothListsOfRegionsApply()
    {
        const auto map = parseRegions({"d1:r1", "d2:r2", "d3:r3"});
        RoutingRule rule;
        RoutingWorkspace workspace;
        CPPUNIT_ASSERT(!map.allowedDomains(rule, nullptr));
        CPPUNIT_ASSERT(!map.allowedDomains(rule, &workspace));
        rule.allowedRegions = {"r1", "r2"};
        CPPUNIT_ASSERT(map.allowedDomains(rule, nullptr) == (std::set<std::string>{"d1", "d2"}));
        workspace.allowedRegions = {"r2", "r3"};
        CPPUNIT_ASSERT(map.allowedDomains(rule, &workspace) == std::set<std::string>{"d2"});
        rule.allowedRegions = {"r1"};
        CPPUNIT_ASSERT(map.allowedDomains(rule, &workspace)->empty());
    }

    void domainWithoutARegionIsNotAllowed()
    {
        auto table = tableOfTwoDomains();
        std::mt19937_64 random(1);
        RoutingRule rule;
        rule.allowedRegions = {"r1"};
        const auto domains = parseRegions({"d2:r1"}).allowedDomains(rule, nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("i-d2"),
                             table.choose(m_now, "s", {}, random, std::nullopt, {&*domains, {}})->server.id);
        const auto none = parseRegions({}).allowedDomains(rule, nullptr);
        CPPUNIT_ASSERT(!table.choose(m_now, "s", {}, random, std::nullopt, {&*none, {}}));
    }
    /** Such a request belongs to no workspace, whatever key its caller sends. */
    void keyOnARouteWithoutKeysRestrictsNothing()
    {
        RoutingConfig config;
        config.workspaces = {{"w", {"k"}, std::nullopt, {"r1"}}};
        for (const bool allowsAnonymous : {true, false}) {
            RoutingRule rule;
            rule.host = "h";
            rule.prefix = allowsAnonymous ? "/open/" : "/keyed/";
            rule.targets = {{"s", 1}};
            rule.allowsAnonymous = allowsAnonymous;
            config.rules.push_back(rule);
        }
        const auto table = std::make_shared<const RoutingTable>(config);
        const auto regions = parseRegions({"d1:r1", "d2:r2"});
        std::mt19937_64 random(1);
        const auto domainsOf = [&](const std::string &target) {
            CallerFields caller;
            caller.key = "k";
            HttpHead head;
            head.target = target;
            head.headers = {{"Host", "h"}};
            auto routed = routeRequest(m_now, table, ConfigFreshness::Recent, regions, caller, head, "", random);
            return std::get<ExchangeRequest>(routed).allowedDomains;
        };
        CPPUNIT_ASSERT(!domainsOf("/open/x"));
        CPPUNIT_ASSERT(domainsOf("/keyed/x") == std::set<std::string>{"d1"});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

#include "routing_table.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;

/** Guards against requests being routed to a wrong service or attributed to a wrong workspace. */
class RoutingTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingTableTest);
    CPPUNIT_TEST(matchesLongestPrefixOfHost);
    CPPUNIT_TEST(matchesWholeSegmentsOnly);
    CPPUNIT_TEST(splitsByWeight);
    CPPUNIT_TEST(findsWorkspaceByEachKey);
    CPPUNIT_TEST(lookupIsIndependentOfRuleCount);
    CPPUNIT_TEST_SUITE_END();

    static RoutingRule rule(std::string name, std::string host, std::string prefix)
    {
        RoutingRule it;
        it.name = std::move(name);
        it.host = std::move(host);
        it.prefix = std::move(prefix);
        it.targets = {{"s", 1}};
        return it;
    }

    static std::string nameAt(const RoutingTable &table, std::string_view host, std::string_view path)
    {
        const auto *found = table.findRule(host, path);
        return found == nullptr ? "" : found->name;
    }

public:
    void matchesLongestPrefixOfHost()
    {
        RoutingConfig config;
        config.rules
            = {rule("root", "a", "/"), rule("short", "a", "/x/"), rule("long", "a", "/x/y/"), rule("b", "b", "/x/")};
        const RoutingTable table(config);
        CPPUNIT_ASSERT_EQUAL(std::string("long"), nameAt(table, "a", "/x/y/z"));
        CPPUNIT_ASSERT_EQUAL(std::string("short"), nameAt(table, "a", "/x/z/y/"));
        CPPUNIT_ASSERT_EQUAL(std::string("root"), nameAt(table, "a", "/other"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), nameAt(table, "b", "/x/y/z"));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameAt(table, "b", "/other"));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameAt(table, "c", "/x/"));
    }

    void matchesWholeSegmentsOnly()
    {
        RoutingConfig config;
        config.rules = {rule("x", "a", "/x/")};
        const RoutingTable table(config);
        CPPUNIT_ASSERT_EQUAL(std::string(), nameAt(table, "a", "/xy"));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameAt(table, "a", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameAt(table, "a", ""));
    }

    void splitsByWeight()
    {
        auto it = rule("x", "a", "/");
        it.targets = {{"many", 90}, {"few", 10}, {"none", 0}};
        CPPUNIT_ASSERT_EQUAL(std::string("many"), RoutingTable::chooseService(it, 0.0));
        CPPUNIT_ASSERT_EQUAL(std::string("many"), RoutingTable::chooseService(it, 0.899));
        CPPUNIT_ASSERT_EQUAL(std::string("few"), RoutingTable::chooseService(it, 0.901));
        CPPUNIT_ASSERT_EQUAL(std::string("few"), RoutingTable::chooseService(it, 0.999));
    }

    void findsWorkspaceByEachKey()
    {
        RoutingConfig config;
        config.workspaces = {{"one", {"k1", "k2"}, std::nullopt}, {"two", {"k3"}, 4}};
        const RoutingTable table(config);
        CPPUNIT_ASSERT(table.needsKeys());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), table.findWorkspace("k2")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), table.findWorkspace("k3")->name);
        CPPUNIT_ASSERT(table.findWorkspace("k4") == nullptr);
        CPPUNIT_ASSERT(table.findWorkspace("") == nullptr);
    }

    /** The number of lookups depends on the path of the request only, not on the number of rules. */
    void lookupIsIndependentOfRuleCount()
    {
        RoutingConfig config;
        for (int n = 0; n < 5'000; ++n) {
            config.rules.push_back(rule(std::to_string(n), "a", "/p" + std::to_string(n) + "/"));
        }
        const RoutingTable table(config);
        CPPUNIT_ASSERT_EQUAL(std::string("4999"), nameAt(table, "a", "/p4999/q"));
        CPPUNIT_ASSERT_EQUAL(std::string("0"), nameAt(table, "a", "/p0/"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTableTest);

#include "document_sample.h"
#include "document_tool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace turmericline;
using nlohmann::json;

namespace {

struct InvalidValueCase
{
    const char *pointer; ///< JSON pointer of the value to replace.
    json value;
    const char *path; ///< Path at which the error must be reported.
};

const std::vector<InvalidValueCase> invalidValueCases{
    {"/zork", 1, "$.zork"},
    {"/version", 0, "$.version"},
    {"/version", 1.5, "$.version"},
    {"/key_lifetime_s", "120", "$.key_lifetime_s"},
    {"/services/1/name", "confirm", "$.services[1].name"},
    {"/services/0/kind", "modell", "$.services[0].kind"},
    {"/services/0/key_owners", json::array(), "$.services[0].key_owners"},
    {"/services/0/key_owners/0", "nobody", "$.services[0].key_owners[0]"},
    {"/services/0/key_owners/0", "model-0-0", "$.services[0].key_owners[0]"},
    {"/services/0/calls/0/path", "/a*b", "$.services[0].calls[0].path"},
    {"/services/0/model", "m", "$.services[0].model"},
    {"/backend_servers/2/service", "nothing", "$.backend_servers[2].service"},
    {"/backend_servers/2/agent", "10.0.0.1", "$.backend_servers[2].agent"},
    {"/backend_servers/2/agent", "host:80", "$.backend_servers[2].agent"},
    {"/backend_servers/2/agent", "10.4.1.1:7000", "$.backend_servers[2].agent"},
    {"/backend_servers/2/name", "a.b", "$.backend_servers[2].name"},
    {"/backend_servers/2/slots", 0, "$.backend_servers[2].slots"},
    {"/plans/0/weight", -1, "$.plans[0].weight"},
    {"/plans/0/services/0", "nothing", "$.plans[0].services[0]"},
    {"/workspaces/3/plan", "nothing", "$.workspaces[3].plan"},
    {"/workspaces/3/keys/0", "short", "$.workspaces[3].keys[0]"},
    {"/workspaces/3/keys/0", "AAAAAAAAAAAAAAAAAAAAAB", "$.workspaces[3].keys[0]"},
    {"/workspaces/3/keys/0", keyDigest("w00002"), "$.workspaces[3].keys[0]"},
    {"/placement/hold_from", "24:00", "$.placement.hold_from"},
    {"/placement/a b", 1, "$.placement[\"a b\"]"},
};

Document parsed(const json &document)
{
    auto parse = parseDocument(document.dump());
    CPPUNIT_ASSERT_MESSAGE(parse.errors.empty() ? "" : parse.errors[0].path + parse.errors[0].message, parse.document);
    return std::move(*parse.document);
}

bool hasError(const std::vector<DocumentError> &errors, const std::string &path)
{
    return std::ranges::any_of(errors, [&](const auto &it) {
        return it.path == path;
    });
}

} // namespace

/** Guards the validation rules of the configuration document and the error paths that operators see. */
class DocumentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocumentTest);
    CPPUNIT_TEST(reportsEachErrorAtItsPath);
    CPPUNIT_TEST(reportsAllErrorsOfADocument);
    CPPUNIT_TEST(rejectsBadText);
    CPPUNIT_TEST(keepsKeysOnTheirOwners);
    CPPUNIT_TEST(findsWorkspacesCallsAndServers);
    CPPUNIT_TEST(checksFiles);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportsEachErrorAtItsPath()
    {
        for (const auto &it : invalidValueCases) {
            auto document = sampleDocument(7);
            document[json::json_pointer(it.pointer)] = it.value;
            const auto errors = parseDocument(document.dump()).errors;
            CPPUNIT_ASSERT_MESSAGE(std::string(it.pointer) + " = " + it.value.dump(), hasError(errors, it.path));
        }
    }

    void reportsAllErrorsOfADocument()
    {
        auto document = sampleDocument(7);
        document["zork"] = 1;
        document["plans"][0]["weight"] = "x";
        document["plans"][1].erase("name");
        document["workspaces"][9]["plan"] = 3;
        const auto errors = parseDocument(document.dump()).errors;
        for (const auto *path : {"$.zork", "$.plans[0].weight", "$.plans[1].name", "$.workspaces[9].plan"}) {
            CPPUNIT_ASSERT_MESSAGE(path, hasError(errors, path));
        }
    }

    void rejectsBadText()
    {
        CPPUNIT_ASSERT(hasError(parseDocument(R"({"a":{"b":1,"b":2}})").errors, "$.a.b"));
        CPPUNIT_ASSERT(hasError(parseDocument("{\"a\":\"\xff\"}").errors, "$"));
        CPPUNIT_ASSERT(hasError(
            parseDocument(std::string(100000, '[')).errors, "$" + [] {
                std::string text;
                for (int i = 0; i < 31; ++i) {
                    text += "[0]";
                }
                return text;
            }()));
        const auto text = sampleDocument(7).dump();
        CPPUNIT_ASSERT(parseDocument(text + std::string(maxDocumentBytes - text.size(), ' ')).document);
        CPPUNIT_ASSERT(!parseDocument(text + std::string(maxDocumentBytes - text.size() + 1, ' ')).document);
    }

    void keepsKeysOnTheirOwners()
    {
        const auto withOwners = [](const json &owners, const std::string &without = {}) {
            auto document = sampleDocument(7);
            document["services"][0]["key_owners"] = owners;
            auto &servers = document["backend_servers"];
            servers.erase(std::remove_if(servers.begin(),
                                         servers.end(),
                                         [&](const json &it) {
                                             return it["name"] == without;
                                         }),
                          servers.end());
            return parsed(document);
        };
        const auto from = withOwners({"confirm-0", "confirm-1"});
        const auto isAllowed = [&](const Document &to) {
            return checkTransition(from, to).empty();
        };
        CPPUNIT_ASSERT(isAllowed(from));
        CPPUNIT_ASSERT(isAllowed(withOwners({"confirm-0", "confirm-1", "confirm-0", "confirm-1"})));
        CPPUNIT_ASSERT(isAllowed(withOwners({"confirm-2", "confirm-1"}, "confirm-0")));
        CPPUNIT_ASSERT(!isAllowed(withOwners({"confirm-2", "confirm-1"})));
        CPPUNIT_ASSERT(!isAllowed(withOwners({"confirm-1"}, "confirm-0")));
        CPPUNIT_ASSERT(!isAllowed(withOwners({"confirm-0", "confirm-1", "confirm-2"})));
        CPPUNIT_ASSERT(!isAllowed(withOwners({"confirm-0", "confirm-1", "confirm-2", "confirm-1"})));
    }

    void findsWorkspacesCallsAndServers()
    {
        const auto document = parsed(sampleDocument(7));
        // First 16 bytes of SHA-256 of "abc" (FIPS 180-2 example) in base64url.
        CPPUNIT_ASSERT_EQUAL(std::string("ungWv48Bz-pBQUDeXa4iIw"), keyDigest("abc"));
        const auto found = findWorkspaceByKey(document, keyDigest("w00004"));
        CPPUNIT_ASSERT_EQUAL(std::string("w00004"), document.workspaces[found].name);
        CPPUNIT_ASSERT(!findWorkspaceByKey(document, keyDigest("other")).isValid());

        const auto id = document.services.find("confirm");
        const auto &service = document.services[id];
        CPPUNIT_ASSERT(isIdempotentCall(service, "GET", "/status/7?x=1"));
        CPPUNIT_ASSERT(!isIdempotentCall(service, "POST", "/status/7"));
        CPPUNIT_ASSERT(!isIdempotentCall(service, "GET", "/status/../acks"));
        CPPUNIT_ASSERT(!isIdempotentCall(service, "GET", "/status/%2e%2e/acks"));
        CPPUNIT_ASSERT(isIdempotentCall(document.services[document.services.find("model-0")], "POST", "/any%20thing"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), serversOf(document, id).size());
        CPPUNIT_ASSERT_EQUAL(std::string("confirm-0"), document.servers[serversOf(document, id)[0]].name);
    }

    void checksFiles()
    {
        const auto write = [](const std::string &name, const json &document) {
            std::ofstream(name) << document;
        };
        std::string directory = std::filesystem::temp_directory_path() / "documentXXXXXX";
        CPPUNIT_ASSERT(mkdtemp(directory.data()) != nullptr);
        const auto stem = directory + "/";
        write(stem + "1", sampleDocument(7));
        write(stem + "2", sampleDocument(8));
        auto broken = sampleDocument(9);
        broken["plans"][0]["weight"] = "x";
        write(stem + "3", broken);
        const auto check = [](const std::vector<std::string> &args, const std::string &expected) {
            std::ostringstream out;
            const int code = runCheck(args, out, out);
            CPPUNIT_ASSERT_MESSAGE(out.str(), out.str().find(expected) != std::string::npos);
            return code;
        };
        CPPUNIT_ASSERT_EQUAL(0, check({stem + "1"}, "version 7, 2 plans, 10 workspaces"));
        CPPUNIT_ASSERT_EQUAL(0, check({"--previous", stem + "1", stem + "2"}, "version 8"));
        CPPUNIT_ASSERT_EQUAL(1, check({"--previous", stem + "2", stem + "1"}, "$.version"));
        CPPUNIT_ASSERT_EQUAL(1, check({stem + "3"}, "$.plans[0].weight"));
        CPPUNIT_ASSERT_EQUAL(2, check({stem + "4"}, "cannot be read"));
        const auto root = std::filesystem::path(__FILE__).parent_path().parent_path();
        CPPUNIT_ASSERT_EQUAL(0, check({root / "examples" / "document.json"}, "10 workspaces"));
        std::filesystem::remove_all(directory);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentTest);

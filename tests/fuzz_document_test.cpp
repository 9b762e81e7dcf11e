#include "document_json.h"
#include "document_sample.h"
#include "fuzz_property.h"

#include <regex>

using namespace turmericline;
using nlohmann::json;

namespace {

/** Evaluates the JSON Schema keywords that documentSchema() uses. */
bool conforms(const json &value, const json &schema)
{
    const std::string type = schema["type"];
    if (type == "object") {
        return value.is_object()
               && std::ranges::all_of(schema["required"],
                                      [&](const json &name) {
                                          return value.contains(name.get<std::string>());
                                      })
               && std::ranges::all_of(value.items(), [&](const auto &it) {
                      const auto &properties = schema["properties"];
                      return properties.contains(it.key()) && conforms(it.value(), properties[it.key()]);
                  });
    }
    if (type == "array") {
        return value.is_array() && value.size() >= schema["minItems"] && value.size() <= schema["maxItems"]
               && std::ranges::all_of(value, [&](const json &it) {
                      return conforms(it, schema["items"]);
                  });
    }
    if (type == "string") {
        return value.is_string() && (!schema.contains("enum") || std::ranges::count(schema["enum"], value) == 1)
               && (!schema.contains("pattern")
                   || std::regex_match(value.get<std::string>(), std::regex(schema["pattern"].get<std::string>())));
    }
    if (type == "boolean") {
        return value.is_boolean();
    }
    return (type == "integer" ? value.is_number_integer() : value.is_number()) && value >= schema["minimum"]
           && value <= schema["maximum"];
}

json randomSample()
{
    const SampleSize size{
        *rc::gen::inRange(0, 3), *rc::gen::inRange(1, 4), *rc::gen::inRange(1, 3), *rc::gen::inRange(0, 5)};
    return sampleDocument(*rc::gen::inRange<std::uint64_t>(1, 1000), size);
}

json randomValue()
{
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<std::int64_t>();
    case 3:
        return *rc::gen::arbitrary<double>();
    case 4:
        return json::array({*rc::gen::inRange(-1, 100)});
    default:
        return *rc::gen::element<std::string>("",
                                              "p0",
                                              "confirm",
                                              "23:59",
                                              "24:00",
                                              "GET",
                                              "/x",
                                              "/*y",
                                              "leaving",
                                              "[::1]:80",
                                              "1.2.3.4:65536",
                                              "confirm-1",
                                              "\x7f",
                                              "a.b");
    }
}

/** Replaces, removes or duplicates a random value of the document. */
void mutateValue(json &value)
{
    if (value.is_structured() && !value.empty() && *rc::gen::inRange(0, 8) != 0) {
        auto it = value.begin();
        std::advance(it, *rc::gen::inRange<std::size_t>(0, value.size()));
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
            value.erase(it);
            return;
        case 1:
            if (value.is_array()) {
                value.push_back(json(*it));
            } else {
                value[*rc::gen::element<std::string>("name", "version", "x", "")] = json(*it);
            }
            return;
        default:
            return mutateValue(*it);
        }
    }
    value = randomValue();
}

void mutateBytes(std::string &text)
{
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto n = *rc::gen::inRange<std::size_t>(1, 20);
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        break;
    case 1:
        text.erase(at, n);
        break;
    case 2:
        text.insert(at, text.substr(*rc::gen::inRange<std::size_t>(0, text.size()), n));
        break;
    default:
        text.insert(at, std::string(n, *rc::gen::element('[', '{', '"', '\\', '9')));
    }
}

/** Property of every text: it is rejected with errors, or it parses and survives printing and parsing again. */
bool checkText(std::string_view text)
{
    const auto parse = parseDocument(text);
    if (!parse.document) {
        RC_ASSERT(!parse.errors.empty());
        for (const auto &it : parse.errors) {
            RC_ASSERT(it.path.starts_with('$'));
            RC_ASSERT(!it.message.empty());
        }
        return false;
    }
    RC_ASSERT(parse.errors.empty());
    const auto printed = printDocument(*parse.document);
    const auto again = parseDocument(printed);
    RC_ASSERT(again.document.has_value());
    RC_ASSERT(printDocument(*again.document) == printed);
    RC_ASSERT(conforms(json::parse(text), documentSchema()));
    return true;
}

} // namespace

/** Guards against parser crashes, silently lost fields, and rules that differ from the published schema. */
class FuzzDocumentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FuzzDocumentTest);
    CPPUNIT_TEST(validDocumentsSurvivePrinting);
    CPPUNIT_TEST(changedValuesNeverCrash);
    CPPUNIT_TEST(changedBytesNeverCrash);
    CPPUNIT_TEST_SUITE_END();

public:
    void validDocumentsSurvivePrinting()
    {
        expectProperty("valid documents", fuzzParams(100, 100), [] {
            const auto document = randomSample();
            RC_ASSERT(checkText(document.dump()));
            // The sample uses every field, so a field that printing drops would show up here.
            RC_ASSERT(json::parse(printDocument(*parseDocument(document.dump()).document))["plans"]
                      == document["plans"]);
        });
    }

    void changedValuesNeverCrash()
    {
        int accepted = 0;
        expectProperty("changed values", fuzzParams(100, 3000), [&] {
            auto document = randomSample();
            for (int n = *rc::gen::inRange(1, 4); n > 0; --n) {
                mutateValue(document);
            }
            accepted += checkText(document.dump()) ? 1 : 0;
        });
        // If no document were accepted, the property would not cover printing and the schema.
        CPPUNIT_ASSERT(accepted > 30);
    }

    void changedBytesNeverCrash()
    {
        expectProperty("changed bytes", fuzzParams(100, 3000), [] {
            auto text = randomSample().dump();
            for (int n = *rc::gen::inRange(1, 5); n > 0; --n) {
                mutateBytes(text);
            }
            checkText(text);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FuzzDocumentTest);

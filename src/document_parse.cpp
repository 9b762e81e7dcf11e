#include "document.h"
#include "document_field.h"
#include "document_json.h"
#include "document_rules.h"

#include <fmt/format.h>

namespace turmericline {

namespace {

using Json = nlohmann::json;

/** Fills a document from JSON according to the field tables. An invalid field keeps its default. */
class DocumentReader
{
public:
    Document document;
    std::vector<DocumentError> errors;

    template<typename T>
    void readObject(const Json &json, const JsonPath &path, T &out)
    {
        if (!json.is_object()) {
            return reportWrongType(json, path, "an object");
        }
        std::size_t known = 0;
        forEachField<T>([&](const auto &row) {
            const auto it = json.find(row.rule.name);
            if (it != json.end()) {
                ++known;
                read(*it, path.child(row.rule.name), row.rule, out.*row.member);
            } else if (row.rule.required) {
                addError(path.child(row.rule.name), "required field is missing");
            }
        });
        if (known < json.size()) {
            reportUnknownFields<T>(json, path);
        }
    }

private:
    void addError(const JsonPath &path, std::string message)
    {
        errors.push_back({path.text(), std::move(message)});
    }

    void reportWrongType(const Json &json, const JsonPath &path, std::string_view wanted)
    {
        addError(path, fmt::format("expected {}, found {}", wanted, json.type_name()));
    }

    template<typename T>
    void reportUnknownFields(const Json &json, const JsonPath &path)
    {
        for (const auto &[key, value] : json.items()) {
            bool found = false;
            forEachField<T>([&, name = std::string_view(key)](const auto &row) {
                found = found || row.rule.name == name;
            });
            if (!found) {
                addError(path.child(key), "unknown field");
            }
        }
    }

    bool checkRange(double value, const JsonPath &path, const FieldRule &rule)
    {
        if (value >= rule.min && value <= rule.max) {
            return true;
        }
        addError(path, fmt::format("{} is outside the range from {} to {}", value, rule.min, rule.max));
        return false;
    }

    template<std::unsigned_integral T>
    requires(!std::is_same_v<T, bool>) void read(const Json &json, const JsonPath &path, const FieldRule &rule, T &out)
    {
        if (!json.is_number_integer()) {
            return reportWrongType(json, path, "an integer");
        }
        if (checkRange(json.get<double>(), path, rule)) {
            out = json.get<T>();
        }
    }

    void read(const Json &json, const JsonPath &path, const FieldRule &rule, std::chrono::seconds &out)
    {
        auto n = static_cast<std::uint64_t>(out.count());
        read(json, path, rule, n);
        out = std::chrono::seconds(n);
    }

    void read(const Json &json, const JsonPath &path, const FieldRule &rule, double &out)
    {
        if (!json.is_number()) {
            return reportWrongType(json, path, "a number");
        }
        if (checkRange(json.get<double>(), path, rule)) {
            out = json.get<double>();
        }
    }

    void read(const Json &json, const JsonPath &path, const FieldRule & /*rule*/, bool &out)
    {
        if (!json.is_boolean()) {
            return reportWrongType(json, path, "a boolean");
        }
        out = json.get<bool>();
    }

    void read(const Json &json, const JsonPath &path, const FieldRule &rule, std::string &out)
    {
        if (!json.is_string()) {
            return reportWrongType(json, path, "a string");
        }
        const auto &format = textFormat(rule.format);
        const auto &text = json.get_ref<const std::string &>();
        if (!format.accepts(text)) {
            return addError(path, fmt::format("expected {}", format.meaning));
        }
        out = text;
    }

    void read(const Json &json, const JsonPath &path, const FieldRule &rule, std::optional<std::chrono::minutes> &out)
    {
        std::string text;
        read(json, path, rule, text);
        if (const auto minutes = parseTimeOfDay(text)) {
            out = std::chrono::minutes(*minutes);
        }
    }

    template<typename E>
    requires std::is_enum_v<E>
    void read(const Json &json, const JsonPath &path, const FieldRule & /*rule*/, E &out)
    {
        if (!json.is_string()) {
            return reportWrongType(json, path, "a string");
        }
        if (const auto value = valueOf(namesOf(E{}), json.get_ref<const std::string &>())) {
            out = *value;
            return;
        }
        std::string names;
        for (const auto &it : namesOf(E{})) {
            names += fmt::format("{}\"{}\"", names.empty() ? "" : ", ", it.name);
        }
        addError(path, "expected one of " + names);
    }

    template<typename Entity>
    void read(const Json &json, const JsonPath &path, const FieldRule & /*rule*/, Id<Entity> &out)
    {
        if (!json.is_string()) {
            return reportWrongType(json, path, "a string");
        }
        out = poolOf<Entity>(document).find(json.get_ref<const std::string &>());
        if (!out.isValid()) {
            addError(path, "refers to a name that is not in the document");
        }
    }

    template<typename Item>
    void read(const Json &json, const JsonPath &path, const FieldRule &rule, std::vector<Item> &out)
    {
        if (!checkList(json, path, rule)) {
            return;
        }
        out.reserve(json.size());
        for (std::size_t i = 0; i < json.size(); ++i) {
            read(json[i], path.item(i), rule, out.emplace_back());
        }
    }

    template<typename Entity>
    void read(const Json &json, const JsonPath &path, const FieldRule &rule, Pool<Entity> &out)
    {
        if (!checkList(json, path, rule)) {
            return;
        }
        for (std::size_t i = 0; i < json.size(); ++i) {
            const auto at = path.item(i);
            Entity entity;
            readObject(json[i], at, entity);
            if (entity.name.empty()) {
                // A unique placeholder that is not a valid name, so that pool indexes stay equal to JSON indexes.
                entity.name = fmt::format("#{}", i);
            } else if (out.find(entity.name).isValid()) {
                addError(at.child("name"), "duplicate name");
                entity.name = fmt::format("#{}", i);
            }
            out.add(std::move(entity));
        }
    }

    void read(const Json &json, const JsonPath &path, const FieldRule & /*rule*/, ServiceCall &out)
    {
        readObject(json, path, out);
    }

    void read(const Json &json, const JsonPath &path, const FieldRule & /*rule*/, PlacementSettings &out)
    {
        readObject(json, path, out);
    }

    bool checkList(const Json &json, const JsonPath &path, const FieldRule &rule)
    {
        if (!json.is_array()) {
            reportWrongType(json, path, "an array");
            return false;
        }
        const auto n = static_cast<double>(json.size());
        if (n < rule.min || n > rule.max) {
            addError(path, fmt::format("{} items are outside the range from {} to {}", n, rule.min, rule.max));
            return false;
        }
        return true;
    }
};

} // namespace

DocumentParseResult parseDocumentJson(const Json &json)
{
    DocumentReader reader;
    reader.readObject(json, JsonPath{}, reader.document);
    checkRules(reader.document, reader.errors);
    if (!reader.errors.empty()) {
        return {std::nullopt, std::move(reader.errors)};
    }
    return {std::move(reader.document), {}};
}

DocumentParseResult parseDocument(std::string_view text)
{
    auto read = readJson(text, maxDocumentBytes);
    if (!read.value) {
        return {std::nullopt, std::move(read.errors)};
    }
    return parseDocumentJson(*read.value);
}

} // namespace turmericline

#include "document.h"
#include "document_field.h"

#include <nlohmann/json.hpp>

namespace turmericline {

namespace {

using Json = nlohmann::json;

template<typename T>
Json objectSchema();

template<std::unsigned_integral T>
requires(!std::is_same_v<T, bool>) Json typeSchema(const FieldRule &rule, T value)
{
    return {{"type", "integer"},
            {"minimum", static_cast<std::uint64_t>(rule.min)},
            {"maximum", static_cast<std::uint64_t>(rule.max)},
            {"default", value}};
}

Json typeSchema(const FieldRule &rule, std::chrono::seconds value)
{
    return typeSchema(rule, static_cast<std::uint64_t>(value.count()));
}

Json typeSchema(const FieldRule &rule, double value)
{
    return {{"type", "number"}, {"minimum", rule.min}, {"maximum", rule.max}, {"default", value}};
}

Json typeSchema(const FieldRule & /*rule*/, bool value)
{
    return {{"type", "boolean"}, {"default", value}};
}

Json typeSchema(const FieldRule &rule, const std::string & /*value*/)
{
    return {{"type", "string"}, {"pattern", textFormat(rule.format).pattern}};
}

Json typeSchema(const FieldRule &rule, const std::optional<std::chrono::minutes> & /*value*/)
{
    return typeSchema(rule, std::string());
}

template<typename E>
requires std::is_enum_v<E> Json typeSchema(const FieldRule & /*rule*/, E value)
{
    auto names = Json::array();
    for (const auto &it : namesOf(E{})) {
        names.push_back(it.name);
    }
    return {{"type", "string"}, {"enum", names}, {"default", nameOf(namesOf(E{}), value)}};
}

/** A reference is written as the name of a row of the referenced table. */
template<typename Entity>
Json typeSchema(const FieldRule & /*rule*/, Id<Entity> /*value*/)
{
    return {{"type", "string"}, {"pattern", textFormat(TextFormat::Name).pattern}};
}

template<typename T>
requires requires
{
    Fields<T>::rows;
}
Json typeSchema(const FieldRule & /*rule*/, const T & /*value*/)
{
    return objectSchema<T>();
}

Json listSchema(const FieldRule &rule, Json items)
{
    return {{"type", "array"},
            {"minItems", static_cast<std::uint64_t>(rule.min)},
            {"maxItems", static_cast<std::uint64_t>(rule.max)},
            {"items", std::move(items)}};
}

template<typename Item>
Json typeSchema(const FieldRule &rule, const std::vector<Item> & /*value*/)
{
    auto items = typeSchema(rule, Item{});
    return listSchema(rule, std::move(items));
}

template<typename Entity>
Json typeSchema(const FieldRule &rule, const Pool<Entity> & /*value*/)
{
    return listSchema(rule, objectSchema<Entity>());
}

template<typename T>
Json objectSchema()
{
    const T defaults{};
    auto properties = Json::object();
    auto needed = Json::array();
    forEachField<T>([&](const auto &row) {
        auto schema = typeSchema(row.rule, defaults.*row.member);
        schema["title"] = row.rule.title;
        schema["description"] = row.rule.description;
        if (row.rule.required) {
            schema.erase("default");
            needed.push_back(row.rule.name);
        }
        properties[std::string(row.rule.name)] = std::move(schema);
    });
    return {{"type", "object"}, {"properties", properties}, {"required", needed}, {"additionalProperties", false}};
}

} // namespace

Json documentSchema()
{
    auto schema = objectSchema<Document>();
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema";
    schema["title"] = "turmericline configuration document";
    return schema;
}

} // namespace turmericline

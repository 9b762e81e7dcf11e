#include "document.h"
#include "document_field.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace turmericline {

namespace {

using Json = nlohmann::json;

class DocumentPrinter
{
public:
    explicit DocumentPrinter(const Document &document)
        : m_document(document)
    {
    }

    template<typename T>
    Json printObject(const T &object) const
    {
        auto json = Json::object();
        forEachField<T>([&](const auto &row) {
            auto value = print(object.*row.member);
            if (!value.is_null()) {
                json[std::string(row.rule.name)] = std::move(value);
            }
        });
        return json;
    }

private:
    const Document &m_document;

    template<typename T>
    requires std::is_arithmetic_v<T> Json print(T value)
    const
    {
        return value;
    }

    template<typename E>
    requires std::is_enum_v<E> Json print(E value)
    const
    {
        return nameOf(namesOf(E{}), value);
    }

    Json print(const std::string &text) const
    {
        return text.empty() ? Json() : Json(text);
    }

    Json print(std::chrono::seconds value) const
    {
        return value.count();
    }

    Json print(const std::optional<std::chrono::minutes> &value) const
    {
        return value ? Json(fmt::format("{:02}:{:02}", value->count() / 60, value->count() % 60)) : Json();
    }

    template<typename Entity>
    Json print(Id<Entity> id) const
    {
        return poolOf<Entity>(m_document)[id].name;
    }

    template<typename Item>
    Json print(const std::vector<Item> &items) const
    {
        return printList(items);
    }

    template<typename Entity>
    Json print(const Pool<Entity> &pool) const
    {
        return printList(pool);
    }

    template<typename T>
    requires requires
    {
        Fields<T>::rows;
    }
    Json print(const T &object) const
    {
        return printObject(object);
    }

    Json printList(const auto &items) const
    {
        auto list = Json::array();
        for (const auto &it : items) {
            list.push_back(print(it));
        }
        return list;
    }
};

} // namespace

std::string printDocument(const Document &document)
{
    return DocumentPrinter(document).printObject(document).dump();
}

} // namespace turmericline

#include "document_json.h"

#include <algorithm>

namespace turmericline {

namespace {

using Json = nlohmann::json;

/** A document needs 5 levels. The limit only bounds the recursion of printing and comparing. */
constexpr std::size_t maxDepth = 32;

bool isPlainKey(std::string_view key)
{
    return !key.empty() && std::ranges::all_of(key, [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_';
    });
}

std::string keyText(std::string_view key)
{
    if (isPlainKey(key)) {
        return "." + std::string(key);
    }
    return "[" + Json(key).dump(-1, ' ', true, Json::error_handler_t::replace) + "]";
}

/** Builds a value from parser events and reports duplicate keys. */
class StrictReader final : public nlohmann::json_sax<Json>
{
public:
    Json root;
    std::vector<DocumentError> errors;

    bool null() override
    {
        return add(nullptr);
    }

    bool boolean(bool value) override
    {
        return add(value);
    }

    bool number_integer(number_integer_t value) override
    {
        return add(value);
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        return add(value);
    }

    bool number_float(number_float_t value, const string_t & /*text*/) override
    {
        return add(value);
    }

    bool string(string_t &value) override
    {
        return add(std::move(value));
    }

    bool binary(binary_t & /*value*/) override
    {
        return false;
    }

    bool start_object(std::size_t /*count*/) override
    {
        return open(Json::object());
    }

    bool key(string_t &value) override
    {
        if (m_open.back().value->contains(value)) {
            errors.push_back({path() + keyText(value), "duplicate key"});
        }
        m_open.back().key = std::move(value);
        return true;
    }

    bool end_object() override
    {
        m_open.pop_back();
        return true;
    }

    bool start_array(std::size_t /*count*/) override
    {
        return open(Json::array());
    }

    bool end_array() override
    {
        m_open.pop_back();
        return true;
    }

    bool parse_error(std::size_t position, const std::string & /*token*/, const Json::exception &error) override
    {
        const std::string_view what = error.what();
        const auto end = what.find("] ");
        const auto reason = std::string(end == std::string_view::npos ? what : what.substr(end + 2));
        // The message of the parser quotes the last input, which may itself be invalid UTF-8.
        const auto printable = Json(reason).dump(-1, ' ', true, Json::error_handler_t::replace);
        errors.push_back({path(), "byte " + std::to_string(position) + ": " + printable});
        return false;
    }

private:
    /** An object or array that is still open. The pointer stays valid because only the innermost open value grows. */
    struct Frame
    {
        Json *value;
        std::string key;
    };

    std::vector<Frame> m_open;

    Json *insertValue(Json value)
    {
        if (m_open.empty()) {
            root = std::move(value);
            return &root;
        }
        auto &parent = *m_open.back().value;
        if (parent.is_array()) {
            parent.push_back(std::move(value));
            return &parent.back();
        }
        return &(parent[m_open.back().key] = std::move(value));
    }

    bool add(Json value)
    {
        insertValue(std::move(value));
        return true;
    }

    bool open(Json value)
    {
        if (m_open.size() >= maxDepth) {
            errors.push_back({path(), "nested deeper than " + std::to_string(maxDepth) + " levels"});
            return false;
        }
        auto *child = insertValue(std::move(value));
        m_open.push_back({child, {}});
        return true;
    }

    /** Returns the path of the innermost open value. */
    std::string path() const
    {
        std::string text = "$";
        for (std::size_t i = 0; i + 1 < m_open.size(); ++i) {
            const auto &it = m_open[i];
            text += it.value->is_array() ? "[" + std::to_string(it.value->size() - 1) + "]" : keyText(it.key);
        }
        return text;
    }
};

} // namespace

JsonReadResult readJson(std::string_view text, std::size_t maxBytes)
{
    if (text.size() > maxBytes) {
        return {std::nullopt, {{"$", "larger than " + std::to_string(maxBytes) + " bytes"}}};
    }
    StrictReader reader;
    const bool complete = Json::sax_parse(text.begin(), text.end(), &reader);
    if (!complete || !reader.errors.empty()) {
        return {std::nullopt, std::move(reader.errors)};
    }
    return {std::move(reader.root), {}};
}

std::string JsonPath::text() const
{
    if (!parent) {
        return "$";
    }
    return parent->text() + (index == SIZE_MAX ? keyText(key) : "[" + std::to_string(index) + "]");
}

} // namespace turmericline

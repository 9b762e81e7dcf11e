#include "message_pack.h"

#include <string>

namespace turmericline {

namespace {

using Json = nlohmann::json;

/** Deeper than any message of these processes. */
constexpr std::size_t maxDepth = 32;

/** Accepts any value, up to a depth. */
class DepthCheck final : public nlohmann::json_sax<Json>
{
public:
    bool null() override
    {
        return true;
    }

    bool boolean(bool /*value*/) override
    {
        return true;
    }

    bool number_integer(number_integer_t /*value*/) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }

    bool number_unsigned(number_unsigned_t /*value*/) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }

    bool number_float(number_float_t /*value*/,
                      const string_t & /*text*/) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }

    bool string(string_t & /*value*/) override
    {
        return true;
    }

    bool binary(binary_t & /*value*/) override
    {
        return true;
    }

    bool start_object(std::size_t /*elements*/) override // NOLINT(readability-identifier-naming)
    {
        return ++m_depth <= maxDepth;
    }

    bool key(string_t & /*name*/) override
    {
        return true;
    }

    bool end_object() override // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return true;
    }

    bool start_array(std::size_t /*elements*/) override // NOLINT(readability-identifier-naming)
    {
        return ++m_depth <= maxDepth;
    }

    bool end_array() override // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return true;
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    bool
    parse_error(std::size_t /*position*/, const std::string & /*token*/, const Json::exception & /*error*/) override
    {
        return false;
    }

private:
    std::size_t m_depth = 0;
};

} // namespace

Json decodeMessagePack(std::string_view bytes)
{
    DepthCheck check;
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &check, Json::input_format_t::msgpack)) {
        return Json(Json::value_t::discarded);
    }
    return Json::from_msgpack(bytes.begin(), bytes.end(), true, false);
}

} // namespace turmericline

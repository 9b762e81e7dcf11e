#pragma once

#include "settings_type.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <span>

namespace turmericline {

/** Name, help text and default of a setting, without the member that it fills. */
struct SettingHelp
{
    std::string_view name;
    std::string_view defaultText;
    std::string_view help;
    bool isList = false;
    bool isFlag = false;
};

/** Unparsed values by setting name. Flags override environment variables, which override the settings file. */
struct RawSettings
{
    std::string file; ///< Path of the settings file; empty for none.
    std::map<std::string, std::vector<std::string>, std::less<>> values;
    SettingsAction action = SettingsAction::Run;
    std::vector<SettingError> errors;
};

using EnvironmentLookup = std::function<const char *(const char *name)>;

/** Reads flags, environment and settings file. Unknown flags and repeated single values are reported as errors. */
RawSettings
readSettings(std::span<const SettingHelp> rows, int argc, const char *const *argv, const EnvironmentLookup &env);

/** Prints the errors, one line each. */
void printErrors(std::ostream &err, const std::vector<SettingError> &errors);
/** Prints the flags, their environment variables and defaults. */
void printHelp(std::ostream &out, std::string_view program, std::span<const SettingHelp> rows);

/** Checks for common kinds of text, see SettingCheck. */
std::string checkAddress(const std::string &value);
std::string checkIp(const std::string &value);
std::string checkLogLevel(const std::string &value);
std::string checkName(const std::string &value);
std::string checkUrl(const std::string &value);

namespace detail {

/** Parses a decimal number, which may have a fraction and an exponent. Returns nothing if it is not within the limits. */
std::optional<double> parseDecimal(std::string_view text, std::uint64_t min, std::uint64_t max);
/** As parseDecimal(), for a number without a fraction. */
std::optional<std::uint64_t> parseWhole(std::string_view text, std::uint64_t min, std::uint64_t max);
/** Parses a time in milliseconds, or in the unit that follows the number: ms or s. Fractions of 1 ms are dropped. */
std::optional<std::chrono::milliseconds> parseTime(std::string_view text, std::uint64_t minMs, std::uint64_t maxMs);

template<typename S>
class SettingParser
{
public:
    SettingParser(SettingsParseResult<S> &parse, const SettingRow<S> &row, const std::vector<std::string> &given)
        : m_parse(parse)
        , m_row(row)
        , m_values(given)
    {
    }

    void operator()(std::string S::*member)
    {
        checkText(m_values.front());
        m_parse.settings.*member = m_values.front();
    }

    void operator()(std::vector<std::string> S::*member)
    {
        for (const auto &it : m_values) {
            checkText(it);
        }
        m_parse.settings.*member = m_values;
    }

    void operator()(bool S::*member)
    {
        const auto &text = m_values.front();
        if (text != "true" && text != "false" && text != "1" && text != "0") {
            fault(text, "true or false");
        }
        m_parse.settings.*member = text == "true" || text == "1";
    }

    void operator()(std::uint16_t S::*member)
    {
        const auto max = std::min<std::uint64_t>(m_row.max, std::numeric_limits<std::uint16_t>::max());
        if (const auto n = required(parseWhole(m_values.front(), m_row.min, max), "a whole number", max)) {
            m_parse.settings.*member = static_cast<std::uint16_t>(*n);
        }
    }

    void operator()(std::uint64_t S::*member)
    {
        if (const auto n = required(parseWhole(m_values.front(), m_row.min, m_row.max), "a whole number", m_row.max)) {
            m_parse.settings.*member = *n;
        }
    }

    void operator()(double S::*member)
    {
        if (const auto n = required(parseDecimal(m_values.front(), m_row.min, m_row.max), "a number", m_row.max)) {
            m_parse.settings.*member = *n;
        }
    }

    void operator()(std::chrono::milliseconds S::*member)
    {
        const auto max = std::min<std::uint64_t>(m_row.max, std::numeric_limits<std::uint32_t>::max());
        if (const auto time
            = required(parseTime(m_values.front(), m_row.min, max), "a time in ms, or with the unit s or ms,", max)) {
            m_parse.settings.*member = *time;
        }
    }

private:
    void fault(const std::string &value, std::string allowed)
    {
        m_parse.errors.push_back({std::string(m_row.name), value, std::move(allowed)});
    }

    void checkText(const std::string &text)
    {
        if (m_row.check == nullptr) {
            return;
        }
        if (auto allowed = m_row.check(text); !allowed.empty()) {
            fault(text, std::move(allowed));
        }
    }

    /** Returns @p value, and records a fault if there is none. */
    template<typename T>
    std::optional<T> required(std::optional<T> value, const std::string &kind, std::uint64_t max)
    {
        if (!value) {
            fault(m_values.front(), kind + " from " + std::to_string(m_row.min) + " to " + std::to_string(max));
        }
        return value;
    }

    SettingsParseResult<S> &m_parse;
    const SettingRow<S> &m_row;
    const std::vector<std::string> &m_values;
};

} // namespace detail

/** Returns the names and help texts of a settings table. */
template<typename S, std::size_t N>
std::vector<SettingHelp> settingsHelp(const std::array<SettingRow<S>, N> &rows)
{
    std::vector<SettingHelp> help;
    help.reserve(N);
    for (const auto &it : rows) {
        help.push_back({it.name,
                        it.defaultText,
                        it.help,
                        std::holds_alternative<std::vector<std::string> S::*>(it.member),
                        std::holds_alternative<bool S::*>(it.member)});
    }
    return help;
}

/** Fills the settings from flags, environment and settings file, and collects all errors. */
template<typename S, std::size_t N>
SettingsParseResult<S>
parseSettings(const std::array<SettingRow<S>, N> &rows, int argc, const char *const *argv, const EnvironmentLookup &env)
{
    const auto raw = readSettings(settingsHelp(rows), argc, argv, env);
    SettingsParseResult<S> parse;
    parse.action = raw.action;
    parse.file = raw.file;
    parse.errors = raw.errors;
    for (const auto &row : rows) {
        const auto it = raw.values.find(row.name);
        std::vector<std::string> given;
        if (it != raw.values.end()) {
            given = it->second;
        } else if (!row.defaultText.empty()) {
            given.emplace_back(row.defaultText);
        }
        if (!given.empty()) {
            std::visit(detail::SettingParser<S>(parse, row, given), row.member);
        } else if (row.isRequired) {
            parse.errors.push_back({std::string(row.name), "", "a value, which is required"});
        }
    }
    return parse;
}

} // namespace turmericline

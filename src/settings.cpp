#include "settings.h"

#include "address.h"
#include "log.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <set>

namespace turmericline {

namespace po = boost::program_options;

namespace {

constexpr std::string_view environmentPrefix = "TURMERICLINE_";
/** Setting, given as a flag or an environment variable, that holds the path of the settings file. */
constexpr std::string_view fileSetting = "config";

std::string environmentName(std::string_view setting)
{
    std::string name(environmentPrefix);
    for (const char c : setting) {
        name.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
    }
    return name;
}

po::options_description describe(std::span<const SettingHelp> rows)
{
    po::options_description options;
    options.add_options()("help", "print this help")("version", "print the version")("check",
                                                                                     "check the settings and exit")(
        std::string(fileSetting).c_str(), po::value<std::vector<std::string>>(), "settings file");
    for (const auto &it : rows) {
        auto *value = po::value<std::vector<std::string>>();
        if (it.isFlag) {
            value->implicit_value({"true"}, "true")->zero_tokens();
        }
        options.add_options()(std::string(it.name).c_str(), value, std::string(it.help).c_str());
    }
    return options;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const auto end = std::min(text.find(',', begin), text.size());
        items.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return items;
}

void storeOption(RawSettings &raw, const SettingHelp *row, const po::option &option)
{
    if (option.string_key == "help") {
        raw.action = SettingsAction::Help;
    } else if (option.string_key == "version") {
        raw.action = SettingsAction::Version;
    } else if (option.string_key == "check") {
        raw.action = SettingsAction::Check;
    } else if (option.string_key == fileSetting) {
        raw.file = option.value.empty() ? "" : option.value.front();
    } else if (row == nullptr) {
        const auto name = option.original_tokens.empty() ? option.string_key : option.original_tokens.front();
        raw.errors.push_back({name, "", "a flag listed by --help"});
    } else {
        auto &values = raw.values[option.string_key];
        if (!values.empty() && !row->isList) {
            raw.errors.push_back({option.string_key, option.value.empty() ? "" : option.value.front(), "one value"});
            return;
        }
        if (option.value.empty()) {
            values.emplace_back("true");
        }
        values.insert(values.end(), option.value.begin(), option.value.end());
    }
}

/** Adds values of the settings file for settings that no flag or environment variable sets. Ignores empty values. */
void readFile(RawSettings &raw, std::span<const SettingHelp> rows, const po::options_description &options)
{
    std::ifstream in(raw.file);
    if (!in) {
        raw.errors.push_back({std::string(fileSetting), raw.file, "a readable file"});
        return;
    }
    try {
        const auto parsed = po::parse_config_file(in, options, true);
        std::set<std::string> fromFile;
        for (const auto &it : parsed.options) {
            const auto row = std::find_if(rows.begin(), rows.end(), [&it](const SettingHelp &r) {
                return r.name == it.string_key;
            });
            if (row == rows.end()) {
                raw.errors.push_back({it.string_key, raw.file, "a setting listed by --help"});
                continue;
            }
            const auto text = it.value.empty() ? std::string() : it.value.front();
            if (text.empty() || (raw.values.contains(it.string_key) && !fromFile.contains(it.string_key))) {
                continue;
            }
            if (!fromFile.insert(it.string_key).second) {
                raw.errors.push_back({it.string_key, text, "one line in the settings file"});
                continue;
            }
            raw.values[it.string_key] = row->isList ? splitList(text) : std::vector<std::string>{text};
        }
    } catch (const po::error &error) {
        raw.errors.push_back({std::string(fileSetting), raw.file, error.what()});
    }
}

} // namespace

RawSettings
readSettings(std::span<const SettingHelp> rows, int argc, const char *const *argv, const EnvironmentLookup &env)
{
    RawSettings raw;
    const auto options = describe(rows);
    try {
        const auto parsed = po::command_line_parser(argc, argv)
                                .options(options)
                                .style(po::command_line_style::unix_style & ~po::command_line_style::allow_guessing)
                                .allow_unregistered()
                                .run();
        for (const auto &it : parsed.options) {
            const auto row = std::find_if(rows.begin(), rows.end(), [&it](const SettingHelp &r) {
                return !it.unregistered && r.name == it.string_key;
            });
            storeOption(raw, row == rows.end() ? nullptr : &*row, it);
        }
    } catch (const po::error &error) {
        raw.errors.push_back({"command line", "", error.what()});
    }
    for (const auto &it : rows) {
        if (raw.values.contains(it.name)) {
            continue;
        }
        if (const char *text = env(environmentName(it.name).c_str()); text != nullptr) {
            raw.values[std::string(it.name)] = it.isList ? splitList(text) : std::vector<std::string>{text};
        }
    }
    if (raw.file.empty()) {
        const char *file = env(environmentName(fileSetting).c_str());
        raw.file = file == nullptr ? "" : file;
    }
    if (!raw.file.empty()) {
        readFile(raw, rows, options);
    }
    return raw;
}

void printErrors(std::ostream &err, const std::vector<SettingError> &errors)
{
    for (const auto &it : errors) {
        err << "error: setting " << it.name;
        if (!it.value.empty()) {
            err << " has the value \"" << it.value << "\"";
        }
        err << ", expected " << it.allowed << "\n";
    }
}

void printHelp(std::ostream &out, std::string_view program, std::span<const SettingHelp> rows)
{
    out << "Usage: " << program << " [--NAME VALUE]...\n\n"
        << "Each flag can also be set by an environment variable; the flag takes precedence. For lists, repeat the\n"
        << "flag or separate the values of the variable by commas. Settings given by neither are read from the\n"
        << "settings file (--config or TURMERICLINE_CONFIG), which has lines NAME = VALUE.\n\n"
        << "  --help, --version, --check (check the settings and exit), --config FILE\n";
    for (const auto &it : rows) {
        out << "  --" << it.name << " (" << environmentName(it.name) << ")";
        if (!it.defaultText.empty()) {
            out << " [" << it.defaultText << "]";
        }
        out << "\n        " << it.help << "\n";
    }
}

namespace detail {

std::optional<double> parseDecimal(std::string_view text, std::uint64_t min, std::uint64_t max)
{
    double n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    const bool isNumber = ec == std::errc() && end == text.data() + text.size() && std::isfinite(n);
    if (!isNumber || n < static_cast<double>(min) || n > static_cast<double>(max)) {
        return std::nullopt;
    }
    return n;
}

std::optional<std::uint64_t> parseWhole(std::string_view text, std::uint64_t min, std::uint64_t max)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec == std::errc() && end == text.data() + text.size()) {
        return n < min || n > max ? std::nullopt : std::optional(n);
    }
    // Other notations of a whole number, such as 8.0 or 2e3. A double holds whole numbers up to 2^53 exactly.
    constexpr std::uint64_t largestExact = std::uint64_t{1} << 53U;
    const auto decimal = parseDecimal(text, min, std::min(max, largestExact));
    if (!decimal || std::trunc(*decimal) != *decimal) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(*decimal);
}

std::optional<std::chrono::milliseconds> parseTime(std::string_view text, std::uint64_t minMs, std::uint64_t maxMs)
{
    constexpr double msPerSecond = 1'000;
    double unit = 1;
    if (text.ends_with("ms")) {
        text.remove_suffix(2);
    } else if (text.ends_with('s')) {
        text.remove_suffix(1);
        unit = msPerSecond;
    }
    const auto n = parseDecimal(text, 0, maxMs);
    if (!n || *n * unit < static_cast<double>(minMs) || *n * unit > static_cast<double>(maxMs)) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(static_cast<std::int64_t>(*n * unit));
}

} // namespace detail

std::string checkAddress(const std::string &value)
{
    return parseAddress(value) ? "" : "IP:PORT";
}

std::string checkIp(const std::string &value)
{
    return parseAddress("[" + value + "]:1") ? "" : "an IP address";
}

std::string checkLogLevel(const std::string &value)
{
    return valueOf(logLevelNames, value) ? "" : "debug, info, warning or error";
}

std::string checkName(const std::string &value)
{
    const bool valid
        = !value.empty() && value.size() <= 64 && std::all_of(value.begin(), value.end(), [](unsigned char c) {
              return std::isalnum(c) != 0 || c == '-' || c == '_';
          });
    return valid ? "" : "1 to 64 letters, digits, '-' or '_'";
}

std::string checkUrl(const std::string &value)
{
    return value.starts_with("http://") || value.starts_with("https://") ? ""
                                                                         : "a URL that starts with http:// or https://";
}

} // namespace turmericline

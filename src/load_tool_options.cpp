#include "load_tool_options.h"

#include <fmt/format.h>

#include <boost/program_options.hpp>

#include <charconv>
#include <cmath>
#include <functional>

namespace turmericline {

namespace {

namespace po = boost::program_options;

template<typename T>
bool parseValue(std::string_view text, T &value)
{
    const auto *end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc{} && last == end;
}

/** Parses a number within [low, high], which excludes infinities and NaN. Returns the error, or an empty text. */
template<typename T>
std::string readNumber(std::string_view text, T low, T high, T &value)
{
    T n{};
    if (!parseValue(text, n)) {
        return "is not a number";
    }
    if (!(n >= low && n <= high)) {
        return "is out of range";
    }
    value = n;
    return {};
}

std::string readMillis(std::string_view text, std::chrono::milliseconds &value)
{
    std::int64_t n = 0;
    auto error = readNumber<std::int64_t>(text, 1, 86'400'000, n);
    value = std::chrono::milliseconds(n);
    return error;
}

std::string readTarget(std::string_view text, LoadOptions &options)
{
    if (!text.starts_with("http://") && !text.starts_with("https://")) {
        return "does not start with http:// or https://";
    }
    while (text.ends_with('/')) {
        text.remove_suffix(1);
    }
    options.targets.emplace_back(text);
    return {};
}

std::string readWorkspace(std::string_view text, LoadOptions &options)
{
    LoadWorkspace workspace;
    if (const auto colon = text.rfind(':'); colon != std::string_view::npos) {
        if (const auto error = readNumber(text.substr(colon + 1), 1e-9, 1e9, workspace.weight); !error.empty()) {
            return "has a weight that " + error;
        }
        text = text.substr(0, colon);
    }
    if (text.empty()) {
        return "has no key";
    }
    workspace.key = text;
    options.workspaces.push_back(std::move(workspace));
    return {};
}

std::string readMix(std::string_view text, LoadOptions &options)
{
    options.mix = {};
    double sum = 0;
    while (!text.empty()) {
        const auto part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        const auto equals = part.find('=');
        const auto name = part.substr(0, equals);
        const auto requestClass = valueOf(requestClassNames, name);
        if (!requestClass || equals == std::string_view::npos) {
            return "has an invalid part '" + std::string(part) + "', expected CLASS=WEIGHT";
        }
        auto &weight = options.mix[static_cast<std::size_t>(*requestClass)];
        if (const auto error = readNumber(part.substr(equals + 1), 0.0, 1e9, weight); !error.empty()) {
            return "has a weight for " + std::string(name) + " that " + error;
        }
        sum += weight;
    }
    return sum > 0 ? std::string() : "has no positive weight";
}

std::string readPath(std::string_view text, LoadOptions &options)
{
    options.servicePath = text;
    return text.starts_with('/') ? std::string() : "does not start with /";
}

std::string readText(std::string_view text, std::string &value)
{
    value = text;
    return text.empty() ? "is empty" : std::string();
}

/** A flag with a value; @c read stores the value and returns an error, or an empty text. */
struct Flag
{
    const char *name;
    const char *help;
    std::function<std::string(std::string_view, LoadOptions &)> read;
};

template<typename T>
auto number(T LoadOptions::*member, T low, T high)
{
    return [=](std::string_view text, LoadOptions &options) {
        return readNumber(text, low, high, options.*member);
    };
}

auto millis(std::chrono::milliseconds LoadOptions::*member)
{
    return [=](std::string_view text, LoadOptions &options) {
        return readMillis(text, options.*member);
    };
}

auto text(std::string LoadOptions::*member)
{
    return [=](std::string_view value, LoadOptions &options) {
        return readText(value, options.*member);
    };
}

std::string readDuration(std::string_view value, LoadOptions &options)
{
    double n = options.duration.count();
    auto error = readNumber(value, 1e-3, 86'400.0, n);
    options.duration = std::chrono::duration<double>(n);
    return error;
}

const std::vector<Flag> &flags()
{
    constexpr std::size_t maxCount = 1'000'000;
    static const std::vector<Flag> table{
        {"target", "base URL of an entry; if given several times, used in rotation", &readTarget},
        {"rate", "requests per second (default 10)", number(&LoadOptions::rate, 1e-3, 1e6)},
        {"duration", "seconds for which requests are sent (default 10)", &readDuration},
        {"seed",
         "random seed of arrivals and requests (default 1)",
         number(&LoadOptions::seed, std::uint64_t{0}, UINT64_MAX)},
        {"workspace", "KEY[:WEIGHT], bearer key of a workspace; repeatable", &readWorkspace},
        {"mix", "weights of request classes, such as urgent=0.2,interactive=0.8", &readMix},
        {"model", "model name (default assistant)", text(&LoadOptions::model)},
        {"prompt-tokens",
         "prompt length in tokens (default 64)",
         number(&LoadOptions::promptTokens, std::size_t{1}, maxCount)},
        {"prompt-groups",
         "number of groups within which prompts share their first half (default 0, no sharing)",
         number(&LoadOptions::promptGroups, std::size_t{0}, maxCount)},
        {"max-tokens",
         "max_tokens of each request (default 16)",
         number(&LoadOptions::maxTokens, std::size_t{1}, maxCount)},
        {"service", "plain service that receives non-idempotent calls", text(&LoadOptions::service)},
        {"service-path", "path of these calls (default /)", &readPath},
        {"service-share",
         "fraction of requests that are such calls (default 0)",
         number(&LoadOptions::serviceShare, 0.0, 1.0)},
        {"closed",
         "closed loop with this many clients instead of --rate",
         number(&LoadOptions::closedClients, std::size_t{1}, maxCount)},
        {"deadline-ms", "X-Deadline-Ms of each request", millis(&LoadOptions::deadline)},
        {"timeout-ms", "time after which a request is cancelled (default 120000)", millis(&LoadOptions::timeout)},
    };
    return table;
}

po::options_description describe()
{
    po::options_description options("Options of 'load'");
    auto add = options.add_options();
    add("help", "print the options");
    add("json", "print JSON lines instead of a table");
    for (const auto &flag : flags()) {
        add(flag.name, po::value<std::vector<std::string>>(), flag.help);
    }
    return options;
}

bool takesValue(std::string_view argument)
{
    return argument.starts_with("--") && std::any_of(flags().begin(), flags().end(), [&](const Flag &flag) {
               return argument.substr(2) == flag.name;
           });
}

/** Removes flags without a value and reports them, because the parser would stop at the first one. */
std::vector<std::string> completeArguments(int argc, const char *const *argv, std::vector<std::string> &errors)
{
    std::vector<std::string> arguments;
    for (int i = 1; i < argc; ++i) {
        const bool lacksValue
            = takesValue(argv[i]) && (i + 1 == argc || std::string_view(argv[i + 1]).starts_with("--"));
        if (lacksValue) {
            errors.push_back(std::string(argv[i]) + " needs a value");
            continue;
        }
        arguments.emplace_back(argv[i]);
        if (takesValue(argv[i])) {
            arguments.emplace_back(argv[++i]);
        }
    }
    return arguments;
}

void readFlags(const po::variables_map &vm, LoadOptions &options, std::vector<std::string> &errors)
{
    for (const auto &flag : flags()) {
        if (!vm.contains(flag.name)) {
            continue;
        }
        for (const auto &value : vm[flag.name].as<std::vector<std::string>>()) {
            if (const auto error = flag.read(value, options); !error.empty()) {
                errors.push_back(fmt::format("--{} '{}' {}", flag.name, value, error));
            }
        }
    }
}

void checkCombinations(const po::variables_map &vm, const LoadOptions &options, std::vector<std::string> &errors)
{
    for (const auto *name : {"target", "workspace"}) {
        if (!vm.contains(name)) {
            errors.push_back("--" + std::string(name) + " is missing");
        }
    }
    if (options.serviceShare > 0 && !vm.contains("service")) {
        errors.emplace_back("--service-share needs --service");
    }
    if (vm.contains("closed") && vm.contains("rate")) {
        errors.emplace_back("--closed and --rate cannot be combined");
    }
}

} // namespace

LoadOptions parseLoadOptions(int argc, const char *const *argv, std::vector<std::string> &errors)
{
    namespace style = po::command_line_style;
    LoadOptions options;
    const auto description = describe();
    po::variables_map vm;
    try {
        const auto parsed = po::command_line_parser(completeArguments(argc, argv, errors))
                                .options(description)
                                .style(style::allow_long | style::long_allow_next | style::long_allow_adjacent)
                                .allow_unregistered()
                                .run();
        for (const auto &it : po::collect_unrecognized(parsed.options, po::include_positional)) {
            errors.push_back("unknown argument '" + it + "'");
        }
        po::store(parsed, vm);
    } catch (const po::error &e) {
        errors.emplace_back(e.what());
        return options;
    }
    options.json = vm.contains("json");
    options.help = vm.contains("help");
    readFlags(vm, options, errors);
    checkCombinations(vm, options, errors);
    return options;
}

void printLoadHelp(std::ostream &out)
{
    out << describe();
}

} // namespace turmericline

#include "plan_tool.h"

#include "placement.h"
#include "placement_trace.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <numeric>

namespace turmericline {

namespace {

namespace po = boost::program_options;

// Limit memory use in case of a mistyped number.
constexpr std::uint64_t maxCount = 1'000'000;
constexpr std::uint64_t maxGeneratedRows = 100'000'000;

struct PlanError : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/** One line of the output: the map of a layer in a window. */
struct PlanLine
{
    std::uint32_t window = 0;
    std::uint32_t layer = 0;
    const ExpertMap &map;
    std::size_t moves = 0;
    double skew = 1.0;
};

struct PlanSummary
{
    std::vector<double> skews;
    std::size_t moves = 0;
    double lowerBounds = 0.0;
    std::vector<double> decisionMs;
};

po::options_description planOptions()
{
    po::options_description options("turmericline plan");
    auto add = options.add_options();
    add("help", "print this help");
    add("trace", po::value<std::string>(), "CSV file window,layer,expert,tokens to replay; - reads standard input");
    add("ranks", po::value<std::int64_t>(), "number of ranks in the group");
    add("slots", po::value<std::int64_t>(), "number of expert slots per rank and layer");
    add("policy", po::value<std::string>()->default_value("adaptive"), "static, rebuild, rebuild-matched or adaptive");
    add("skew-weight", po::value<double>()->default_value(0.5), "1 counts only skew, 0 only moves (adaptive)");
    add("move-budget", po::value<std::int64_t>(), "maximum number of moves per window over all layers (adaptive)");
    add("json", po::bool_switch(), "print one JSON line per window and layer instead of a summary");
    add("generate",
        po::value<std::string>(),
        "print a trace: slow-drift, sudden-shift, recurring-topic, near-uniform or hot-expert");
    add("seed", po::value<std::uint64_t>()->default_value(1), "seed of the generated trace");
    add("windows", po::value<std::int64_t>()->default_value(60), "number of windows in the generated trace");
    add("layers", po::value<std::int64_t>()->default_value(4), "number of layers in the generated trace");
    add("experts",
        po::value<std::int64_t>(),
        "number of experts per layer; default: 64 if generated, else the highest index in the trace plus 1");
    return options;
}

std::size_t countOption(const po::variables_map &values, const std::string &name, std::int64_t smallest = 1)
{
    if (values.count(name) == 0) {
        throw PlanError("--" + name + " is required");
    }
    const auto value = values[name].as<std::int64_t>();
    if (value < smallest || value > static_cast<std::int64_t>(maxCount)) {
        throw PlanError(fmt::format("--{} must be from {} to {}, got {}", name, smallest, maxCount, value));
    }
    return static_cast<std::size_t>(value);
}

template<typename E, std::size_t N>
E namedOption(const po::variables_map &values, const std::string &name, const std::array<NamedValue<E>, N> &table)
{
    const auto &text = values[name].as<std::string>();
    if (const auto value = valueOf(table, text)) {
        return *value;
    }
    std::vector<std::string_view> names;
    names.reserve(N);
    for (const auto &it : table) {
        names.push_back(it.name);
    }
    throw PlanError(fmt::format("--{} must be one of {}, got \"{}\"", name, fmt::join(names, ", "), text));
}

PlacementTrace loadTrace(const po::variables_map &values)
{
    const auto &path = values["trace"].as<std::string>();
    std::optional<std::size_t> experts;
    if (values.count("experts") != 0) {
        experts = countOption(values, "experts");
    }
    std::ifstream file;
    if (path != "-") {
        file.open(path);
        if (!file) {
            throw PlanError("cannot read " + path);
        }
    }
    auto trace = parseTrace(path == "-" ? std::cin : file, experts);
    if (!trace) {
        throw PlanError(path + ": " + trace.reason);
    }
    return std::move(*trace.value);
}

/** Replays @p trace; calls @p onLine for every layer and window with the map in use. */
template<typename OnLine>
PlanSummary replay(const PlacementTrace &trace,
                   const PlacementShape &shape,
                   PlacementPolicy policy,
                   const PlacementOptions &options,
                   const OnLine &onLine)
{
    using Clock = std::chrono::steady_clock;
    const auto placer = makePlacer(policy, shape, trace.layers.size(), options);
    PlanSummary summary;
    std::vector<ExpertMap> previous;
    for (std::size_t l = 0; l < trace.layers.size(); ++l) {
        previous.push_back(placer->map(l));
    }
    for (std::size_t w = 0; w < trace.windows.size(); ++w) {
        const auto &loads = trace.windows[w];
        for (std::size_t l = 0; l < loads.size(); ++l) {
            const auto &map = placer->map(l);
            const auto moves = movesBetween(previous[l], map);
            const auto skew = skewOf(map, loads[l]);
            onLine(PlanLine{trace.firstWindow + static_cast<std::uint32_t>(w), trace.layers[l], map, moves, skew});
            summary.skews.push_back(skew);
            summary.moves += moves;
            summary.lowerBounds += skewLowerBound(shape, loads[l]);
            previous[l] = map;
        }
        const auto start = Clock::now();
        placer->observe(loads);
        summary.decisionMs.push_back(std::chrono::duration<double, std::milli>(Clock::now() - start).count());
    }
    return summary;
}

void printLine(std::ostream &out, const PlanLine &line)
{
    out << fmt::format("{{\"window\":{},\"layer\":{},\"map\":[", line.window, line.layer);
    for (std::size_t r = 0; r < line.map.size(); ++r) {
        out << fmt::format("{}[{}]", r == 0 ? "" : ",", fmt::join(line.map[r], ","));
    }
    out << fmt::format("],\"moves\":{},\"skew\":{}}}\n", line.moves, line.skew);
}

double mean(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

void printSummary(std::ostream &out, std::string_view policy, PlanSummary summary)
{
    auto &skews = summary.skews;
    const auto p95 = skews.begin() + static_cast<std::ptrdiff_t>((skews.size() - 1) * 95 / 100);
    std::nth_element(skews.begin(), p95, skews.end());
    const auto slowest = *std::max_element(summary.decisionMs.begin(), summary.decisionMs.end());
    out << fmt::format("{:<16} {:>9} {:>9} {:>11} {:>8} {:>11} {:>10}\n",
                       "policy",
                       "mean skew",
                       "p95 skew",
                       "lower bound",
                       "moves",
                       "ms/window",
                       "ms largest");
    out << fmt::format("{:<16} {:>9.4f} {:>9.4f} {:>11.4f} {:>8} {:>11.3f} {:>10.3f}\n",
                       policy,
                       mean(skews),
                       *p95,
                       summary.lowerBounds / static_cast<double>(skews.size()),
                       summary.moves,
                       mean(summary.decisionMs),
                       slowest);
}

void generate(const po::variables_map &values, std::ostream &out)
{
    TraceParameters parameters;
    parameters.kind = namedOption(values, "generate", traceKindNames);
    parameters.seed = values["seed"].as<std::uint64_t>();
    parameters.windows = countOption(values, "windows");
    parameters.layers = countOption(values, "layers");
    parameters.experts = values.count("experts") == 0 ? parameters.experts : countOption(values, "experts");
    if (parameters.windows * parameters.layers > maxGeneratedRows / parameters.experts) {
        throw PlanError("the product of --windows, --layers and --experts must be at most 100000000");
    }
    writeTrace(out, generateTrace(parameters));
}

void plan(const po::variables_map &values, std::ostream &out)
{
    if (values.count("trace") == 0) {
        throw PlanError("either --trace or --generate is required");
    }
    const auto policy = namedOption(values, "policy", placementPolicyNames);
    PlacementShape shape{countOption(values, "ranks"), countOption(values, "slots"), 0};
    PlacementOptions options;
    options.skewWeight = values["skew-weight"].as<double>();
    if (!(options.skewWeight >= 0.0 && options.skewWeight <= 1.0)) {
        throw PlanError("--skew-weight must be from 0 to 1");
    }
    if (values.count("move-budget") != 0) {
        options.moveBudget = countOption(values, "move-budget", 0);
    }
    const auto trace = loadTrace(values);
    shape.experts = trace.experts;
    if (const auto error = shapeError(shape); !error.empty()) {
        throw PlanError(error);
    }
    const bool isJson = values["json"].as<bool>();
    const auto summary = replay(trace, shape, policy, options, [&](const PlanLine &line) {
        if (isJson) {
            printLine(out, line);
        }
    });
    if (!isJson) {
        printSummary(out, nameOf(placementPolicyNames, policy), summary);
    }
}

} // namespace

int runPlan(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    try {
        po::variables_map values;
        const auto options = planOptions();
        po::store(po::command_line_parser(argc, argv).options(options).positional({}).run(), values);
        po::notify(values);
        if (values.count("help") != 0) {
            out << options;
        } else if (values.count("generate") != 0) {
            generate(values, out);
        } else {
            plan(values, out);
        }
        return 0;
    } catch (const std::exception &error) {
        err << "plan: " << error.what() << '\n';
        return 1;
    }
}

} // namespace turmericline

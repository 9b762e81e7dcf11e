#include "placement_trace.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <istream>
#include <map>
#include <ostream>
#include <set>

namespace turmericline {

namespace {

constexpr std::string_view header = "window,layer,expert,tokens";

// Limit memory use in case of a mistyped number, since windows between the first and the last are filled in.
constexpr std::uint32_t maxWindow = 10'000'000;
constexpr std::uint32_t maxLayer = 9'999;
constexpr std::uint32_t maxExpert = 65'535;
constexpr std::size_t maxCellCount = std::size_t{1} << 27;

struct Row
{
    std::uint32_t window = 0;
    std::uint32_t layer = 0;
    std::uint32_t expert = 0;
    double tokens = 0.0;
    std::size_t line = 0;
};

template<typename T>
bool parseNumber(std::string_view text, T &value)
{
    const auto *end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc{} && at == end && !text.empty();
}

std::string parseIndex(std::string_view name, std::string_view text, std::uint32_t largest, std::uint32_t &value)
{
    if (!parseNumber(text, value) || value > largest) {
        return fmt::format("{} must be a whole number from 0 to {}, got \"{}\"", name, largest, text);
    }
    return {};
}

std::string parseRow(std::string_view line, Row &row)
{
    std::array<std::string_view, 4> fields;
    std::size_t count = 0;
    for (std::size_t from = 0; from <= line.size(); ++count) {
        const auto comma = std::min(line.find(',', from), line.size());
        if (count < fields.size()) {
            fields[count] = line.substr(from, comma - from);
        }
        from = comma + 1;
    }
    if (count != fields.size()) {
        return fmt::format("expected {} fields, got {}", fields.size(), count);
    }
    for (const auto &error : {parseIndex("window", fields[0], maxWindow, row.window),
                              parseIndex("layer", fields[1], maxLayer, row.layer),
                              parseIndex("expert", fields[2], maxExpert, row.expert)}) {
        if (!error.empty()) {
            return error;
        }
    }
    if (!parseNumber(fields[3], row.tokens) || !std::isfinite(row.tokens) || row.tokens < 0.0 || row.tokens > 1e15) {
        return fmt::format("tokens must be a number from 0 to 1e15, got \"{}\"", fields[3]);
    }
    return {};
}

Result<std::vector<Row>> parseRows(std::istream &in, std::optional<std::size_t> experts)
{
    std::vector<Row> rows;
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (line.empty() || (number == 1 && line == header)) {
            continue;
        }
        Row row;
        row.line = number;
        if (const auto error = parseRow(line, row); !error.empty()) {
            return Result<std::vector<Row>>::fail(fmt::format("line {}: {}", number, error));
        }
        if (experts && row.expert >= *experts) {
            return Result<std::vector<Row>>::fail(
                fmt::format("line {}: expert {} is outside the range of {} experts", number, row.expert, *experts));
        }
        rows.push_back(row);
    }
    return Result<std::vector<Row>>::ok(std::move(rows));
}

/** Returns the line of the first row with the same window, layer and expert as an earlier row, or 0. */
std::size_t lineOfDuplicate(std::vector<Row> &rows)
{
    std::sort(rows.begin(), rows.end(), [](const Row &a, const Row &b) {
        return std::tie(a.window, a.layer, a.expert, a.line) < std::tie(b.window, b.layer, b.expert, b.line);
    });
    std::size_t line = 0;
    for (std::size_t n = 1; n < rows.size(); ++n) {
        const auto &a = rows[n - 1];
        const auto &b = rows[n];
        if (a.window == b.window && a.layer == b.layer && a.expert == b.expert && (line == 0 || b.line < line)) {
            line = b.line;
        }
    }
    return line;
}

} // namespace

Result<PlacementTrace> parseTrace(std::istream &in, std::optional<std::size_t> experts)
{
    using Failure = Result<PlacementTrace>;
    auto parsed = parseRows(in, experts);
    if (!parsed) {
        return Failure::fail(parsed.reason);
    }
    auto &rows = *parsed.value;
    if (rows.empty()) {
        return Failure::fail("line 1: the trace has no rows");
    }
    if (const auto line = lineOfDuplicate(rows); line != 0) {
        return Failure::fail(fmt::format("line {}: this window, layer and expert already has a row", line));
    }
    PlacementTrace trace;
    std::map<std::uint32_t, std::size_t> position;
    std::size_t highest = 0;
    for (const auto &it : rows) {
        position.emplace(it.layer, 0);
        highest = std::max<std::size_t>(highest, it.expert);
    }
    for (auto &[layer, index] : position) {
        index = trace.layers.size();
        trace.layers.push_back(layer);
    }
    trace.experts = experts.value_or(highest + 1);
    trace.firstWindow = rows.front().window;
    const std::size_t windows = rows.back().window - trace.firstWindow + 1;
    if (windows * trace.layers.size() * trace.experts > maxCellCount) {
        return Failure::fail(fmt::format("line {}: trace too large: {} windows of {} layers with {} experts",
                                         rows.back().line,
                                         windows,
                                         trace.layers.size(),
                                         trace.experts));
    }
    trace.windows.assign(windows, {trace.layers.size(), ExpertLoads(trace.experts, 0.0)});
    for (const auto &it : rows) {
        trace.windows[it.window - trace.firstWindow][position[it.layer]][it.expert] = it.tokens;
    }
    return Result<PlacementTrace>::ok(std::move(trace));
}

void writeTrace(std::ostream &out, const PlacementTrace &trace)
{
    out << header << '\n';
    for (std::size_t w = 0; w < trace.windows.size(); ++w) {
        for (std::size_t l = 0; l < trace.layers.size(); ++l) {
            for (std::size_t e = 0; e < trace.experts; ++e) {
                out << fmt::format("{},{},{},{}\n", trace.firstWindow + w, trace.layers[l], e, trace.windows[w][l][e]);
            }
        }
    }
}

} // namespace turmericline

#include "placement_trace.h"

#include <cmath>
#include <numbers>
#include <numeric>
#include <random>

namespace turmericline {

namespace {

constexpr double tokensPerWindow = 200'000.0;

/** Random numbers that are the same on every platform; the distributions of the standard library are not portable. */
class TraceRandom
{
public:
    explicit TraceRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    double between(double low, double high)
    {
        return low + (high - low) * static_cast<double>(m_engine() >> 11) * 0x1p-53;
    }

    std::size_t below(std::size_t n)
    {
        return static_cast<std::size_t>(between(0.0, static_cast<double>(n))) % n;
    }

    double normal()
    {
        const double radius = std::sqrt(-2.0 * std::log(1.0 - between(0.0, 1.0)));
        return radius * std::cos(2.0 * std::numbers::pi * between(0.0, 1.0));
    }

private:
    std::mt19937_64 m_engine;
};

/** Shares of a Zipf distribution in random order; they add up to 1. */
std::vector<double> popularity(TraceRandom &random, std::size_t experts, double exponent)
{
    std::vector<double> shares(experts);
    for (std::size_t e = 0; e < experts; ++e) {
        shares[e] = std::pow(static_cast<double>(e + 1), -exponent);
    }
    for (std::size_t n = experts; n > 1; --n) {
        std::swap(shares[n - 1], shares[random.below(n)]);
    }
    const double total = std::accumulate(shares.begin(), shares.end(), 0.0);
    for (auto &it : shares) {
        it /= total;
    }
    return shares;
}

/** Popularity of the experts of one layer over time, with random parameters for each layer. */
class LayerTrend
{
public:
    LayerTrend(TraceRandom &random, const TraceParameters &parameters)
        : m_kind(parameters.kind)
        , m_base(popularity(random, parameters.experts, exponent(random)))
        , m_other(popularity(random, parameters.experts, random.between(0.5, 1.0)))
        , m_period(parameters.windows * random.between(0.5, 1.5))
        , m_start(random.between(0.25, 0.75))
        , m_cycle(6 + random.below(14))
        , m_amount(random.between(0.15, 0.4))
        , m_hot(random.below(parameters.experts))
        , m_windows(parameters.windows)
    {
    }

    double share(std::size_t window, std::size_t expert) const
    {
        const double base = m_base[expert];
        const double other = m_other[expert];
        const auto w = static_cast<double>(window);
        switch (m_kind) {
        case TraceKind::SlowDrift: {
            const double t = 0.5 - 0.5 * std::cos(std::numbers::pi * w / m_period);
            return base + (other - base) * t;
        }
        case TraceKind::SuddenShift:
            return w < m_start * static_cast<double>(m_windows) ? base : other;
        case TraceKind::RecurringTopic:
            return window / m_cycle % 2 == 0 ? base : base * (1.0 - m_amount) + other * m_amount;
        case TraceKind::NearUniform:
            return base;
        case TraceKind::HotExpert:
            return base * (1.0 - m_amount) + (expert == m_hot ? m_amount : 0.0);
        }
        return base;
    }

private:
    double exponent(TraceRandom &random) const
    {
        return m_kind == TraceKind::NearUniform ? 0.0 : random.between(0.4, 1.0);
    }

    TraceKind m_kind;
    std::vector<double> m_base;
    std::vector<double> m_other;
    double m_period;
    double m_start;
    std::size_t m_cycle;
    double m_amount;
    std::size_t m_hot;
    std::size_t m_windows;
};

} // namespace

PlacementTrace generateTrace(const TraceParameters &parameters)
{
    TraceRandom random(parameters.seed * 8 + static_cast<std::uint64_t>(parameters.kind));
    PlacementTrace trace;
    trace.experts = parameters.experts;
    trace.layers.resize(parameters.layers);
    std::iota(trace.layers.begin(), trace.layers.end(), 0U);
    trace.windows.assign(parameters.windows, {parameters.layers, ExpertLoads(parameters.experts, 0.0)});
    for (std::size_t l = 0; l < parameters.layers; ++l) {
        const LayerTrend trend(random, parameters);
        const double noise = random.between(0.02, 0.12);
        for (std::size_t w = 0; w < parameters.windows; ++w) {
            for (std::size_t e = 0; e < parameters.experts; ++e) {
                const double tokens = tokensPerWindow * trend.share(w, e) * std::exp(noise * random.normal());
                trace.windows[w][l][e] = std::round(tokens);
            }
        }
    }
    return trace;
}

} // namespace turmericline

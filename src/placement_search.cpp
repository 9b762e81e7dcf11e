#include "placement_search.h"

#include "placement.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace turmericline {

namespace {

// Cost of a change without moves, such as undoing an earlier step, so that its gain per move stays finite.
constexpr double undoCost = 0.25;
// Retargeting ignores experts whose share is within this factor of the smallest possible largest share.
constexpr double retargetSlack = 1.2;
// Only the least loaded ranks are considered as targets; considering all of 128 ranks takes four times as long.
constexpr std::size_t maxTargets = 32;
constexpr std::size_t stepsPerTargetChoice = 8;
constexpr double smallestGain = 1e-9;

/**
 * The 16th power makes the sum over ranks approximate the largest load, but still rewards relieving one of several
 * equally loaded ranks.
 */
double penalty(double load)
{
    const double p2 = load * load;
    const double p4 = p2 * p2;
    const double p8 = p4 * p4;
    return p8 * p8;
}

template<typename T>
void eraseValue(std::vector<T> &values, T value)
{
    const auto it = std::find(values.begin(), values.end(), value);
    *it = values.back();
    values.pop_back();
}

} // namespace

MapSearch::MapSearch(const PlacementShape &shape)
    : m_shape(shape)
    , m_holders(shape.experts)
    , m_slots(shape.ranks)
    , m_held(shape.ranks * shape.experts)
    , m_rankLoad(shape.ranks)
    , m_penalty(shape.ranks)
    , m_ratings(shape.experts)
{
}

void MapSearch::reset(const ExpertMap &map, const ExpertLoads &shares)
{
    m_load = shares;
    for (auto &it : m_load) {
        it *= static_cast<double>(m_shape.ranks);
    }
    for (auto &it : m_holders) {
        it.clear();
    }
    std::fill(m_held.begin(), m_held.end(), 0);
    m_slots = map;
    for (std::size_t r = 0; r < map.size(); ++r) {
        for (const auto it : map[r]) {
            m_held[r * m_shape.experts + it] = 1;
            m_holders[it].push_back(static_cast<std::uint32_t>(r));
        }
    }
    m_heldAtStart = m_held;
    m_moves = 0;
    m_newCopies.assign(map.size(), 0);
    m_edits.clear();
    m_stepsUntilTargets = 0;
    for (std::size_t r = 0; r < map.size(); ++r) {
        m_rankLoad[r] = 0.0;
        for (const auto it : map[r]) {
            m_rankLoad[r] += share(it, copies(it));
        }
        m_penalty[r] = penalty(m_rankLoad[r]);
    }
}

void MapSearch::reset(const ExpertMap &map, const ExpertLoads &shares, std::span<const double> extraLoad)
{
    reset(map, shares);
    for (std::size_t r = 0; r < extraLoad.size(); ++r) {
        m_rankLoad[r] += extraLoad[r];
        m_penalty[r] = penalty(m_rankLoad[r]);
    }
}

double MapSearch::skew() const
{
    return *std::max_element(m_rankLoad.begin(), m_rankLoad.end());
}

double MapSearch::meanSkew(const ScenarioLoads &scenarios) const
{
    std::array<double, scenarioCount> largest{};
    for (const auto &slots : m_slots) {
        std::array<double, scenarioCount> load{};
        for (const auto it : slots) {
            const double part = 1.0 / static_cast<double>(copies(it));
            for (std::size_t n = 0; n < scenarioCount; ++n) {
                load[n] += scenarios[it][n] * part;
            }
        }
        for (std::size_t n = 0; n < scenarioCount; ++n) {
            largest[n] = std::max(largest[n], load[n]);
        }
    }
    const double sum = std::accumulate(largest.begin(), largest.end(), 0.0);
    return sum * static_cast<double>(m_shape.ranks) / static_cast<double>(scenarioCount);
}

void MapSearch::applyTo(ExpertMap &map, std::span<const Edit> edits)
{
    for (const auto &it : edits) {
        auto &slots = map[it.rank];
        if (it.kind == Edit::Kind::Add) {
            slots.insert(std::lower_bound(slots.begin(), slots.end(), it.expert), it.expert);
        } else {
            slots.erase(std::lower_bound(slots.begin(), slots.end(), it.expert));
        }
    }
}

void MapSearch::limitNewCopies(std::span<const std::size_t> maxByRank)
{
    m_maxNewCopies.assign(maxByRank.begin(), maxByRank.end());
}

bool MapSearch::isWithinLimit(std::initializer_list<Edit> edits) const
{
    if (m_maxNewCopies.empty()) {
        return true;
    }
    return std::all_of(edits.begin(), edits.end(), [this](const Edit &it) {
        return it.kind == Edit::Kind::Remove || moveCost(it.expert, it.rank) == 0.0
               || m_newCopies[it.rank] < m_maxNewCopies[it.rank];
    });
}

bool MapSearch::step()
{
    m_mostLoaded
        = static_cast<std::size_t>(std::max_element(m_rankLoad.begin(), m_rankLoad.end()) - m_rankLoad.begin());
    m_best = {};
    m_bestRate = 0.0;
    rateExperts();
    considerExchanges();
    if (m_stepsUntilTargets-- == 0) {
        chooseTargets();
        m_stepsUntilTargets = stepsPerTargetChoice;
    }
    for (const auto rank : m_targets) {
        if (m_rankLoad[rank] < m_rankLoad[m_mostLoaded]) {
            considerCopies(rank);
        }
    }
    // Swaps come last: the best change found so far allows most of them to be skipped.
    for (const auto rank : m_targets) {
        if (m_rankLoad[rank] < m_rankLoad[m_mostLoaded]) {
            considerSwaps(rank);
        }
    }
    for (std::size_t n = 0; n < m_best.count; ++n) {
        apply(m_best.edits[n]);
    }
    return m_best.count > 0;
}

void MapSearch::retarget()
{
    const auto targets = copiesByLoad(m_shape, m_load);
    std::vector<ExpertIndex> missing;
    double largest = 0.0;
    for (ExpertIndex e = 0; e < m_shape.experts; ++e) {
        largest = std::max(largest, share(e, targets[e]));
    }
    std::size_t needed = 0;
    for (ExpertIndex e = 0; e < m_shape.experts; ++e) {
        if (copies(e) < targets[e] && share(e, copies(e)) > retargetSlack * largest) {
            missing.push_back(e);
            needed += targets[e] - copies(e);
        }
    }
    std::vector<ExpertIndex> surplus;
    for (ExpertIndex e = 0; e < m_shape.experts; ++e) {
        if (copies(e) > targets[e]) {
            surplus.push_back(e);
        }
    }
    std::sort(surplus.begin(), surplus.end(), [&](ExpertIndex a, ExpertIndex b) {
        return share(a, copies(a)) < share(b, copies(b));
    });
    for (const auto e : surplus) {
        while (copies(e) > targets[e] && needed > 0) {
            const auto rank = *std::max_element(m_holders[e].begin(), m_holders[e].end(), [&](auto a, auto b) {
                return m_rankLoad[a] < m_rankLoad[b];
            });
            apply({Edit::Kind::Remove, e, rank});
            --needed;
        }
    }
    std::sort(missing.begin(), missing.end(), [&](ExpertIndex a, ExpertIndex b) {
        return share(a, targets[a]) > share(b, targets[b]);
    });
    for (const auto e : missing) {
        while (copies(e) < targets[e]) {
            std::size_t best = m_shape.ranks;
            for (std::size_t r = 0; r < m_shape.ranks; ++r) {
                if (m_slots[r].size() < m_shape.slots && !holds(r, e)
                    && (best == m_shape.ranks || m_rankLoad[r] < m_rankLoad[best])) {
                    best = r;
                }
            }
            if (best == m_shape.ranks) {
                break;
            }
            apply({Edit::Kind::Add, e, best});
        }
    }
}

double MapSearch::moveCost(ExpertIndex expert, std::size_t rank) const
{
    return m_heldAtStart[rank * m_shape.experts + expert] ? 0.0 : 1.0;
}

void MapSearch::rateExperts()
{
    for (ExpertIndex e = 0; e < m_shape.experts; ++e) {
        const auto n = copies(e);
        const double shareIncrease = n > 1 ? share(e, n - 1) - share(e, n) : 0.0;
        const double shareDecrease = share(e, n) - share(e, n + 1);
        double penaltyIncrease = 0.0;
        double penaltyDecrease = 0.0;
        for (const auto r : m_holders[e]) {
            penaltyIncrease += n > 1 ? penalty(m_rankLoad[r] + shareIncrease) - m_penalty[r] : 0.0;
            penaltyDecrease += m_penalty[r] - penalty(m_rankLoad[r] - shareDecrease);
        }
        m_ratings[e] = {share(e, n), share(e, n + 1), shareIncrease, penaltyIncrease, penaltyDecrease};
    }
}

void MapSearch::considerExchanges()
{
    const double limit = m_rankLoad[m_mostLoaded];
    for (const auto a : m_slots[m_mostLoaded]) {
        if (copies(a) < 2) {
            continue;
        }
        const auto &removed = m_ratings[a];
        const double others
            = removed.penaltyIncrease - (penalty(limit + removed.shareIncrease) - m_penalty[m_mostLoaded]);
        for (ExpertIndex b = 0; b < m_shape.experts; ++b) {
            const auto &candidate = m_ratings[b];
            if (candidate.shareWithCopy < removed.share && !holds(m_mostLoaded, b)) {
                const double load = limit + candidate.shareWithCopy - removed.share;
                consider({{Edit::Kind::Remove, a, m_mostLoaded}, {Edit::Kind::Add, b, m_mostLoaded}},
                         moveCost(b, m_mostLoaded),
                         m_penalty[m_mostLoaded] - penalty(load) - others + candidate.penaltyDecrease);
            }
        }
    }
}

void MapSearch::chooseTargets()
{
    m_targets.clear();
    for (std::uint32_t r = 0; r < m_shape.ranks; ++r) {
        m_targets.push_back(r);
    }
    if (m_targets.size() > maxTargets) {
        std::nth_element(
            m_targets.begin(), m_targets.begin() + maxTargets, m_targets.end(), [&](std::uint32_t a, std::uint32_t b) {
                return std::tie(m_rankLoad[a], a) < std::tie(m_rankLoad[b], b);
            });
        m_targets.resize(maxTargets);
    }
}

void MapSearch::considerCopies(std::size_t rank)
{
    for (const auto a : m_slots[m_mostLoaded]) {
        if (!holds(rank, a)) {
            considerReplacements(rank, a);
            if (m_slots[rank].size() < m_shape.slots) {
                considerFreeSlot(rank, a);
            }
        }
    }
}

void MapSearch::considerSwaps(std::size_t rank)
{
    // Upper bound: the largest possible gain of a swap is that of making the two loads equal.
    const double limit = m_rankLoad[m_mostLoaded];
    const double before = m_penalty[m_mostLoaded] + m_penalty[rank];
    if (before - 2.0 * penalty((limit + m_rankLoad[rank]) / 2.0) <= 2.0 * m_bestRate) {
        return;
    }
    for (const auto a : m_slots[m_mostLoaded]) {
        if (holds(rank, a)) {
            continue;
        }
        for (const auto b : m_slots[rank]) {
            const double lowered = m_ratings[a].share - m_ratings[b].share;
            if (lowered <= 0.0 || m_rankLoad[rank] + lowered >= limit || holds(m_mostLoaded, b)) {
                continue;
            }
            const double gain = before - penalty(limit - lowered) - penalty(m_rankLoad[rank] + lowered);
            consider({{Edit::Kind::Remove, a, m_mostLoaded},
                      {Edit::Kind::Remove, b, rank},
                      {Edit::Kind::Add, a, rank},
                      {Edit::Kind::Add, b, m_mostLoaded}},
                     moveCost(a, rank) + moveCost(b, m_mostLoaded),
                     gain);
        }
    }
}

void MapSearch::considerReplacements(std::size_t rank, ExpertIndex expert)
{
    const auto &added = m_ratings[expert];
    for (const auto x : m_slots[rank]) {
        const auto &removed = m_ratings[x];
        const double load = m_rankLoad[rank] + added.shareWithCopy - removed.share;
        if (copies(x) < 2 || load >= m_rankLoad[m_mostLoaded]) {
            continue;
        }
        const double others
            = removed.penaltyIncrease - (penalty(m_rankLoad[rank] + removed.shareIncrease) - m_penalty[rank]);
        consider({{Edit::Kind::Remove, x, rank}, {Edit::Kind::Add, expert, rank}},
                 moveCost(expert, rank),
                 m_penalty[rank] - penalty(load) - others + added.penaltyDecrease);
    }
}

void MapSearch::considerFreeSlot(std::size_t rank, ExpertIndex expert)
{
    const auto &added = m_ratings[expert];
    const double limit = m_rankLoad[m_mostLoaded];
    const double relocated = m_rankLoad[rank] + added.share;
    if (relocated < limit) {
        consider({{Edit::Kind::Add, expert, rank}, {Edit::Kind::Remove, expert, m_mostLoaded}},
                 moveCost(expert, rank),
                 m_penalty[m_mostLoaded] + m_penalty[rank] - penalty(limit - added.share) - penalty(relocated));
    }
    const double joined = m_rankLoad[rank] + added.shareWithCopy;
    if (joined < limit) {
        consider({{Edit::Kind::Add, expert, rank}},
                 moveCost(expert, rank),
                 m_penalty[rank] - penalty(joined) + added.penaltyDecrease);
    }
}

void MapSearch::consider(std::initializer_list<Edit> edits, double cost, double gain)
{
    const double rate = gain / std::max(cost, undoCost);
    if (gain > smallestGain && rate > m_bestRate && isWithinLimit(edits)) {
        m_bestRate = rate;
        m_best.count = edits.size();
        std::copy(edits.begin(), edits.end(), m_best.edits.begin());
    }
}

void MapSearch::apply(const Edit &edit)
{
    m_edits.push_back(edit);
    auto &holders = m_holders[edit.expert];
    const double before = holders.empty() ? 0.0 : share(edit.expert, holders.size());
    const bool isAdded = edit.kind == Edit::Kind::Add;
    const auto rank = static_cast<std::uint32_t>(edit.rank);
    m_held[edit.rank * m_shape.experts + edit.expert] = isAdded ? 1 : 0;
    const bool isMove = moveCost(edit.expert, edit.rank) > 0.0;
    if (isAdded) {
        m_moves += isMove ? 1 : 0;
        m_newCopies[edit.rank] += isMove ? 1 : 0;
        m_slots[edit.rank].push_back(edit.expert);
    } else {
        m_moves -= isMove ? 1 : 0;
        m_newCopies[edit.rank] -= isMove ? 1 : 0;
        eraseValue(m_slots[edit.rank], edit.expert);
        eraseValue(holders, rank);
        m_rankLoad[edit.rank] -= before;
        m_penalty[edit.rank] = penalty(m_rankLoad[edit.rank]);
    }
    const std::size_t after = holders.size() + (isAdded ? 1 : 0);
    for (const auto r : holders) {
        m_rankLoad[r] += share(edit.expert, after) - before;
        m_penalty[r] = penalty(m_rankLoad[r]);
    }
    if (isAdded) {
        holders.push_back(rank);
        m_rankLoad[edit.rank] += share(edit.expert, after);
        m_penalty[edit.rank] = penalty(m_rankLoad[edit.rank]);
    }
}

} // namespace turmericline

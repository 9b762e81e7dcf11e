#include "rank_report.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace turmericline {

std::uint32_t ranksPerBlock(std::size_t ranks)
{
    const auto width = static_cast<std::uint32_t>(std::ceil(std::sqrt(static_cast<double>(ranks))));
    return std::min(maxRanksPerQuery, width);
}

void merge(GroupReport &report, GroupReport more)
{
    std::move(more.ranks.begin(), more.ranks.end(), std::back_inserter(report.ranks));
    if (report.choices.empty()) {
        report.choices = std::move(more.choices);
        return;
    }
    // Counts for a different number of experts belong to another model and cannot be added.
    const auto n = more.choices.size() == report.choices.size() ? report.choices.size() : 0;
    for (std::size_t it = 0; it < n; ++it) {
        report.choices[it] += more.choices[it];
    }
}

ExpertChoices ChoiceCounter::choicesSinceLast(const RankCounts &counts)
{
    const auto last = std::exchange(m_last, counts);
    ExpertChoices choices(counts.counts.size(), 0);
    if (!last || last->counts.size() != counts.counts.size()) {
        return choices;
    }
    for (std::size_t n = 0; n < choices.size(); ++n) {
        // After a restart, the counts of a rank start from zero.
        const auto before = counts.counts[n] >= last->counts[n] ? last->counts[n] : 0;
        choices[n] = counts.counts[n] - before;
    }
    return choices;
}

} // namespace turmericline

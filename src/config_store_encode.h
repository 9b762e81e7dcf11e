#pragma once

#include "config_store.h"
#include "document_patch.h"

#include <fmt/format.h>

#include <algorithm>

namespace turmericline {

namespace detail {

inline std::string refFields(std::string_view prefix, const DocumentRef &ref)
{
    return fmt::format(R"("{0}version":{1},"{0}digest":"{2}")", prefix, ref.version, digestText(ref.digest));
}

} // namespace detail

/** Returns the patches that lead from one document to another, or nothing if one of them is missing. */
template<typename Checks>
std::optional<std::vector<const PatchStep *>> BasicConfigStore<Checks>::patchChain(const DocumentRef &from,
                                                                                   const DocumentRef &to) const
{
    std::vector<const PatchStep *> steps;
    auto at = to;
    for (auto it = m_steps.rbegin(); it != m_steps.rend() && at != from; ++it) {
        if (it->to == at) {
            steps.push_back(&*it);
            at = it->from;
        }
    }
    if (at != from) {
        return std::nullopt;
    }
    std::ranges::reverse(steps);
    return steps;
}

/** Appends the entries that update a peer to @p target. Returns false if the peer would gain nothing from them. */
template<typename Checks>
bool BasicConfigStore<Checks>::encodeTarget(const DocumentQuery &query,
                                            const DocumentRef &target,
                                            std::string &out) const
{
    const bool isSeen = target == query.seen;
    auto steps = patchChain(isSeen ? query.from : query.seen, target);
    if (!steps && !isSeen) {
        steps = patchChain(query.from, target);
    }
    // The peer has rejected the target. Only the documents in between can help, when key owners change in stages.
    if (isSeen && (!steps || steps->size() < 2)) {
        return false;
    }
    if (!steps) {
        out += fmt::format(
            R"({}{{{},"document":{}}})", out.empty() ? "" : ",", detail::refFields("", target), *textOf(target));
        return true;
    }
    for (const auto *it : *steps) {
        out += fmt::format(R"({}{{{},{},"patch":{}}})",
                           out.empty() ? "" : ",",
                           detail::refFields("", it->to),
                           detail::refFields("from_", it->from),
                           it->patch);
    }
    return !steps->empty();
}

template<typename Checks>
std::optional<std::string> BasicConfigStore<Checks>::encodeUpdate(const DocumentQuery &query) const
{
    std::string entries;
    auto base = query;
    if (m_activeDocument.ref > query.from && encodeTarget(query, m_activeDocument.ref, entries)) {
        base = {m_activeDocument.ref, std::max(query.seen, m_activeDocument.ref)};
    }
    if (m_rejectedDocument && m_rejectedDocument->ref > query.seen) {
        encodeTarget(base, m_rejectedDocument->ref, entries);
    }
    if (entries.empty()) {
        return std::nullopt;
    }
    return R"({"updates":[)" + entries + "]}";
}

} // namespace turmericline

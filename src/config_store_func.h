#pragma once

#include "config_store_encode.h"
#include "document_json.h"
#include "document_patch.h"

#include <fmt/format.h>

#include <algorithm>

namespace turmericline {

namespace detail {

/** Limits above maxDocumentBytes, because canonical numbers may be longer and an update adds fields of its own. */
inline constexpr std::size_t maxCanonicalBytes = 2 * maxDocumentBytes;
inline constexpr std::size_t maxUpdateBytes = 6 * maxDocumentBytes;
inline constexpr std::size_t maxRejectedRefs = 32;

inline std::optional<DocumentRef> parseRef(const nlohmann::json &entry, std::string_view prefix)
{
    const auto digest = entry.find(std::string(prefix) + "digest");
    const auto version = entry.find(std::string(prefix) + "version");
    if (digest == entry.end() || version == entry.end() || !digest->is_string() || !version->is_number_unsigned()) {
        return std::nullopt;
    }
    const auto bytes = parseDigest(digest->template get_ref<const std::string &>());
    return bytes ? std::optional(DocumentRef{version->template get<std::uint64_t>(), *bytes}) : std::nullopt;
}

} // namespace detail

/** A document that is being validated. */
template<typename Checks>
struct BasicConfigStore<Checks>::Candidate
{
    DocumentRef ref;
    nlohmann::json json;
    std::shared_ptr<const std::string> text;
};

template<typename Checks>
BasicConfigStore<Checks>::BasicConfigStore(ConfigStoreLimits limits, Parser parser)
    : m_limits(limits)
    , m_parser(std::move(parser))
{
}

template<typename Checks>
const DocumentRef &BasicConfigStore<Checks>::newest() const
{
    return m_rejectedDocument ? m_rejectedDocument->ref : m_activeDocument.ref;
}

template<typename Checks>
DocumentAnnouncement BasicConfigStore<Checks>::announcement() const
{
    return {m_activeDocument.ref, newest()};
}

template<typename Checks>
std::shared_ptr<const std::string> BasicConfigStore<Checks>::textOf(const DocumentRef &ref) const
{
    if (m_activeDocument.text && ref == m_activeDocument.ref) {
        return m_activeDocument.text;
    }
    return m_rejectedDocument && ref == m_rejectedDocument->ref ? m_rejectedDocument->text : nullptr;
}

/** Returns a stored document as JSON, parsed from @p text unless cached. The caller may modify it. */
template<typename Checks>
nlohmann::json BasicConfigStore<Checks>::takeJson(const DocumentRef &ref, const std::string &text)
{
    const auto parsed = ref == m_cachedRef ? std::exchange(m_cachedJson, nullptr) : nullptr;
    return parsed ? std::move(*parsed) : nlohmann::json::parse(text);
}

template<typename Checks>
void BasicConfigStore<Checks>::cacheJson(Candidate &candidate)
{
    if (candidate.text && candidate.ref == newest()) {
        m_cachedRef = candidate.ref;
        m_cachedJson = std::make_shared<nlohmann::json>(std::move(candidate.json));
    }
}

template<typename Checks>
ApplyOutcome BasicConfigStore<Checks>::refuse(std::string reason)
{
    ++m_counters.refused;
    return {ApplyStatus::Refused, std::move(reason), 0};
}

template<typename Checks>
ApplyOutcome BasicConfigStore<Checks>::offer(std::string_view text)
{
    auto read = readJson(text, maxDocumentBytes);
    if (!read.value) {
        return refuse(read.errors.front().path + ": " + read.errors.front().message);
    }
    Candidate candidate{{versionOf(*read.value), {}}, std::move(*read.value), nullptr};
    if (candidate.ref.version == 0) {
        return refuse("$.version: no valid version");
    }
    auto canonical = canonicalText(candidate.json);
    if (canonical.size() > detail::maxCanonicalBytes) {
        return refuse("$: too large in canonical form");
    }
    candidate.ref.digest = documentDigest(canonical);
    candidate.text = std::make_shared<const std::string>(std::move(canonical));
    auto outcome = applyWhole(candidate);
    outcome.version = candidate.ref.version;
    cacheJson(candidate);
    return outcome;
}

/** Applies a document that came without a patch, and generates a patch for the peers. */
template<typename Checks>
ApplyOutcome BasicConfigStore<Checks>::applyWhole(const Candidate &candidate)
{
    const auto activeDocument = m_activeDocument;
    const auto rejectedDocument = m_rejectedDocument;
    auto outcome = tryApply(candidate);
    if (outcome.status != ApplyStatus::Unchanged) {
        // Peers that reject the same documents share the newest one as base, all others share the active one.
        addDiff(
            activeDocument, outcome.status == ApplyStatus::KeptForPeers ? rejectedDocument : std::nullopt, candidate);
    }
    return outcome;
}

/** Validates a document, and makes it active if it is valid. */
template<typename Checks>
ApplyOutcome BasicConfigStore<Checks>::tryApply(const Candidate &candidate)
{
    if (m_activeDocument.document && candidate.ref.version == m_activeDocument.ref.version
        && candidate.ref != m_activeDocument.ref) {
        ++m_counters.conflicts;
    }
    if constexpr (Checks::ordering) {
        // Checked before the expensive parsing, because most documents that arrive are already active.
        if (auto reason = validateOrder(m_activeDocument, candidate.ref)) {
            return {ApplyStatus::Unchanged, std::move(*reason), 0};
        }
    }
    auto parse = m_parser(candidate.json);
    if (!parse.document) {
        m_rejectedRefs.push_back(candidate.ref);
        if (m_rejectedRefs.size() > detail::maxRejectedRefs) {
            m_rejectedRefs.pop_front();
        }
        return reject(candidate, parse.errors.front().path + ": " + parse.errors.front().message);
    }
    if (auto reason = validateChange(m_activeDocument, *parse.document)) {
        return reject(candidate, std::move(*reason));
    }
    makeActive(m_activeDocument, candidate.ref, candidate.text, std::move(*parse.document));
    ++m_counters.applied;
    if (m_rejectedDocument && m_rejectedDocument->ref <= m_activeDocument.ref) {
        m_rejectedDocument.reset();
    }
    return {ApplyStatus::Applied, {}, 0};
}

/** Keeps only the newest rejected document, for peers that run a version of the program that accepts it. */
template<typename Checks>
ApplyOutcome BasicConfigStore<Checks>::reject(const Candidate &candidate, std::string reason)
{
    if (candidate.ref <= newest()) {
        return {ApplyStatus::Unchanged, std::move(reason), 0};
    }
    ++m_counters.rejected;
    m_rejectedDocument = RejectedDocument{candidate.ref, candidate.text};
    return {ApplyStatus::KeptForPeers, std::move(reason), 0};
}

template<typename Checks>
void BasicConfigStore<Checks>::addPatch(const DocumentRef &from, const DocumentRef &to, std::string patch)
{
    m_steps.push_back({from, to, std::move(patch)});
    std::size_t bytes = 0;
    for (const auto &it : m_steps) {
        bytes += it.patch.size();
    }
    while (!m_steps.empty() && (m_steps.size() > m_limits.patches || bytes > m_limits.patchBytes)) {
        bytes -= m_steps.front().patch.size();
        m_steps.pop_front();
    }
}

template<typename Checks>
void BasicConfigStore<Checks>::addDiff(const ActiveDocument &activeDocument,
                                       const std::optional<RejectedDocument> &rejectedDocument,
                                       const Candidate &candidate)
{
    const auto &text = rejectedDocument ? rejectedDocument->text : activeDocument.text;
    if (!text) {
        return;
    }
    auto json = takeJson(rejectedDocument ? rejectedDocument->ref : activeDocument.ref, *text);
    const auto patch = diffDocuments(json, candidate.json);
    auto patchText = patch.dump();
    // The diff treats 1 and 1.0 as equal although their texts differ, so only a patch that reproduces the text is kept.
    if (patchText.size() < candidate.text->size() / 2 && !patchDocument(json, patch)
        && canonicalText(json) == *candidate.text) {
        addPatch(rejectedDocument ? rejectedDocument->ref : activeDocument.ref, candidate.ref, std::move(patchText));
    }
}

template<typename Checks>
std::optional<DocumentQuery> BasicConfigStore<Checks>::query(const DocumentAnnouncement &peer, Clock::time_point now)
{
    const bool isActiveNew = peer.activeDocument > m_activeDocument.ref
                             && std::ranges::find(m_rejectedRefs, peer.activeDocument) == m_rejectedRefs.end();
    if (!isActiveNew && peer.newest <= newest()) {
        return std::nullopt;
    }
    const bool isKnownFailure = m_backoff.failures > 0 && m_backoff.peer.activeDocument == peer.activeDocument
                                && m_backoff.peer.newest == peer.newest;
    if (isKnownFailure && now < m_backoff.until) {
        return std::nullopt;
    }
    // A patch that was refused may fail again, so the next query requests full documents.
    return isKnownFailure && m_backoff.wasRefused ? DocumentQuery{} : DocumentQuery{m_activeDocument.ref, newest()};
}

/** Checks that a peer delivers what it announced, unless this store already has something as new. */
template<typename Checks>
std::optional<std::string> BasicConfigStore<Checks>::checkAnnounced(const nlohmann::json &updates,
                                                                    const DocumentAnnouncement &peer) const
{
    auto best = newest();
    for (const auto &it : updates) {
        const auto ref = it.is_object() ? detail::parseRef(it, "") : std::nullopt;
        if (!ref) {
            return "an entry has no version and digest";
        }
        best = std::max(best, *ref);
    }
    const auto promised = std::max(peer.activeDocument, peer.newest);
    if (best < promised) {
        return fmt::format("the peer announced version {} and delivered version {}", promised.version, best.version);
    }
    return std::nullopt;
}

/**
 * Decodes an entry into @p candidate. On entry, @p candidate holds the preceding document, which usually is the base of
 * the patch, so that a chain of patches parses the first base only once.
 */
template<typename Checks>
std::optional<std::string> BasicConfigStore<Checks>::readEntry(nlohmann::json &entry, Candidate &candidate)
{
    const auto ref = detail::parseRef(entry, "");
    if (entry.contains("patch")) {
        const auto from = detail::parseRef(entry, "from_");
        if (!from) {
            return "a patch has no base version and digest";
        }
        if (candidate.ref != *from) {
            const auto base = textOf(*from);
            if (!base) {
                return fmt::format("the patch is for version {}, which is not available", from->version);
            }
            candidate.json = takeJson(*from, *base);
        }
        if (auto reason = patchDocument(candidate.json, entry["patch"])) {
            return "the patch does not apply: " + *reason;
        }
    } else if (entry.contains("document")) {
        candidate.json = std::move(entry["document"]);
    } else {
        return "an entry has neither patch nor document";
    }
    candidate.ref = *ref;
    candidate.text = std::make_shared<const std::string>(canonicalText(candidate.json));
    if (candidate.text->size() > detail::maxCanonicalBytes) {
        return "the document is too large";
    }
    if (Checks::digest && documentDigest(*candidate.text) != ref->digest) {
        return fmt::format("the digest of version {} does not match", ref->version);
    }
    if (versionOf(candidate.json) != ref->version) {
        return fmt::format("the document has version {}, its entry says {}", versionOf(candidate.json), ref->version);
    }
    return std::nullopt;
}

template<typename Checks>
ApplyOutcome BasicConfigStore<Checks>::applyEntries(nlohmann::json &updates)
{
    ApplyOutcome result;
    Candidate candidate;
    for (auto &it : updates) {
        if (auto reason = readEntry(it, candidate)) {
            return refuse(std::move(*reason));
        }
        auto outcome = it.contains("patch") ? tryApply(candidate) : applyWhole(candidate);
        if (it.contains("patch") && outcome.status != ApplyStatus::Unchanged) {
            addPatch(*detail::parseRef(it, "from_"), candidate.ref, it["patch"].dump());
        }
        if (result.status != ApplyStatus::Applied) {
            result = std::move(outcome);
        }
    }
    cacheJson(candidate);
    return result;
}

/** Retries after 1, 2, 4 ... 16 s, so that a peer that cannot deliver causes little traffic. */
template<typename Checks>
void BasicConfigStore<Checks>::recordResult(const DocumentAnnouncement &peer,
                                            const ApplyOutcome &outcome,
                                            Clock::time_point now)
{
    if (outcome.status == ApplyStatus::Applied || outcome.status == ApplyStatus::KeptForPeers) {
        m_backoff = {};
        return;
    }
    const bool isSame = m_backoff.peer.activeDocument == peer.activeDocument && m_backoff.peer.newest == peer.newest;
    m_backoff.failures = isSame ? std::min(m_backoff.failures + 1, 5) : 1;
    m_backoff.wasRefused = outcome.status == ApplyStatus::Refused;
    m_backoff.peer = peer;
    m_backoff.until = now + std::chrono::seconds(1U << (m_backoff.failures - 1));
}

template<typename Checks>
ApplyOutcome BasicConfigStore<Checks>::processUpdate(std::string_view bytes, const DocumentAnnouncement &peer)
{
    if (bytes.empty()) {
        return {ApplyStatus::Unchanged, "the peer has nothing new", 0};
    }
    auto read = readJson(bytes, detail::maxUpdateBytes);
    if (!read.value) {
        return refuse(read.errors.front().path + ": " + read.errors.front().message);
    }
    const auto updates = read.value->is_object() ? read.value->find("updates") : read.value->end();
    if (updates == read.value->end() || !updates->is_array()) {
        return refuse("$.updates: no list of updates");
    }
    if (auto reason = checkAnnounced(*updates, peer)) {
        return refuse(std::move(*reason));
    }
    return applyEntries(*updates);
}

template<typename Checks>
ApplyOutcome
BasicConfigStore<Checks>::applyUpdate(std::string_view bytes, const DocumentAnnouncement &peer, Clock::time_point now)
{
    auto outcome = processUpdate(bytes, peer);
    recordResult(peer, outcome, now);
    return outcome;
}

} // namespace turmericline

#pragma once

#include "config_store_type.h"
#include "document.h"
#include "document_cmd.h"

#include <chrono>
#include <deque>
#include <functional>
#include <string_view>

namespace turmericline {

/** JSON Patch that turns one document into another. */
struct PatchStep
{
    DocumentRef from;
    DocumentRef to;
    std::string patch;
};

/**
 * Stores the active document, the newest document if this instance rejects it, and the most recent patches. Does no I/O
 * and reads no clock. An instance starts with an empty store.
 */
template<typename Checks = ApplyChecks>
class BasicConfigStore
{
public:
    using Clock = std::chrono::steady_clock;
    using Parser = std::function<DocumentParseResult(const nlohmann::json &)>;

    explicit BasicConfigStore(ConfigStoreLimits limits = {}, Parser parser = parseDocumentJson);

    /** Applies a document returned by the configuration service. */
    ApplyOutcome offer(std::string_view text);

    /** Returns what to announce to the peers. */
    DocumentAnnouncement announcement() const;

    /** Returns the query to send to a peer; nothing if it has nothing new or recently failed to deliver it. */
    std::optional<DocumentQuery> query(const DocumentAnnouncement &peer, Clock::time_point now);

    /** Returns the answer to a peer's query; nothing if there is nothing new for the peer. */
    std::optional<std::string> encodeUpdate(const DocumentQuery &query) const;

    /** Applies the answer of a peer that had announced @p peer. The answer is empty if the peer has nothing new. */
    ApplyOutcome applyUpdate(std::string_view bytes, const DocumentAnnouncement &peer, Clock::time_point now);

    /** The active document, or null. */
    const std::shared_ptr<const Document> &document() const
    {
        return m_activeDocument.document;
    }

    const ActiveDocument &activeDocument() const
    {
        return m_activeDocument;
    }

    const ConfigStoreCounters &counters() const
    {
        return m_counters;
    }

private:
    struct Candidate;

    struct RejectedDocument
    {
        DocumentRef ref;
        std::shared_ptr<const std::string> text;
    };

    /** Retry state of a document that a peer announced but failed to deliver. */
    struct Backoff
    {
        DocumentAnnouncement peer;
        int failures = 0;
        bool wasRefused = false;
        Clock::time_point until;
    };

    ConfigStoreLimits m_limits;
    Parser m_parser;
    ActiveDocument m_activeDocument;
    std::optional<RejectedDocument> m_rejectedDocument;
    /** Parsed JSON of the newest document: parsing 14,000 workspaces takes longer than the rest of an update. */
    std::shared_ptr<nlohmann::json> m_cachedJson;
    DocumentRef m_cachedRef;
    std::deque<PatchStep> m_steps;
    std::deque<DocumentRef> m_rejectedRefs;
    Backoff m_backoff;
    ConfigStoreCounters m_counters;

    const DocumentRef &newest() const;
    std::shared_ptr<const std::string> textOf(const DocumentRef &ref) const;
    nlohmann::json takeJson(const DocumentRef &ref, const std::string &text);
    void cacheJson(Candidate &candidate);
    std::optional<std::vector<const PatchStep *>> patchChain(const DocumentRef &from, const DocumentRef &to) const;
    bool encodeTarget(const DocumentQuery &query, const DocumentRef &target, std::string &out) const;

    ApplyOutcome refuse(std::string reason);
    ApplyOutcome tryApply(const Candidate &candidate);
    ApplyOutcome applyWhole(const Candidate &candidate);
    ApplyOutcome reject(const Candidate &candidate, std::string reason);
    void addPatch(const DocumentRef &from, const DocumentRef &to, std::string patch);
    void addDiff(const ActiveDocument &activeDocument,
                 const std::optional<RejectedDocument> &rejectedDocument,
                 const Candidate &candidate);
    std::optional<std::string> checkAnnounced(const nlohmann::json &updates, const DocumentAnnouncement &peer) const;
    std::optional<std::string> readEntry(nlohmann::json &entry, Candidate &candidate);
    ApplyOutcome applyEntries(nlohmann::json &updates);
    ApplyOutcome processUpdate(std::string_view bytes, const DocumentAnnouncement &peer);
    void recordResult(const DocumentAnnouncement &peer, const ApplyOutcome &outcome, Clock::time_point now);
};

extern template class BasicConfigStore<ApplyChecks>;

using ConfigStore = BasicConfigStore<>;

} // namespace turmericline

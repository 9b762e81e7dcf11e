#pragma once

#include "config_store_type.h"
#include "document.h"
#include "document_cmd.h"

#include <chrono>
#include <deque>
#include <functional>
#include <string_view>

namespace turmericline {

/** One document to another by a patch. */
struct PatchStep
{
    DocumentRef from;
    DocumentRef to;
    std::string patch;
};

/**
 * Holds the document in force, the newest document if this program rejects it, and the last patches. Pure: no sockets
 * and no clock. An instance starts with an empty store.
 */
template<typename Checks = ApplyChecks>
class BasicConfigStore
{
public:
    using Clock = std::chrono::steady_clock;
    using Parser = std::function<DocumentParseResult(const nlohmann::json &)>;

    explicit BasicConfigStore(ConfigStoreLimits limits = {}, Parser parser = parseDocumentJson);

    /** Takes the text that the configuration service returned. */
    ApplyOutcome offer(std::string_view text);

    DocumentAnnouncement announcement() const;

    /** What to ask a peer for, or nothing if it has nothing new or failed to deliver it a short while ago. */
    std::optional<DocumentQuery> query(const DocumentAnnouncement &peer, Clock::time_point now);

    /** Answer to a peer's query, or nothing if there is nothing new for it. */
    std::optional<std::string> encodeUpdate(const DocumentQuery &query) const;

    /** Takes the answer of a peer that had announced @p peer; empty if the peer has nothing new. */
    ApplyOutcome applyUpdate(std::string_view bytes, const DocumentAnnouncement &peer, Clock::time_point now);

    /** The document in force, or null. */
    const std::shared_ptr<const Document> &document() const
    {
        return m_activeDocument.document;
    }

    const ActiveDocument &inForce() const
    {
        return m_activeDocument;
    }

    const ConfigStoreCounters &counters() const
    {
        return m_counters;
    }

private:
    struct Candidate;

    struct Raw
    {
        DocumentRef ref;
        std::shared_ptr<const std::string> text;
    };

    /** Delay before a document that a peer did not deliver is asked for again. */
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
    std::optional<Raw> m_raw;
    /** The newest document as JSON, because reading 14,000 workspaces from text takes longer than all the rest. */
    std::shared_ptr<nlohmann::json> m_parsed;
    DocumentRef m_parsedRef;
    std::deque<PatchStep> m_steps;
    std::deque<DocumentRef> m_rejected;
    Backoff m_backoff;
    ConfigStoreCounters m_counters;

    const DocumentRef &newest() const;
    std::shared_ptr<const std::string> textOf(const DocumentRef &ref) const;
    nlohmann::json takeParsed(const DocumentRef &ref, const std::string &text);
    void keepParsed(Candidate &candidate);
    std::optional<std::vector<const PatchStep *>> chain(const DocumentRef &from, const DocumentRef &to) const;
    bool encodeTarget(const DocumentQuery &query, const DocumentRef &target, std::string &out) const;

    ApplyOutcome refuse(std::string reason);
    ApplyOutcome test(const Candidate &candidate);
    ApplyOutcome testWhole(const Candidate &candidate);
    ApplyOutcome reject(const Candidate &candidate, std::string reason);
    void remember(const DocumentRef &from, const DocumentRef &to, std::string patch);
    void rememberDiff(const ActiveDocument &inForce, const std::optional<Raw> &raw, const Candidate &candidate);
    std::optional<std::string> checkPromise(const nlohmann::json &updates, const DocumentAnnouncement &peer) const;
    std::optional<std::string> takeEntry(nlohmann::json &entry, Candidate &candidate);
    ApplyOutcome applyEntries(nlohmann::json &updates);
    ApplyOutcome takeUpdate(std::string_view bytes, const DocumentAnnouncement &peer);
    void noteResult(const DocumentAnnouncement &peer, const ApplyOutcome &outcome, Clock::time_point now);
};

extern template class BasicConfigStore<ApplyChecks>;

using ConfigStore = BasicConfigStore<>;

} // namespace turmericline

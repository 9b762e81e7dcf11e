#pragma once

#include "suspect_type.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>

namespace turmericline {

/** What a process has seen of a request, or of requests with a part of prompts. */
struct SendRecord
{
    std::uint32_t sent = 0; ///< Requests sent to servers since the last answer, but for those that were not run.
    std::uint32_t survived = 0; ///< Of those whose callers left: how many the servers have outlived, see their users.
    std::optional<Age> soundAt; ///< When a server last got on with an answer to one.
};

/** Records of the requests, or parts of prompts, that were used last. */
class SendHistory
{
public:
    explicit SendHistory(std::size_t capacity);

    void recordSent(const Fingerprint &id);
    /** A request that was counted as sent has not been run. */
    void recordNotRun(const Fingerprint &id);
    void recordSound(const Fingerprint &id, Age now);
    void setSurvived(const Fingerprint &id, std::uint32_t n);
    /** Returns an empty record for a fingerprint that is not remembered. */
    SendRecord find(const Fingerprint &id) const;
    bool contains(const Fingerprint &id) const
    {
        return m_index.contains(id);
    }

    std::size_t size() const;

private:
    struct Entry
    {
        Fingerprint id;
        SendRecord record;
    };

    SendRecord &use(const Fingerprint &id);

    std::size_t m_capacity;
    std::list<Entry> m_entries; ///< The last used first.
    std::map<Fingerprint, std::list<Entry>::iterator> m_index;
};

} // namespace turmericline

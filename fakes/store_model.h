#pragma once

#include "http_decoder.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace turmericline::fakes {

/** Answers of the platform's key-value store to reads and watches, without sockets and clocks. A copy is a state in time. */
class StoreModel
{
public:
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /** Has watches from revisions before the current one fail from now on, as their changes are not known any more. */
    void dropHistory();
    /** Takes over the state of @p copy. Changes since then are lost, their revisions are used again, a new era begins. */
    void restore(const StoreModel &copy);
    /** Whether answers state the era, as they do by default. */
    void setStatesEra(bool statesEra);

    /** Answers a read of up to @p limit items after @p afterKey. */
    HttpReply range(const std::string &prefix, const std::string &afterKey = {}, std::size_t limit = 500) const;
    /** Answers a watch; nothing if there are no changes yet and the wait is not over. */
    std::optional<HttpReply> watch(const std::string &prefix, std::uint64_t after, bool isWaitOver) const;

    std::uint64_t revision() const
    {
        return m_revision;
    }

    std::uint64_t era() const
    {
        return m_era;
    }

    /** Value of an item; nothing if it does not exist. */
    std::optional<std::string> value(const std::string &key) const;

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool isDeleted = false;
    };

    HttpHeaders headers() const;

    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 1;
    std::uint64_t m_firstRevision = 0; ///< Oldest revision from which a watch is possible.
    std::uint64_t m_era = 1;
    bool m_statesEra = true;
};

} // namespace turmericline::fakes

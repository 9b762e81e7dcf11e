#pragma once

#include "backend_table.h"
#include "suspect_type.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericline {

/** An attempt that was stopped, for example because its caller left, while its server may have been at work on it. */
struct AbandonedAttempt
{
    Fingerprint fingerprint;
    std::vector<Fingerprint> parts; ///< Shared parts of its prompt, in order.
    TimePoint startedAt{}; ///< When it was sent to the server.
    TimePoint deadline{}; ///< The server works on it until then at most.
};

/**
 * Abandoned attempts by server. A server may go on with a request after its connection was closed, and end under it.
 *
 * Expected load: callers that leave early, thousands a second, most of them with sound requests. An attempt is kept until
 * the server is seen alive after the attempt's deadline, so what is kept does not depend on how fast others come.
 */
class AbandonedAttempts
{
public:
    explicit AbandonedAttempts(std::size_t capacity = defaultCapacity);

    /** @p address: "IP:PORT" of the server. If there is no room, the server with the most attempts loses its oldest one. */
    void add(const ServerIncarnation &server, const std::string &address, AbandonedAttempt attempt);
    /** Removes and returns the attempts that cannot end @p server any longer, since it was alive at @p at. */
    std::vector<AbandonedAttempt> takeSurvived(const ServerIncarnation &server, TimePoint at);
    /** Removes and returns the attempts at @p server that were sent no later than @p end, the last one first. */
    std::vector<AbandonedAttempt> takeStartedUntil(const ServerIncarnation &server, TimePoint end);
    /** Removes the attempts at a server that has not ended under any of them. */
    void forget(const ServerIncarnation &server);
    /** Removes attempts whose deadline was before @p time. */
    void expire(TimePoint time);

    bool contains(const ServerIncarnation &server) const;
    /** Address of a server with attempts. */
    std::optional<std::string> addressOf(const ServerIncarnation &server) const;
    /** Failure domain of a server with attempts; empty if there are none. */
    std::string domainOf(const ServerIncarnation &server) const;
    /** Valid until the next change. */
    std::vector<const ServerIncarnation *> servers() const;
    /** Records that the announcement of a server with attempts is gone; returns whether that is new. */
    bool setWithdrawn(const ServerIncarnation &server);
    bool isWithdrawn(const ServerIncarnation &server) const;
    std::size_t size() const
    {
        return m_size;
    }

private:
    static constexpr std::size_t defaultCapacity = 1U << 17U;

    using Key = std::pair<std::string, std::int64_t>;

    struct Group
    {
        ServerIncarnation server;
        std::string address;
        std::multimap<TimePoint, AbandonedAttempt> attempts; ///< By deadline.
        bool isWithdrawn = false;
    };

    using Groups = std::map<Key, Group>;

    static Key keyOf(const ServerIncarnation &server)
    {
        return {server.id, server.startTimeMs};
    }

    void makeRoom();
    std::vector<AbandonedAttempt> takeBefore(Groups::iterator group, TimePoint deadline);

    std::size_t m_capacity;
    std::size_t m_size = 0;
    Groups m_groups; ///< None of them is empty.
};

} // namespace turmericline

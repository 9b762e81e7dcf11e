#pragma once

#include "feed_relay_type.h"
#include "time_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericline {

/**
 * Decides whether a gateway reads the store itself or follows another gateway of its failure domain that does.
 *
 * Load pattern: each call to the store has a price, and hundreds of gateways would read the same there. All gateways of a
 * domain choose the same reader, by a hash of the addresses that they know. A reader that does not answer, or whose
 * facts are older than a gateway's own would be, is left at once: the gateway reads the store itself, and follows the
 * next reader later. Only gateways that read themselves are followed. Does no I/O and does not read the clock.
 */
class FeedFollower
{
public:
    explicit FeedFollower(std::string ownAddress);

    /** A poll to send. */
    struct Poll
    {
        std::string reader; ///< "IP:PORT" of the reader's port for other gateways.
        FeedPoll poll;
        std::chrono::milliseconds timeout{};
    };

    /** Returns the next poll if it is due. @p peers: other gateways of the domain that were alive lately. */
    std::optional<Poll> tick(TimePoint now, const std::vector<std::string> &peers);
    /** Handles the answer to the poll; returns whether its facts may be used. */
    bool onReport(TimePoint now, const FeedReport &report);
    /** Called if the poll was not answered. */
    void onFailure(TimePoint now);
    /** Called when another gateway follows this one, which must therefore read the store itself. */
    void onFollowed(TimePoint now);

    /** Whether the facts of the reader replace own reads of the store. */
    bool isFollowing() const
    {
        return m_isFollowing;
    }

    /** Whether other gateways follow this one. */
    bool isFollowed(TimePoint now) const;

    const std::string &reader() const
    {
        return m_reader;
    }

private:
    std::string chooseReader(TimePoint now, const std::vector<std::string> &peers);
    void leave(TimePoint now);

    std::string m_ownAddress;
    std::string m_reader; ///< Empty if this gateway reads itself.
    bool m_isFollowing = false;
    bool m_isPolling = false;
    FeedCursor m_cursor;
    TimePoint m_nextPollAt{};
    std::optional<TimePoint> m_followedAt;
    std::map<std::string, TimePoint> m_avoidedUntil; ///< By address of a reader that was left.
};

/**
 * Time at which the store confirmed a fact that a reader sent: it was @p age old when the reader answered, which was
 * @p held or more after @p polledAt. It is never too late, whatever the answer's time in transit.
 */
BootTime confirmedAt(BootTime polledAt, std::chrono::milliseconds held, std::chrono::milliseconds age);

} // namespace turmericline

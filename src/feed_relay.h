#pragma once

#include "feed_follower.h"
#include "feed_log.h"
#include "http_caller.h"
#include "http_server.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace turmericline {

/**
 * Exchanges the facts that gateways of one failure domain read from the store: answers the polls of others while this
 * gateway reads the store itself, and polls another one otherwise.
 */
class FeedRelay
{
public:
    struct Handlers
    {
        /** Returns the ages, the outage and the version of the configuration that this gateway has read itself. */
        std::function<FeedReport()> ownFacts;
        /** Called with the answer of the reader to a poll that was sent at @p polledAt. */
        std::function<void(BootTime polledAt, FeedReport report)> onReport;
        /** Called when another gateway begins to follow this one. */
        std::function<void()> onFollowed;
    };

    /** @p ownAddress: "IP:PORT" at which other gateways reach this one. */
    FeedRelay(asio::io_context &io, const std::string &ownAddress, Handlers handlers, std::mt19937_64 &random);

    /** @p peers: other gateways of the failure domain that were alive lately. */
    void tick(TimePoint now, const std::vector<std::string> &peers);
    /** Answers a poll of another gateway. */
    void onRequest(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    /** Records what this gateway has read itself. */
    void onServers(const StoreChange &change);
    /** Refuses all polls from now on, so that others choose another reader at once. */
    void stop();

    bool isFollowing() const
    {
        return m_follower.isFollowing();
    }

    const std::string &reader() const
    {
        return m_follower.reader();
    }

    bool isFollowed(TimePoint now) const
    {
        return m_follower.isFollowed(now);
    }

private:
    /** A poll that waits for a change. */
    struct HeldPoll
    {
        FeedPoll poll;
        TimePoint arrivedAt{};
        BootTime arrivedBootAt{};
        std::shared_ptr<HttpResponder> responder;
    };

    void send(TimePoint now, const FeedFollower::Poll &poll);
    void onReply(const std::string &reader,
                 BootTime polledAt,
                 const std::optional<HttpReply> &reply,
                 const std::string &reason);
    bool isDue(TimePoint now, const HeldPoll &held, const FeedReport &facts) const;
    void answerDue(TimePoint now);
    void answer(const HeldPoll &held, const FeedReport &facts);
    void logTransition(bool wasFollowing, const std::string &reader, const std::string &reason);

    Handlers m_handlers;
    FeedLog m_log;
    FeedFollower m_follower;
    HttpCaller m_caller;
    std::vector<HeldPoll> m_held;
    bool m_isStopped = false;
};

} // namespace turmericline

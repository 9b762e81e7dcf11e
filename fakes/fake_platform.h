#pragma once

#include "fake_server.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace turmericline::fakes {

/** Fake of the platform's key-value store: serves reads and watches over HTTP; written by put() and remove(). */
class FakeStore final : public FakeServer
{
public:
    explicit FakeStore(asio::io_context &io);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /** While down, the store accepts calls but does not answer them. */
    void setDown(bool isDown);

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool isDeleted = false;
    };

    struct Watch
    {
        std::string prefix;
        std::uint64_t after = 0;
        ResponderPtr responder;
        asio::steady_timer timer;
    };

    void handle(HttpRequest request, ResponderPtr responder) override;
    void replyRange(const std::string &prefix, const ResponderPtr &responder) const;
    void startWatch(const std::string &prefix, std::uint64_t after, std::uint64_t waitMs, ResponderPtr responder);
    /** Answers @p watch if it has events, or if @p hasTimedOut (its wait time has passed); returns whether it did. */
    bool answer(const Watch &watch, bool hasTimedOut) const;
    void answerWatches();

    asio::io_context &m_io;
    std::map<std::string, Item> m_items;
    std::list<Watch> m_watches;
    std::uint64_t m_revision = 1;
    bool m_isDown = false;
};

/** A request as received by a FakeReplica. */
struct ReplicaRequest
{
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers; ///< Names in lower case.
};

/** Fake of a backend server of the platform. */
class FakeReplica final : public FakeServer
{
public:
    enum class Mode {
        Answer,
        Refuse, ///< Answers that it did not execute the request.
        Silent, ///< Accepts the request and never answers.
        Stream, ///< Answers with a stream of three events.
    };

    /** With @p port 0 the kernel assigns a free one. */
    explicit FakeReplica(asio::io_context &io, std::uint16_t port = 0);

    void setMode(Mode mode)
    {
        m_mode = mode;
    }

    /** A request with body @p body gets no answer; @p onCrash is called after it was received, to end this replica. */
    void crashOn(std::string body, std::function<void()> onCrash);

    const std::vector<ReplicaRequest> &received() const
    {
        return m_received;
    }

    /** Number of requests whose connection was closed before they were answered. */
    std::size_t cancelledCount() const
    {
        return m_cancelledCount;
    }

private:
    void handle(HttpRequest request, ResponderPtr responder) override;
    void connectionClosed(std::uint64_t connection) override;

    asio::io_context &m_io;
    std::string m_crashBody;
    std::function<void()> m_onCrash;
    Mode m_mode = Mode::Answer;
    std::vector<ReplicaRequest> m_received;
    std::size_t m_unansweredCount = 0;
    std::size_t m_cancelledCount = 0;
};

} // namespace turmericline::fakes

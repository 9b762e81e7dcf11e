#pragma once

#include "fake_server.h"

#include <asio/steady_timer.hpp>

#include <list>
#include <map>
#include <string>
#include <vector>

namespace turmericline::fakes {

/** The platform's store: reads and watches of items; the test writes. */
class FakeStore final : public FakeServer
{
public:
    explicit FakeStore(asio::io_context &io);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /** While it is down, calls are held without an answer. */
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
    /** Answers @p watch if it has events or @p isOver. */
    bool answer(const Watch &watch, bool isOver) const;
    void answerWatches();

    asio::io_context &m_io;
    std::map<std::string, Item> m_items;
    std::list<Watch> m_watches;
    std::uint64_t m_revision = 1;
    bool m_isDown = false;
};

/** What a FakeReplica received of one request. */
struct ReplicaRequest
{
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers; ///< Names in lower case.
};

/** A backend server of the platform. */
class FakeReplica final : public FakeServer
{
public:
    enum class Mode {
        Answer,
        Refuse, ///< Says that it did not run the request.
        Silent, ///< Runs it and never answers.
        Stream, ///< Answers with three events.
    };

    explicit FakeReplica(asio::io_context &io);

    void setMode(Mode mode)
    {
        m_mode = mode;
    }

    const std::vector<ReplicaRequest> &received() const
    {
        return m_received;
    }

    /** Requests that were closed before their answer. */
    std::size_t cancelledCount() const
    {
        return m_cancelled;
    }

private:
    void handle(HttpRequest request, ResponderPtr responder) override;
    void connectionClosed(std::uint64_t connection) override;

    Mode m_mode = Mode::Answer;
    std::vector<ReplicaRequest> m_received;
    std::size_t m_silent = 0;
    std::size_t m_cancelled = 0;
};

} // namespace turmericline::fakes

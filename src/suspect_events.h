#pragma once

#include "h2_client.h"
#include "h2_server.h"
#include "suspect_sync.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace turmericline {

/** The agent's side of GET /events: pushes crash reports to every entry that has opened such a stream. */
class SuspectFeed
{
public:
    explicit SuspectFeed(const SuspectSync &suspects);

    /** Starts the answer to GET /events with the reports known so far. */
    void add(const std::shared_ptr<H2ServerStream> &stream);
    void push(const SuspectSync::Reports &reports);
    /** Ends all streams, and each later one at once, so that the agent can stop. */
    void close();
    std::size_t size() const;

private:
    const SuspectSync &m_suspects;
    std::vector<std::shared_ptr<H2ServerStream>> m_streams;
    bool m_isClosed = false;
};

/** Splits the body of an answer to GET /events into its messages. */
class SuspectEventReader
{
public:
    /** Takes a chunk; returns false if the stream is invalid and should be given up. */
    bool feed(std::string_view chunk, SuspectSync &suspects);

private:
    std::string m_buffer;
};

/** The entry's side: one GET /events stream to each agent that it sends requests to, at most 64 in all. */
class SuspectEvents
{
public:
    SuspectEvents(asio::io_context &io, SuspectSync &suspects);

    /** Opens the stream to an agent unless it is open; to be called before each request to that agent. */
    void ensure(const std::shared_ptr<H2Client> &client);
    std::size_t size() const;

private:
    struct Subscription
    {
        std::shared_ptr<H2Client> client;
        H2Client::StreamId stream = 0;
        std::chrono::steady_clock::time_point lastUse;
        SuspectEventReader reader;
        bool isEnded = false;
    };
    using SubscriptionPtr = std::shared_ptr<Subscription>;

    void open(const SubscriptionPtr &it);
    void close(const SubscriptionPtr &it);
    void sweep();

    SuspectSync &m_suspects;
    std::vector<SubscriptionPtr> m_open;
    asio::steady_timer m_timer;
};

} // namespace turmericline

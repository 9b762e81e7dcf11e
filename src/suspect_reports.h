#pragma once

#include "h2_client.h"
#include "h2_server.h"
#include "suspect_sync.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace turmericline {

/** Server side of GET /events in an agent: sends crash reports to every entry that has opened such a stream. */
class SuspectReportServer
{
public:
    explicit SuspectReportServer(const SuspectSync &suspects);

    /** Answers GET /events on @p stream, starting with the most recent known reports. */
    void add(const std::shared_ptr<H2ServerStream> &stream);
    /** Sends reports on all open streams; ends the stream of an entry that reads too slowly. */
    void push(const SuspectSync::Reports &reports);
    void push(const std::vector<PartReport> &parts);
    /** Ends all streams, and any later one at once, so that the agent can stop. */
    void close();
    std::size_t size() const;

private:
    void write(const std::string &frames);

    const SuspectSync &m_suspects;
    std::vector<std::shared_ptr<H2ServerStream>> m_streams;
    bool m_isClosed = false;
};

/** Parses the body of an answer to GET /events and merges the reports in it. */
class SuspectReportReader
{
public:
    /** Parses a chunk; returns false if the stream is invalid and must be closed. */
    bool feed(std::string_view chunk, SuspectSync &suspects);

private:
    std::string m_buffer;
};

/** Client side in an entry: one GET /events stream to each agent that it sends requests to, at most 64 in total. */
class SuspectSubscriber
{
public:
    SuspectSubscriber(asio::io_context &io, SuspectSync &suspects);

    /** Opens the stream to an agent unless it is open. To be called before each request to that agent. */
    void ensureOpen(const std::shared_ptr<H2Client> &client);
    std::size_t size() const;

private:
    struct Subscription
    {
        std::shared_ptr<H2Client> client;
        H2Client::StreamId stream = 0;
        std::chrono::steady_clock::time_point lastUse;
        SuspectReportReader reader;
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

#pragma once

#include "fake_server.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericline::fakes {

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

    /** States @p limit, requests a second, in all answers from now on; an empty text ends that. */
    void setLimit(std::string limit)
    {
        m_limit = std::move(limit);
    }

    /** A request of the given kind gets no answer; @p onCrash is called after it was received, to end this replica. */
    void crashOn(std::function<bool(const ReplicaRequest &)> isCrashing, std::function<void()> onCrash);

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
    std::function<bool(const ReplicaRequest &)> m_isCrashing;
    std::function<void()> m_onCrash;
    Mode m_mode = Mode::Answer;
    std::string m_limit;
    std::vector<ReplicaRequest> m_received;
    std::size_t m_unansweredCount = 0;
    std::size_t m_cancelledCount = 0;
};

} // namespace turmericline::fakes

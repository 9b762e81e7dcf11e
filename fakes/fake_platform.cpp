#include "fake_platform.h"

#include <asio/post.hpp>

#include <algorithm>
#include <cctype>

namespace turmericline::fakes {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return lower;
}

} // namespace

FakeReplica::FakeReplica(asio::io_context &io, std::uint16_t port)
    : FakeServer(io, port)
    , m_io(io)
{
}

void FakeReplica::crashOn(std::function<bool(const ReplicaRequest &)> isCrashing, std::function<void()> onCrash)
{
    m_isCrashing = std::move(isCrashing);
    m_onCrash = std::move(onCrash);
}

void FakeReplica::handle(HttpRequest request, ResponderPtr responder)
{
    ReplicaRequest it;
    it.path = std::string(request.path);
    it.body = std::string(request.body);
    for (const auto &[name, value] : request.headers) {
        it.headers[lowerCase(name)] = std::string(value);
    }
    HttpHeaders refusalHeaders{{"Attempt-Id", it.headers["attempt-id"]}, {"Not-Executed", "1"}};
    HttpHeaders headers{{"Attempt-Id", it.headers["attempt-id"]}, {"Replica-Signature", "signed"}};
    if (!m_limit.empty()) {
        refusalHeaders.emplace_back("Server-Limit", m_limit);
        headers.emplace_back("Server-Limit", m_limit);
    }
    m_received.push_back(std::move(it));
    if (m_isCrashing && m_isCrashing(m_received.back())) {
        hold(std::move(responder));
        asio::post(m_io, m_onCrash);
        return;
    }
    switch (m_mode) {
    case Mode::Answer:
        responder->reply(200, headers, "answer");
        break;
    case Mode::Refuse:
        responder->reply(503, refusalHeaders, "");
        break;
    case Mode::Silent:
        ++m_unansweredCount;
        hold(std::move(responder));
        break;
    case Mode::Stream:
        responder->beginStream(200, headers);
        for (int n = 1; n <= 3; ++n) {
            responder->write("id: " + std::to_string(n) + "\ndata: x\n\n", {});
        }
        responder->endStream();
        break;
    }
}

void FakeReplica::connectionClosed(std::uint64_t)
{
    if (m_unansweredCount > 0) {
        --m_unansweredCount;
        ++m_cancelledCount;
    }
}

} // namespace turmericline::fakes

#include "fake_config.h"

namespace turmericline::fakes {

namespace {

constexpr std::size_t maxDocumentBytes = 1U << 20U; // Largest value that the platform's service stores.

} // namespace

FakeConfig::FakeConfig(asio::io_context &io, std::uint16_t port)
    : FakeServer(io, port)
    , m_io(io)
{
}

std::uint64_t FakeConfig::callCount() const
{
    return m_calls;
}

std::size_t FakeConfig::waitingCount() const
{
    return m_watches.size();
}

void FakeConfig::publish(std::uint64_t version, std::string document)
{
    m_versions[version] = std::move(document);
    m_current = version;
    answerWatches();
}

void FakeConfig::setFault(const Json &fault)
{
    closeHeld();
    m_mode = fault.value("mode", "ok");
    m_delay = std::chrono::milliseconds(fault.value("delay_ms", 0));
    m_staleVersion = fault.value("version", std::uint64_t{0});
    answerWatches();
}

void FakeConfig::handle(HttpRequest request, ResponderPtr responder)
{
    if (request.method == "GET" && request.path == "/v1/document") {
        ++m_calls;
        handleRead(request, responder);
    } else if (request.method == "PUT" && request.path == "/control/document") {
        handlePublish(request, *responder);
    } else if (request.method == "POST" && request.path == "/control/fault") {
        handleFault(request, *responder);
    } else if (request.method == "GET" && request.path == "/control/counts") {
        replyJson(*responder, 200, {{"calls", m_calls}, {"waiting", m_watches.size()}});
    } else {
        replyError(*responder, 404, "no such path");
    }
}

void FakeConfig::connectionClosed(std::uint64_t connection)
{
    std::erase_if(m_watches, [connection](const auto &it) {
        return it.second.connection == connection;
    });
}

void FakeConfig::handlePublish(const HttpRequest &request, HttpResponder &responder)
{
    if (request.body.size() > maxDocumentBytes) {
        replyError(responder, 413, "the document is larger than 1 MB");
        return;
    }
    auto version = parseNumber(request.header("X-Version"));
    if (!version) {
        const auto document = Json::parse(request.body, nullptr, false);
        if (document.is_object() && document.contains("version") && document["version"].is_number_unsigned()) {
            version = document["version"].get<std::uint64_t>();
        }
    }
    if (!version) {
        replyError(responder, 400, "neither X-Version nor a version in the document");
        return;
    }
    publish(*version, std::string(request.body));
    replyJson(responder, 200, {{"version", *version}});
}

void FakeConfig::handleFault(const HttpRequest &request, HttpResponder &responder)
{
    const auto fault = Json::parse(request.body, nullptr, false);
    if (!fault.is_object()) {
        replyError(responder, 400, "the fault is not a JSON object");
        return;
    }
    setFault(fault);
    replyJson(responder, 200, Json::object());
}

void FakeConfig::handleRead(const HttpRequest &request, const ResponderPtr &responder)
{
    const auto after = queryNumber(request.query, "after").value_or(0);
    const auto waitMs = queryNumber(request.query, "wait_ms").value_or(0);
    if (m_mode == "stall") {
        hold(responder);
        return;
    }
    if (m_mode == "slow") {
        auto timer = std::make_shared<asio::steady_timer>(m_io, m_delay);
        timer->async_wait(guarded([this, timer, responder, after] {
            replyVisible(responder, after);
        }));
    } else if (m_mode == "down" || visibleVersion() > after || waitMs == 0) {
        replyVisible(responder, after);
    } else {
        startWatch(request, responder, after, waitMs);
    }
}

void FakeConfig::startWatch(const HttpRequest &request,
                            const ResponderPtr &responder,
                            std::uint64_t after,
                            std::uint64_t waitMs)
{
    const auto id = ++m_lastWatch;
    asio::steady_timer timer(m_io, std::chrono::milliseconds(waitMs));
    auto &watch = m_watches.emplace(id, Watch{request.connection, after, responder, std::move(timer)}).first->second;
    watch.timer.async_wait(guarded([this, id] {
        // The watch may already be answered and removed if the timer had expired before it could be cancelled.
        if (const auto node = m_watches.extract(id)) {
            replyVisible(node.mapped().responder, node.mapped().after);
        }
    }));
}

void FakeConfig::answerWatches()
{
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        if (m_mode == "down" || visibleVersion() > it->second.after) {
            replyVisible(it->second.responder, it->second.after);
            it = m_watches.erase(it);
        } else {
            ++it;
        }
    }
}

void FakeConfig::replyVisible(const ResponderPtr &responder, std::uint64_t after)
{
    if (m_mode == "down") {
        replyError(*responder, 503, "down by fault");
        return;
    }
    const auto it = m_versions.find(visibleVersion());
    if (it == m_versions.end()) {
        replyError(*responder, 404, "no document");
    } else if (it->first <= after) {
        responder->reply(304, {{"X-Version", std::to_string(it->first)}}, "");
    } else {
        responder->reply(
            200, {{"Content-Type", "application/json"}, {"X-Version", std::to_string(it->first)}}, it->second);
    }
}

std::uint64_t FakeConfig::visibleVersion() const
{
    return m_mode == "stale" ? m_staleVersion : m_current;
}

} // namespace turmericline::fakes

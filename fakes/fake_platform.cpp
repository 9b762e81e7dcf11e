#include "fake_platform.h"

#include <asio/post.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <cctype>

namespace turmericline::fakes {

namespace {

std::string base64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                   reinterpret_cast<const unsigned char *>(bytes.data()),
                                   static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::string queryText(std::string_view query, const std::string &name)
{
    const auto at = query.find(name + "=");
    if (at == std::string_view::npos) {
        return {};
    }
    const auto begin = at + name.size() + 1;
    return std::string(query.substr(begin, query.find('&', begin) - begin));
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return lower;
}

} // namespace

FakeStore::FakeStore(asio::io_context &io)
    : FakeServer(io, 0)
    , m_io(io)
{
}

void FakeStore::put(const std::string &key, const std::string &value)
{
    m_items[key] = {value, ++m_revision, false};
    answerWatches();
}

void FakeStore::remove(const std::string &key)
{
    m_items[key] = {"", ++m_revision, true};
    answerWatches();
}

void FakeStore::setDown(bool isDown)
{
    m_isDown = isDown;
    if (!isDown) {
        closeHeld();
        answerWatches();
    }
}

void FakeStore::handle(HttpRequest request, ResponderPtr responder)
{
    if (m_isDown) {
        hold(std::move(responder));
        return;
    }
    const auto prefix = queryText(request.query, "prefix");
    if (request.path == "/v1/kv-range") {
        replyRange(prefix, responder);
    } else if (request.path == "/v1/kv-watch") {
        startWatch(prefix,
                   queryNumber(request.query, "after").value_or(0),
                   queryNumber(request.query, "wait_ms").value_or(0),
                   std::move(responder));
    } else {
        replyError(*responder, 404, "no such call");
    }
}

void FakeStore::replyRange(const std::string &prefix, const ResponderPtr &responder) const
{
    Json items = Json::array();
    for (const auto &[key, item] : m_items) {
        if (key.starts_with(prefix) && !item.isDeleted) {
            items.push_back({{"key", key}, {"value", base64(item.value)}, {"revision", item.revision}});
        }
    }
    replyJson(*responder, 200, {{"items", items}, {"truncated", false}, {"current_rev", m_revision}});
}

void FakeStore::startWatch(const std::string &prefix, std::uint64_t after, std::uint64_t waitMs, ResponderPtr responder)
{
    auto &watch = m_watches.emplace_back(Watch{prefix, after, std::move(responder), asio::steady_timer(m_io)});
    if (answer(watch, false)) {
        m_watches.pop_back();
        return;
    }
    watch.timer.expires_after(std::chrono::milliseconds(waitMs));
    watch.timer.async_wait(guarded([this, found = std::prev(m_watches.end())] {
        if (!m_isDown) {
            answer(*found, true);
        }
        m_watches.erase(found);
    }));
}

bool FakeStore::answer(const Watch &watch, bool hasTimedOut) const
{
    Json events = Json::array();
    for (const auto &[key, item] : m_items) {
        if (!key.starts_with(watch.prefix) || item.revision <= watch.after) {
            continue;
        }
        if (item.isDeleted) {
            events.push_back({{"key", key}, {"revision", item.revision}, {"deleted", true}});
        } else {
            events.push_back({{"key", key}, {"value", base64(item.value)}, {"revision", item.revision}});
        }
    }
    if (events.empty() && !hasTimedOut) {
        return false;
    }
    replyJson(*watch.responder, 200, {{"events", events}, {"current_rev", m_revision}});
    return true;
}

void FakeStore::answerWatches()
{
    if (m_isDown) {
        return;
    }
    m_watches.remove_if([this](const Watch &it) {
        return answer(it, false);
    });
}

FakeReplica::FakeReplica(asio::io_context &io, std::uint16_t port)
    : FakeServer(io, port)
    , m_io(io)
{
}

void FakeReplica::crashOn(std::string body, std::function<void()> onCrash)
{
    m_crashBody = std::move(body);
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
    const HttpHeaders headers{{"Attempt-Id", it.headers["attempt-id"]}, {"Replica-Signature", "signed"}};
    m_received.push_back(std::move(it));
    if (m_onCrash && m_received.back().body == m_crashBody) {
        hold(std::move(responder));
        asio::post(m_io, m_onCrash);
        return;
    }
    switch (m_mode) {
    case Mode::Answer:
        responder->reply(200, headers, "answer");
        break;
    case Mode::Refuse:
        responder->reply(503, {{"Attempt-Id", headers.front().second}, {"Not-Executed", "1"}}, "");
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

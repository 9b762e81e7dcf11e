#include "fake_store.h"

#include <algorithm>

namespace turmericline::fakes {

namespace {

void send(HttpResponder &responder, HttpReply reply)
{
    responder.reply(reply.status, std::move(reply.headers), std::move(reply.body));
}

} // namespace

FakeStore::FakeStore(asio::io_context &io)
    : FakeServer(io, 0)
    , m_io(io)
{
}

void FakeStore::put(const std::string &key, const std::string &value)
{
    m_state.put(key, value);
    answerWatches();
}

void FakeStore::remove(const std::string &key)
{
    m_state.remove(key);
    answerWatches();
}

void FakeStore::setOutage(StoreOutage outage)
{
    m_outage = outage;
    if (outage == StoreOutage::Reset) {
        m_watches.clear();
    }
    if (outage == StoreOutage::None) {
        closeHeld();
        answerWatches();
    }
}

bool FakeStore::hasWatch(std::string_view prefix) const
{
    return std::any_of(m_watches.begin(), m_watches.end(), [prefix](const Watch &it) {
        return it.prefix == prefix;
    });
}

void FakeStore::restore(const StoreModel &copy, bool keepsWatches)
{
    m_state.restore(copy);
    if (!keepsWatches) {
        m_watches.clear();
    }
}

void FakeStore::handle(HttpRequest request, ResponderPtr responder)
{
    switch (m_outage) {
    case StoreOutage::Silent:
        hold(std::move(responder));
        return;
    case StoreOutage::Reset:
        return; // Destroying the responder closes the connection.
    case StoreOutage::Unavailable:
        replyError(*responder, 503, "the store is down");
        return;
    case StoreOutage::None:
        break;
    }
    const std::string prefix(queryText(request.query, "prefix").value_or(""));
    if (request.path == "/v1/kv-range") {
        send(*responder, m_state.range(prefix, std::string(queryText(request.query, "after").value_or(""))));
    } else if (request.path == "/v1/kv-watch") {
        startWatch(prefix,
                   queryNumber(request.query, "after").value_or(0),
                   queryNumber(request.query, "wait_ms").value_or(0),
                   std::move(responder));
    } else {
        replyError(*responder, 404, "no such call");
    }
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
        if (m_outage == StoreOutage::None) {
            answer(*found, true);
        }
        m_watches.erase(found);
    }));
}

bool FakeStore::answer(const Watch &watch, bool isWaitOver) const
{
    auto reply = m_state.watch(watch.prefix, watch.after, isWaitOver);
    if (!reply) {
        return false;
    }
    send(*watch.responder, std::move(*reply));
    return true;
}

void FakeStore::answerWatches()
{
    if (m_outage != StoreOutage::None) {
        return;
    }
    m_watches.remove_if([this](const Watch &it) {
        return answer(it, false);
    });
}

} // namespace turmericline::fakes

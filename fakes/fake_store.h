#pragma once

#include "fake_server.h"
#include "store_model.h"

#include <asio/steady_timer.hpp>

#include <list>
#include <string>

namespace turmericline::fakes {

/** What callers see of a store that is away. */
enum class StoreOutage {
    None,
    Silent, ///< Calls are accepted and not answered.
    Reset, ///< Connections are closed without an answer.
    Unavailable, ///< Calls are answered with 503.
};

/** Fake of the platform's key-value store: serves reads and watches over HTTP; written by put() and remove(). */
class FakeStore final : public FakeServer
{
public:
    explicit FakeStore(asio::io_context &io);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /** With StoreOutage::None, ends an outage: calls made during a silent one are cut, watches from before it go on. */
    void setOutage(StoreOutage outage);

    const StoreModel &state() const
    {
        return m_state;
    }

    /** Whether a watch of items with @p prefix is waiting. */
    bool hasWatch(std::string_view prefix) const;

    std::size_t watchCount() const
    {
        return m_watches.size();
    }

    /** Goes back to @p copy, in a new era. Open watches are cut, or kept and answered from the new state. */
    void restore(const StoreModel &copy, bool keepsWatches);

private:
    struct Watch
    {
        std::string prefix;
        std::uint64_t after = 0;
        ResponderPtr responder;
        asio::steady_timer timer;
    };

    void handle(HttpRequest request, ResponderPtr responder) override;
    void startWatch(const std::string &prefix, std::uint64_t after, std::uint64_t waitMs, ResponderPtr responder);
    /** Answers @p watch if it has events, or if @p isWaitOver; returns whether it did. */
    bool answer(const Watch &watch, bool isWaitOver) const;
    void answerWatches();

    asio::io_context &m_io;
    StoreModel m_state;
    std::list<Watch> m_watches;
    StoreOutage m_outage = StoreOutage::None;
};

} // namespace turmericline::fakes

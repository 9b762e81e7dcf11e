#pragma once

#include "http_caller.h"
#include "store_feed.h"

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace turmericline {

/** Logs a change that begins a new era. @p keptFacts is the number of newer facts that it has not replaced. */
void logNewEra(std::string_view prefix,
               const StoreChange &change,
               std::chrono::milliseconds outage,
               std::size_t keptFacts);

/** Executes the calls of one feed over its own connection. */
class StoreReader
{
public:
    /** @p outage is the time for which calls failed before this change. */
    using ChangeHandler
        = std::function<void(TimePoint now, const StoreChange &change, std::chrono::milliseconds outage)>;

    StoreReader(asio::io_context &io,
                const GatewayDialect &dialect,
                const StoreFeedConfig &config,
                std::string address,
                ChangeHandler onChange,
                std::mt19937_64 &random);
    StoreReader(const StoreReader &) = delete;
    StoreReader &operator=(const StoreReader &) = delete;

    void tick(TimePoint now);
    void setAddress(std::string address);
    /** See StoreFeed::onKnownEra(). */
    void onKnownEra(TimePoint now, std::optional<StoreEra> era);
    void setRereadSpread(std::chrono::milliseconds spread);
    /** See StoreFeed::setPaused(). */
    void setPaused(bool isPaused);
    /** See StoreFeed::requestRead(). */
    void requestRead();
    void setWatchWait(std::chrono::milliseconds wait);

    const StoreFeed &feed() const
    {
        return m_feed;
    }

private:
    void call(TimePoint now, const StoreCall &call);
    void onReply(std::uint64_t serial, const std::optional<HttpReply> &reply, std::string reason);

    StoreFeed m_feed;
    std::string m_name; ///< Key prefix, for log messages.
    std::string m_address;
    ChangeHandler m_onChange;
    std::mt19937_64 &m_random;
    HttpCaller m_caller;
    std::uint64_t m_callNumber = 0; ///< Number of the current call; replies to earlier ones are ignored.
    bool m_isOutageLogged = false; ///< The current outage has been logged.
};

} // namespace turmericline

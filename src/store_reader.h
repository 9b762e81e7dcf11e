#pragma once

#include "backend_connection.h"
#include "store_feed.h"

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace turmericline {

/** Makes the calls of one feed on a connection of its own. */
class StoreReader
{
public:
    /** @p outage: how long calls failed before this change. */
    using ChangeHandler
        = std::function<void(TimePoint now, const StoreChange &change, std::chrono::milliseconds outage)>;

    StoreReader(asio::io_context &io,
                const GatewayDialect &dialect,
                StoreFeedConfig config,
                std::string address,
                ChangeHandler onChange,
                std::mt19937_64 &random);
    ~StoreReader();
    StoreReader(const StoreReader &) = delete;
    StoreReader &operator=(const StoreReader &) = delete;

    void tick(TimePoint now);
    void setAddress(std::string address);

    const StoreFeed &feed() const
    {
        return m_feed;
    }

private:
    struct Answer
    {
        int status = 0;
        std::string body;
    };

    void call(TimePoint now, const StoreCall &call);
    void onAnswer(const Answer &answer);
    void onFailure(std::string reason);

    asio::io_context &m_io;
    StoreFeed m_feed;
    std::string m_name; ///< Prefix, for logs.
    std::string m_address;
    ChangeHandler m_onChange;
    std::mt19937_64 &m_random;
    std::shared_ptr<BackendConnection> m_connection;
    TimePoint m_callEndsAt = TimePoint::max();
    bool m_isLost = false; ///< The loss was logged.
};

} // namespace turmericline

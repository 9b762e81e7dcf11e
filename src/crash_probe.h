#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace turmericline {

/** What a backend server does with a new connection. */
enum class ProbeResult {
    Listening,
    Refused, ///< Its host is up, and nothing listens at the address.
    Silent, ///< Nothing answers, which may also be a network partition.
};

/** Checks whether a backend server still listens, after a connection to it has broken. */
class CrashProbe
{
public:
    using Handler = std::function<void(ProbeResult result)>;

    CrashProbe(asio::io_context &io, const std::string &backendUrl);
    /** A server without an endpoint counts as listening. */
    CrashProbe(asio::io_context &io, std::optional<asio::ip::tcp::endpoint> server);

    /**
     * Connects after a short delay, closes the connection and calls @p done. A server whose URL has no IP address
     * counts as listening. Not to be called while isRunning().
     */
    void start(Handler done);
    bool isRunning() const;

private:
    struct Attempt;

    void connect(const std::shared_ptr<Attempt> &attempt);
    void end(const std::shared_ptr<Attempt> &attempt, ProbeResult result);

    asio::io_context &m_io;
    std::optional<asio::ip::tcp::endpoint> m_server;
    std::shared_ptr<Attempt> m_attempt;
};

} // namespace turmericline

#include "crash_probe.h"

#include "address.h"

#include <asio/ip/address.hpp>

namespace turmericline {

namespace {

/** An exiting process closes its sockets one by one, so its listener may still be open when a connection breaks. */
constexpr std::chrono::milliseconds probeDelay{5};
/** Failed requests are answered after the probe, so it must end soon even if the host drops packets. */
constexpr std::chrono::milliseconds probeTimeout{500};

std::optional<asio::ip::tcp::endpoint> endpointOf(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme)) {
        return std::nullopt;
    }
    url.remove_prefix(scheme.size());
    const auto parsed = parseAddress(url.substr(0, url.find('/')));
    if (!parsed) {
        return std::nullopt;
    }
    asio::error_code ec;
    const auto address = asio::ip::make_address(parsed.value->first, ec);
    return ec ? std::nullopt : std::optional(asio::ip::tcp::endpoint(address, parsed.value->second));
}

} // namespace

struct CrashProbe::Attempt
{
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    Handler done;
};

CrashProbe::CrashProbe(asio::io_context &io, const std::string &backendUrl)
    : CrashProbe(io, endpointOf(backendUrl))
{
}

CrashProbe::CrashProbe(asio::io_context &io, std::optional<asio::ip::tcp::endpoint> server)
    : m_io(io)
    , m_server(std::move(server))
{
}

bool CrashProbe::isRunning() const
{
    return m_attempt != nullptr;
}

void CrashProbe::start(Handler done)
{
    m_attempt
        = std::make_shared<Attempt>(Attempt{asio::ip::tcp::socket(m_io), asio::steady_timer(m_io), std::move(done)});
    m_attempt->timer.expires_after(probeDelay);
    m_attempt->timer.async_wait([this, attempt = m_attempt](asio::error_code ec) {
        if (!ec) {
            connect(attempt);
        }
    });
}

void CrashProbe::connect(const std::shared_ptr<Attempt> &attempt)
{
    if (!m_server) {
        end(attempt, ProbeResult::Listening);
        return;
    }
    attempt->timer.expires_after(probeTimeout);
    attempt->timer.async_wait([attempt](asio::error_code ec) {
        if (!ec) {
            asio::error_code ignored;
            attempt->socket.close(ignored); // Makes the pending connect fail.
        }
    });
    attempt->socket.async_connect(*m_server, [this, attempt](asio::error_code ec) {
        attempt->timer.cancel();
        const bool isRefused = ec == asio::error::connection_refused || ec == asio::error::connection_reset;
        end(attempt, !ec ? ProbeResult::Listening : isRefused ? ProbeResult::Refused : ProbeResult::Silent);
    });
}

void CrashProbe::end(const std::shared_ptr<Attempt> &attempt, ProbeResult result)
{
    m_attempt.reset();
    attempt->done(result);
}

} // namespace turmericline

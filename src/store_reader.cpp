#include "store_reader.h"

#include "backend_pool.h"
#include "log.h"

namespace turmericline {

namespace {

/** Failures shorter than this are not logged as a lost dependency. */
constexpr std::chrono::milliseconds lossLogDelay{500};
/** The store closes idle connections after some seconds at the earliest; a call follows the last one at once. */
constexpr std::chrono::milliseconds storeIdleLimit{2'000};

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

StoreReader::StoreReader(asio::io_context &io,
                         const GatewayDialect &dialect,
                         StoreFeedConfig config,
                         std::string address,
                         ChangeHandler onChange,
                         std::mt19937_64 &random)
    : m_io(io)
    , m_feed(dialect, config)
    , m_name(config.prefix)
    , m_address(std::move(address))
    , m_onChange(std::move(onChange))
    , m_random(random)
{
}

StoreReader::~StoreReader()
{
    if (m_connection) {
        m_connection->stop();
    }
}

void StoreReader::setAddress(std::string address)
{
    if (address != m_address) {
        m_address = std::move(address);
        if (m_connection) {
            m_connection->stop();
        }
        onFailure("the store's address has changed");
    }
}

void StoreReader::tick(TimePoint at)
{
    if (at >= m_callEndsAt) {
        m_connection->stop();
        onFailure("no answer in time");
    }
    if (m_connection) {
        m_connection->tick(at);
    }
    if (const auto next = m_feed.takeCall(at, BootClock::now())) {
        call(at, *next);
    }
    const auto since = m_feed.failingSince();
    if (since && !m_isLost && at - *since > lossLogDelay) {
        m_isLost = true;
        logEvent(LogLevel::Warning, "store lost", {{"prefix", m_name}, {"reason", m_feed.lastError()}});
    }
}

void StoreReader::call(TimePoint at, const StoreCall &call)
{
    if (!m_connection || !m_connection->isIdle()) {
        const auto endpoint = parseEndpoint(m_address);
        if (!endpoint) {
            onFailure("the store's address is malformed");
            return;
        }
        m_connection = std::make_shared<BackendConnection>(m_io, *endpoint);
        m_connection->setIdleLimit(storeIdleLimit);
    }
    m_callEndsAt = at + call.timeout;
    auto answer = std::make_shared<Answer>();
    BackendHandlers handlers;
    handlers.onHead = [answer](HttpHead &head) {
        answer->status = head.status;
        return HeadUse::Take;
    };
    handlers.onBody = [answer](const std::string &bytes) {
        answer->body.append(bytes);
    };
    handlers.onEnd = [this, answer] {
        onAnswer(*answer);
    };
    handlers.onFailure = [this](const AttemptFailure &failure) {
        onFailure(failure.reason);
    };
    m_connection->start(at, "GET " + call.target + " HTTP/1.1\r\nHost: " + m_address + "\r\n\r\n", std::move(handlers));
}

void StoreReader::onAnswer(const Answer &answer)
{
    const auto at = now();
    const auto outage = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_feed.failingSince() ? at - *m_feed.failingSince() : TimePoint::duration{});
    m_callEndsAt = TimePoint::max();
    const auto change = m_feed.onAnswer(at, answer.status, answer.body, m_random);
    if (!m_feed.failingSince() && m_isLost) {
        m_isLost = false;
        logEvent(LogLevel::Info, "store regained", {{"prefix", m_name}, {"outage_ms", outage.count()}});
    }
    if (change) {
        m_onChange(at, *change, outage);
    }
    if (const auto next = m_feed.takeCall(at, BootClock::now())) {
        call(at, *next);
    }
}

void StoreReader::onFailure(std::string reason)
{
    m_callEndsAt = TimePoint::max();
    m_feed.onFailure(now(), std::move(reason), m_random);
}

} // namespace turmericline

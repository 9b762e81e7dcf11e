#pragma once

#include "backend_pool.h"
#include "caller_connection.h"
#include "exchange.h"
#include "gateway_limits.h"

#include <functional>
#include <memory>

namespace turmericline {

/** Executes the actions of one exchange on the connections to its caller and its server. */
class GatewayCall : public std::enable_shared_from_this<GatewayCall>
{
public:
    using EndHandler = std::function<void(const GatewayCall &call)>;

    GatewayCall(ExchangeRequest request,
                ExchangeContext context,
                const GatewayDialect &dialect,
                BackendPool &pool,
                GatewayLimits &limits,
                std::shared_ptr<CallerConnection> caller,
                EndHandler onEnd);

    void start(TimePoint now);
    void tick(TimePoint now);
    /** Ends the request, since the process is about to exit. */
    void stop(TimePoint now);

    const Exchange &exchange() const
    {
        return m_exchange;
    }

private:
    void perform(ExchangeActions actions);
    void executeAction(const AskPermit &action);
    void executeAction(StartAttempt &action);
    void executeAction(const StopAttempt &action);
    void executeAction(const SendHead &action);
    void executeAction(const SendBody &action);
    void executeAction(const EndResponse &action);
    void executeAction(const AbortResponse &action);
    void executeAction(const Reply &action);
    HeadDisposition onHead(HttpHead &head);
    std::string requestMessage(const ForwardFields &fields) const;
    BackendHandlers makeHandlers(std::uint32_t attempt);

    Exchange m_exchange;
    const GatewayDialect &m_dialect;
    BackendPool &m_pool;
    GatewayLimits &m_limits;
    std::shared_ptr<CallerConnection> m_caller;
    std::shared_ptr<BackendConnection> m_backend;
    EndHandler m_onEnd;
    std::uint32_t m_attempt = 0; ///< Number of the current attempt; events of earlier ones are ignored.
    bool m_hasReportedEnd = false;
};

/** Sends a response that the gateway generates itself. */
void sendReply(CallerConnection &caller, const Reply &reply);

} // namespace turmericline

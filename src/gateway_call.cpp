#include "gateway_call.h"

#include <asio/post.hpp>

namespace turmericline {

namespace {

/** Backpressure: above this many unsent bytes to the caller, the gateway stops reading from the server. */
constexpr std::size_t maxPendingBytes = 64U << 10U;

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

GatewayCall::GatewayCall(ExchangeRequest request,
                         ExchangeContext context,
                         const GatewayDialect &dialect,
                         BackendPool &pool,
                         GatewayLimits &limits,
                         std::shared_ptr<CallerConnection> caller,
                         EndHandler onEnd)
    : m_exchange(std::move(request), context)
    , m_dialect(dialect)
    , m_pool(pool)
    , m_limits(limits)
    , m_caller(std::move(caller))
    , m_onEnd(std::move(onEnd))
{
}

void GatewayCall::start(TimePoint at)
{
    CallerHandlers handlers;
    handlers.onDisconnect = [self = shared_from_this()] {
        self->perform(self->m_exchange.onCallerDisconnect(now()));
    };
    handlers.onWritable = [self = shared_from_this()] {
        if (self->m_backend) {
            self->m_backend->resumeReading();
        }
    };
    m_caller->setHandlers(std::move(handlers));
    perform(m_exchange.start(at));
}

void GatewayCall::tick(TimePoint at)
{
    perform(m_exchange.onTick(at));
}

void GatewayCall::stop(TimePoint at)
{
    perform(m_exchange.onStop(at));
}

void GatewayCall::perform(ExchangeActions actions)
{
    for (auto &action : actions) {
        std::visit(
            [this](auto &it) {
                executeAction(it);
            },
            action);
    }
    if (m_exchange.isEnded() && !m_hasReportedEnd) {
        m_hasReportedEnd = true;
        m_backend.reset();
        m_onEnd(*this);
    }
}

void GatewayCall::executeAction(const AskPermit &action)
{
    m_limits.ask(now(), action.server, [self = shared_from_this()] {
        self->perform(self->m_exchange.onPermitAnswer(now()));
    });
}

void GatewayCall::executeAction(StartAttempt &action)
{
    // A server may close an idle connection just as a request is sent on it. The request may then have run, so one that
    // is not idempotent could not be retried; it gets a new connection instead.
    const bool forceNew = !m_exchange.request().rule->isIdempotent();
    m_backend = m_pool.take(now(), action.server, action.address, forceNew);
    ++m_attempt;
    if (!m_backend) {
        asio::post(m_pool.executor(), [self = shared_from_this()] {
            self->perform(self->m_exchange.onFailure(
                now(), {Verdict::NotRun, BackendFault::Unreachable, "the server's address is malformed"}));
        });
        return;
    }
    m_backend->start(now(), requestMessage(action.fields), makeHandlers(m_attempt));
}

BackendHandlers GatewayCall::makeHandlers(std::uint32_t attempt)
{
    BackendHandlers handlers;
    const auto self = shared_from_this();
    handlers.onHead = [self, attempt](HttpHead &head) {
        return attempt == self->m_attempt ? self->onHead(head) : HeadDisposition::Skip;
    };
    handlers.onBody = [self, attempt](const std::string &bytes) {
        if (attempt == self->m_attempt) {
            self->perform(self->m_exchange.onBody(now(), bytes));
        }
    };
    handlers.onEnd = [self, attempt] {
        if (attempt == self->m_attempt) {
            self->perform(self->m_exchange.onEnd(now()));
        }
    };
    handlers.onFailure = [self, attempt](const AttemptFailure &failure) {
        if (attempt == self->m_attempt) {
            self->perform(self->m_exchange.onFailure(now(), failure));
        }
    };
    return handlers;
}

HeadDisposition GatewayCall::onHead(HttpHead &head)
{
    auto fields = m_dialect.readResponseFields(head);
    const auto &expected = m_exchange.request().caller.requestId;
    if (!fields.requestId.empty() && fields.requestId != expected) {
        return HeadDisposition::Skip;
    }
    if (fields.requestId.empty() && !expected.empty() && m_backend->isReused()) {
        // It may be a copy of an answer to an earlier request, so nothing that it states is believed.
        fields = {};
    }
    if (fields.keepAlive) {
        m_backend->setIdleLimit(*fields.keepAlive);
    }
    perform(m_exchange.onHead(now(), head, fields));
    return HeadDisposition::Take;
}

std::string GatewayCall::requestMessage(const ForwardFields &fields) const
{
    const auto &request = m_exchange.request();
    std::string text = request.head.method + " " + request.head.target + " HTTP/1.1\r\n";
    text.append(headerLines(m_dialect.forwardHeaders(request.head, fields)));
    const bool hasBody
        = !request.body.empty() || request.head.header("Content-Length") || request.head.header("Transfer-Encoding");
    if (hasBody) {
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    return text.append("\r\n").append(request.body);
}

void GatewayCall::executeAction(const StopAttempt &action)
{
    ++m_attempt;
    if (const auto backend = std::exchange(m_backend, nullptr)) {
        if (action.keepsConnection) {
            backend->detach(now());
        } else {
            backend->stop();
            m_pool.dropIdle(m_exchange.summary().server);
        }
    }
}

void GatewayCall::executeAction(const SendHead &action)
{
    m_caller->sendHead(action.status, action.headers, action.contentLength);
}

void GatewayCall::executeAction(const SendBody &action)
{
    m_caller->sendBody(action.bytes);
    if (m_backend && m_caller->pendingBytes() > maxPendingBytes) {
        m_backend->pauseReading();
        m_exchange.onReadingPaused();
    }
}

void GatewayCall::executeAction(const EndResponse &)
{
    m_caller->endResponse();
}

void GatewayCall::executeAction(const AbortResponse &)
{
    m_caller->close();
}

void GatewayCall::executeAction(const Reply &action)
{
    sendReply(*m_caller, action);
}

void sendReply(CallerConnection &caller, const Reply &reply)
{
    HttpHeaders headers;
    if (reply.retryAfter) {
        headers.emplace_back("Retry-After", retryAfterText(*reply.retryAfter));
    }
    caller.reply(reply.status, headers, reply.reason + "\n");
}

} // namespace turmericline

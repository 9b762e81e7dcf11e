#include "fake_service.h"

#include <unistd.h>

namespace turmericline::fakes {

FakeService::FakeService(asio::io_context &io, FakeServiceConfig config)
    : FakeServer(io, config.port)
    , m_io(io)
    , m_config(std::move(config))
{
    if (!m_config.crash) {
        m_config.crash = [] {
            _exit(1);
        };
    }
}

const std::map<std::string, std::uint64_t, std::less<>> &FakeService::counts() const
{
    return m_counts;
}

void FakeService::setFault(const Json &fault)
{
    closeHeld();
    m_mode = fault.value("mode", "ok");
    m_text = fault.value("text", "");
    m_config.delay = std::chrono::milliseconds(fault.value("delay_ms", m_config.delay.count()));
}

bool FakeService::faultMatches(std::string_view mode, std::string_view body) const
{
    return m_mode == mode && body.find(m_text) != std::string_view::npos;
}

void FakeService::handle(HttpRequest request, ResponderPtr responder)
{
    if (request.method == "GET" && request.path == "/counts") {
        replyJson(*responder, 200, m_counts);
    } else if (request.method == "POST" && request.path == "/control/fault") {
        const auto fault = Json::parse(request.body, nullptr, false);
        if (!fault.is_object()) {
            replyError(*responder, 400, "the fault is not a JSON object");
            return;
        }
        setFault(fault);
        replyJson(*responder, 200, Json::object());
    } else if (faultMatches("reject", request.body)) {
        replyError(*responder, 503, "rejected by fault");
    } else {
        execute(request, responder);
    }
}

void FakeService::execute(const HttpRequest &request, const ResponderPtr &responder)
{
    const std::string key(request.header("Idempotency-Key"));
    const auto run = ++m_counts[key];
    if (faultMatches("crash", request.body)) {
        m_config.crash();
        return;
    }
    if (faultMatches("stall", request.body)) {
        hold(responder);
        return;
    }
    Json answer = {{"key", key}, {"run", run}, {"path", request.path}, {"method", request.method}};
    if (m_config.delay.count() == 0) {
        replyJson(*responder, 200, answer);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_io, m_config.delay);
    timer->async_wait([timer, responder, answer = std::move(answer)](const asio::error_code &ec) {
        if (!ec) {
            replyJson(*responder, 200, answer);
        }
    });
}

} // namespace turmericline::fakes

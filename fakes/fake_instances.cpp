#include "fake_instances.h"

namespace turmericline::fakes {

FakeInstances::FakeInstances(asio::io_context &io, FakeInstancesConfig config)
    : FakeServer(io, config.port)
    , m_config(std::move(config))
    , m_instances(m_config.lag, m_config.initial)
{
}

void FakeInstances::setInstances(Json instances)
{
    m_instances.set(m_config.now(), std::move(instances));
}

void FakeInstances::setFault(const Json &fault)
{
    closeHeld();
    m_mode = fault.value("mode", "ok");
    if (fault.contains("lag_ms")) {
        m_instances.setLag(std::chrono::milliseconds(fault["lag_ms"].get<std::int64_t>()));
    }
}

std::uint64_t FakeInstances::callCount() const
{
    return m_calls;
}

void FakeInstances::handle(HttpRequest request, ResponderPtr responder)
{
    if (request.path != "/v1/instances") {
        handleControl(request, *responder);
        return;
    }
    ++m_calls;
    if (m_mode == "down") {
        replyError(*responder, 503, "down by fault");
    } else if (m_mode == "stall") {
        hold(responder);
    } else {
        replyJson(*responder, 200, m_instances.get(m_config.now()));
    }
}

void FakeInstances::handleControl(const HttpRequest &request, HttpResponder &responder)
{
    auto body = Json::parse(request.body, nullptr, false);
    if (request.method == "PUT" && request.path == "/control/instances" && body.is_array()) {
        setInstances(std::move(body));
        replyJson(responder, 200, Json::object());
    } else if (request.method == "POST" && request.path == "/control/fault" && body.is_object()) {
        setFault(body);
        replyJson(responder, 200, Json::object());
    } else {
        replyError(responder, body.is_discarded() ? 400 : 404, "no such path, or the body has the wrong type");
    }
}

} // namespace turmericline::fakes

#include "agent_call.h"

#include "suspect_sync.h"
#include "ticket.h"
#include "wire.h"

#include <algorithm>
#include <charconv>

namespace turmericline {

namespace {

std::optional<std::uint64_t> number(std::string_view text)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && end == text.data() + text.size() && !text.empty() ? std::optional(n) : std::nullopt;
}

} // namespace

Result<AgentCall> parseAgentCall(const H2ServerStream &stream, std::chrono::steady_clock::time_point now)
{
    AgentCall call;
    call.requestId = stream.header(wire::request);
    call.workspace = stream.header(wire::workspace);
    call.method = stream.header(wire::method);
    call.path = stream.header(wire::path);
    call.callerKey = stream.header(wire::callerKey);
    call.isIdempotent = stream.header(wire::idempotent) == "1";
    call.fingerprint = stream.header(wire::fingerprint);
    call.parts = parseParts(stream.header(wire::parts));
    if (call.requestId.empty() || call.workspace.empty() || call.method.empty() || !call.path.starts_with('/')) {
        return Result<AgentCall>::fail("a required header is missing");
    }
    const auto requestClass = valueOf(requestClassNames, stream.header(wire::requestClass));
    const auto budget = number(stream.header(wire::budgetMs));
    if (!requestClass || !budget) {
        return Result<AgentCall>::fail("invalid class or budget");
    }
    constexpr double weightUnit = 1'000;
    call.cost = static_cast<double>(std::max<std::uint64_t>(1, number(stream.header(wire::cost)).value_or(1)));
    call.weight = static_cast<double>(std::max<std::uint64_t>(1, number(stream.header(wire::weight)).value_or(1'000)))
                  / weightUnit;
    call.requestClass = *requestClass;
    call.deadline = now + std::chrono::milliseconds(*budget);
    if (const auto resume = stream.header(wire::resume); !resume.empty()) {
        call.resumeOffset = number(resume);
        if (!call.resumeOffset) {
            return Result<AgentCall>::fail("invalid resume offset");
        }
    }
    if (const auto key = stream.header(wire::key); !key.empty()) {
        call.ticket = parseTicket(key);
        if (!call.ticket) {
            return Result<AgentCall>::fail("invalid ticket");
        }
    }
    return Result<AgentCall>::ok(std::move(call));
}

HttpClientRequest
backendRequest(const AgentCall &call, const std::string &backendUrl, std::string body, std::string contentType)
{
    HttpClientRequest request;
    request.method = call.method;
    request.url = backendUrl + call.path;
    request.body = std::move(body);
    if (!contentType.empty()) {
        request.headers.emplace_back("Content-Type", std::move(contentType));
    }
    request.headers.emplace_back("X-Request-Id", call.requestId);
    request.headers.emplace_back("X-Priority", nameOf(requestClassNames, call.requestClass));
    if (call.resumeOffset) {
        request.headers.emplace_back("X-Resume-Offset", std::to_string(*call.resumeOffset));
    }
    if (!call.callerKey.empty()) {
        request.headers.emplace_back("Idempotency-Key", call.callerKey);
    }
    // libcurl resends a request by itself if a reused connection turns out to be closed. That could run a call twice,
    // hide that it has crashed the backend server, or report it as not run when the second connection is refused.
    request.freshConnection = true;
    return request;
}

} // namespace turmericline

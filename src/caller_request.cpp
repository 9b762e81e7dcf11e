#include "caller_request.h"

#include "suspect.h"
#include "verdict.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <random>

namespace turmericline {

namespace {

using nlohmann::json;

constexpr std::string_view completionsPath = "/v1/completions";
constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view servicesPrefix = "/services/";
constexpr std::size_t maxKeyBytes = 255;
/** Prompts that begin with the same bytes, up to this number, go to the same backend servers, which cache prefixes. */
constexpr std::size_t affinityBytes = 512;

std::string toHex16(std::uint64_t n)
{
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(n));
    return {buf.data(), 16};
}

std::string makeRequestId()
{
    static std::mt19937_64 generator{std::random_device{}()};
    return toHex16(generator());
}

std::string fingerprintOf(const CallerRequest &request)
{
    const std::string seedText = request.workspace + '\n' + request.service + '\n' + request.path;
    const auto seed = XXH3_64bits(seedText.data(), seedText.size());
    const auto hash = XXH3_128bits_withSeed(request.body.data(), request.body.size(), seed);
    return toHex16(hash.high64) + toHex16(hash.low64);
}

bool hasNonPrintableBytes(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char c) {
        return c < 0x21 || c > 0x7e;
    });
}

Refusal invalid(std::string message)
{
    return {400, "invalid_request", std::move(message), Verdict::NotRun, {}};
}

/** Returns true for control characters other than the tab, which HTTP allows in a header value. */
bool hasControlCharacters(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char c) {
        return (c < 0x20 && c != '\t') || c == 0x7f;
    });
}

/** Returns the name of a header that is repeated or empty although it must be unambiguous; empty if there is none. */
std::string_view ambiguousHeader(const HttpRequest &request)
{
    constexpr std::array<std::string_view, 4> singleHeaders{
        "Authorization", "Idempotency-Key", "X-Deadline-Ms", "X-Class"};
    for (const auto name : singleHeaders) {
        const auto count = std::count_if(request.headers.begin(), request.headers.end(), [name](const auto &it) {
            return equalsIgnoringCase(it.first, name);
        });
        if (count > 1 || (count == 1 && request.header(name).empty())) {
            return name;
        }
    }
    return {};
}

/** Returns the start of the prompt, which determines cache affinity. */
std::string promptStart(const json &body)
{
    std::string text;
    if (const auto it = body.find("prompt"); it != body.end() && it->is_string()) {
        text = it->get<std::string>();
    } else if (const auto messages = body.find("messages"); messages != body.end()) {
        for (const auto &it2 : *messages) {
            text += it2.value("role", std::string()) + ":";
            if (const auto content = it2.find("content"); content != it2.end() && content->is_string()) {
                text += content->get<std::string>();
            }
            if (text.size() >= affinityBytes) {
                break;
            }
        }
    }
    text.resize(std::min(text.size(), affinityBytes));
    return text;
}

/**
 * Returns fingerprints of all messages but the last one. A message whose content is no text has none: its nesting is up to
 * the caller, and printing it would need stack for each level.
 */
std::vector<Fingerprint> sharedMessages(std::string_view service, const json &body)
{
    constexpr std::size_t maxMessages = 64;
    const auto &messages = body.at("messages");
    const auto n = std::min(messages.size() - 1, maxMessages);
    std::vector<Fingerprint> parts;
    for (std::size_t i = 0; i < n; ++i) {
        const auto content = messages[i].find("content");
        if (content != messages[i].end() && content->is_string()) {
            const auto text = messages[i]["role"].get<std::string>() + ':' + content->get<std::string>();
            parts.push_back(partFingerprint(service, XXH3_64bits(text.data(), text.size())));
        }
    }
    return parts;
}

std::optional<Refusal> checkPrompt(const json &body, bool isChat)
{
    if (!isChat) {
        const auto prompt = body.find("prompt");
        return prompt != body.end() && prompt->is_string() ? std::nullopt
                                                           : std::optional(invalid("\"prompt\" must be a text"));
    }
    const auto messages = body.find("messages");
    const bool valid = messages != body.end() && messages->is_array() && !messages->empty()
                       && std::all_of(messages->begin(), messages->end(), [](const json &it) {
                              return it.is_object() && it.contains("role") && it["role"].is_string();
                          });
    return valid ? std::nullopt : std::optional(invalid("\"messages\" must be a list of objects with a \"role\""));
}

std::optional<Refusal> readModelBody(const Document &document, const Plan &plan, CallerRequest &call)
{
    const auto body = json::parse(call.body, nullptr, false);
    if (body.is_discarded() || !body.is_object()) {
        return invalid("the body is not a valid JSON object in UTF-8");
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return invalid("\"model\" must be a text");
    }
    const auto name = model->get<std::string>();
    const auto service = std::find_if(document.services.begin(), document.services.end(), [&name](const Service &it) {
        return it.kind == ServiceKind::Model && it.model == name;
    });
    if (service == document.services.end()) {
        return Refusal{404, "model_not_found", "no service offers the model \"" + name + "\"", Verdict::NotRun, {}};
    }
    if (std::find(plan.services.begin(), plan.services.end(), document.services.find(service->name))
        == plan.services.end()) {
        return Refusal{403, "forbidden", "this workspace may not use the model \"" + name + "\"", Verdict::NotRun, {}};
    }
    if (auto refusal = checkPrompt(body, call.path == chatPath)) {
        return refusal;
    }
    if (const auto stream = body.find("stream"); stream != body.end()) {
        if (!stream->is_boolean()) {
            return invalid("\"stream\" must be true or false");
        }
        call.isStream = stream->get<bool>();
    }
    if (const auto tokens = body.find("max_tokens"); tokens != body.end() && !tokens->is_null()) {
        if (!tokens->is_number_unsigned()) {
            return invalid("\"max_tokens\" must be a whole number");
        }
        call.maxTokens = tokens->get<std::uint64_t>();
    }
    call.service = service->name;
    call.kind = ServiceKind::Model;
    call.isIdempotent = true; // Generating an answer again has no effect outside the engine.
    if (call.path == chatPath) {
        call.parts = sharedMessages(call.service, body);
    }
    const auto prefix = call.workspace + '\n' + promptStart(body);
    call.prefixHash = XXH3_64bits(prefix.data(), prefix.size());
    return std::nullopt;
}

/**
 * Returns true if a path contains "." or ".." as a segment, also percent-encoded. HTTP clients and backend servers
 * resolve such segments, so a call could match one row of the document's calls and run as another.
 */
bool hasDotSegment(std::string_view path)
{
    std::string plain(path);
    for (std::size_t at = 0; (at = plain.find("%2", at)) != std::string::npos; ++at) {
        const char digit = at + 2 < plain.size() ? plain[at + 2] : '\0';
        if (digit == 'e' || digit == 'E' || digit == 'f' || digit == 'F') {
            plain.replace(at, 3, digit == 'e' || digit == 'E' ? "." : "/");
        }
    }
    plain = "/" + plain + "/";
    return plain.find("/./") != std::string::npos || plain.find("/../") != std::string::npos;
}

std::optional<Refusal> readServicePath(const Document &document, const Plan &plan, CallerRequest &call)
{
    const auto rest = std::string_view(call.path).substr(servicesPrefix.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    const std::string name(rest.substr(0, slash));
    const auto id = document.services.find(name);
    if (!id.isValid() || document.services[id].kind != ServiceKind::Plain) {
        return Refusal{404, "service_not_found", "there is no service \"" + name + "\"", Verdict::NotRun, {}};
    }
    if (std::find(plan.services.begin(), plan.services.end(), id) == plan.services.end()) {
        return Refusal{
            403, "forbidden", "this workspace may not use the service \"" + name + "\"", Verdict::NotRun, {}};
    }
    if (hasDotSegment(rest)) {
        return invalid("the path must not hold the segments \".\" or \"..\"");
    }
    call.service = name;
    call.kind = ServiceKind::Plain;
    const auto inner = rest.substr(slash);
    call.path = inner.empty() ? "/" : std::string(inner);
    call.isIdempotent = isIdempotentCall(document.services[id], call.method, call.path);
    return std::nullopt;
}

std::optional<Refusal> readClass(const Plan &plan, const HttpRequest &request, CallerRequest &call)
{
    call.requestClass = call.kind == ServiceKind::Plain ? RequestClass::Urgent : plan.defaultClass;
    const auto text = request.header("X-Class");
    if (text.empty()) {
        return std::nullopt;
    }
    const auto requestedClass = valueOf(requestClassNames, text);
    if (!requestedClass) {
        return invalid("X-Class must be urgent, interactive or batch");
    }
    // A caller may lower its class, but not raise it above that of its plan and service.
    call.requestClass = std::max(call.requestClass, *requestedClass);
    return std::nullopt;
}

std::optional<Refusal> readBudget(const EntrySettings &settings, const HttpRequest &request, CallerRequest &call)
{
    call.budget = settings.defaultDeadline;
    const auto text = request.header("X-Deadline-Ms");
    if (text.empty()) {
        return std::nullopt;
    }
    std::uint32_t ms = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (ec != std::errc() || end != text.data() + text.size() || ms == 0) {
        return invalid("X-Deadline-Ms must be a positive whole number");
    }
    call.budget = std::min(std::chrono::milliseconds(ms), settings.maxDeadline);
    return std::nullopt;
}

std::optional<Refusal> readKey(const HttpRequest &request, CallerRequest &call)
{
    call.key = request.header("Idempotency-Key");
    if (call.key.size() > maxKeyBytes || hasNonPrintableBytes(call.key)) {
        return invalid("Idempotency-Key must be at most 255 printable ASCII characters");
    }
    return std::nullopt;
}

std::optional<Refusal> readRequest(const Document &document,
                                   const EntrySettings &settings,
                                   const HttpRequest &request,
                                   const Workspace &workspace,
                                   CallerRequest &call)
{
    const auto &plan = document.plans[workspace.plan];
    call.id = makeRequestId();
    call.workspace = workspace.name;
    call.plan = plan.name;
    call.method = request.method;
    call.path = request.path;
    call.contentType = request.header("Content-Type");
    call.body = request.body;
    if (auto refusal = readKey(request, call)) {
        return refusal;
    }
    const bool isModel = request.path == completionsPath || request.path == chatPath;
    if (!isModel && !request.path.starts_with(servicesPrefix)) {
        return Refusal{404, "not_found", "unknown path", Verdict::NotRun, {}};
    }
    if (isModel && request.method != "POST") {
        return methodNotAllowed("POST");
    }
    if (auto refusal = isModel ? readModelBody(document, plan, call) : readServicePath(document, plan, call)) {
        return refusal;
    }
    if (!isModel && !request.query.empty()) {
        call.path.append("?").append(request.query);
    }
    if (auto refusal = readClass(plan, request, call)) {
        return refusal;
    }
    call.fingerprint = fingerprintOf(call);
    return readBudget(settings, request, call);
}

} // namespace

std::uint64_t CallerRequest::expectedTokens() const
{
    if (kind == ServiceKind::Plain) {
        return 1;
    }
    constexpr std::uint64_t bytesPerToken = 4;
    constexpr std::uint64_t usualAnswerTokens = 256; // Assumed if the caller sets no limit.
    return body.size() / bytesPerToken + (maxTokens != 0 ? maxTokens : usualAnswerTokens);
}

Verdict refusalVerdict(bool isIdempotent, bool hasKey)
{
    return hasKey && !isIdempotent ? Verdict::MayHaveRun : Verdict::NotRun;
}

std::variant<Id<Workspace>, Refusal> authenticate(const Document &document, const HttpRequest &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = request.header("Authorization");
    if (header.starts_with(scheme)) {
        const auto id = findWorkspaceByKey(document, keyDigest(header.substr(scheme.size())));
        if (id.isValid()) {
            return id;
        }
    }
    // The key may have been revoked after an earlier copy of the call ran, so a call with an idempotency key is not
    // reported as not-run.
    return Refusal{401,
                   "unauthorized",
                   header.empty() ? "no key; send Authorization: Bearer KEY" : "unknown key",
                   refusalVerdict(false, !request.header("Idempotency-Key").empty()),
                   {}};
}

Refusal methodNotAllowed(const std::string &method)
{
    return {405, "method_not_allowed", "use " + method, Verdict::NotRun, {}, method};
}

std::optional<Refusal> checkLimits(const EntrySettings &settings, const HttpRequest &request)
{
    const auto hasKey = std::any_of(request.headers.begin(), request.headers.end(), [](const auto &it) {
        return equalsIgnoringCase(it.first, "Idempotency-Key") && !it.second.empty();
    });
    const auto verdict = refusalVerdict(false, hasKey);
    if (request.isExcessConnection) {
        return Refusal{503, "too_many_connections", "too many connections", verdict, std::chrono::seconds(1)};
    }
    if (request.isHeadTooLarge) {
        return Refusal{431, "head_too_large", "the request line and headers are too large", verdict, {}};
    }
    if (request.body.size() > settings.maxBodyBytes) {
        const auto limit = std::to_string(settings.maxBodyBytes);
        return Refusal{413, "too_large", "the body is larger than " + limit + " bytes", verdict, {}};
    }
    if (std::any_of(request.headers.begin(), request.headers.end(), [](const auto &it) {
            return hasControlCharacters(it.second);
        })) {
        // RESTinio accepts them, but they cannot be sent to an agent over HTTP/2.
        return Refusal{400, "invalid_request", "a header holds a control character", verdict, {}};
    }
    if (const auto name = ambiguousHeader(request); !name.empty()) {
        const auto message = std::string(name) + " must be given once, with a value";
        return Refusal{400, "invalid_request", message, verdict, {}};
    }
    return std::nullopt;
}

std::variant<CallerRequest, Refusal>
readCallerRequest(const Document &document, const EntrySettings &settings, const HttpRequest &request)
{
    const auto workspace = authenticate(document, request);
    if (const auto *refusal = std::get_if<Refusal>(&workspace)) {
        return *refusal;
    }
    CallerRequest call;
    const auto &row = document.workspaces[std::get<Id<Workspace>>(workspace)];
    if (auto refusal = readRequest(document, settings, request, row, call)) {
        refusal->verdict = refusalVerdict(call.isIdempotent, !call.key.empty());
        return *refusal;
    }
    return call;
}

std::variant<Id<Service>, Refusal>
readTicketRequest(const Document &document, Id<Workspace> workspace, const HttpRequest &request)
{
    if (request.method != "POST") {
        return methodNotAllowed("POST");
    }
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("service") || !body["service"].is_string()) {
        return invalid("the body must be {\"service\": NAME}");
    }
    const auto name = body["service"].get<std::string>();
    const auto id = document.services.find(name);
    const auto &allowed = document.plans[document.workspaces[workspace].plan].services;
    if (!id.isValid() || document.services[id].kind != ServiceKind::Plain) {
        return Refusal{404, "service_not_found", "there is no service \"" + name + "\"", Verdict::NotRun, {}};
    }
    if (std::find(allowed.begin(), allowed.end(), id) == allowed.end()) {
        return Refusal{
            403, "forbidden", "this workspace may not use the service \"" + name + "\"", Verdict::NotRun, {}};
    }
    return id;
}

std::string refusalBody(const Refusal &refusal)
{
    const json body{
        {"error", {{"type", refusal.type}, {"message", refusal.message}, {"verdict", verdictName(refusal.verdict)}}}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

void sendRefusal(HttpResponder &responder, const Refusal &refusal)
{
    HttpHeaders headers{{"Content-Type", "application/json"}, {"X-Verdict", std::string(verdictName(refusal.verdict))}};
    if (refusal.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter).count();
        headers.emplace_back("Retry-After", std::to_string(std::max<std::int64_t>(1, seconds)));
    }
    if (!refusal.allow.empty()) {
        headers.emplace_back("Allow", refusal.allow);
    }
    responder.reply(refusal.status, std::move(headers), refusalBody(refusal));
}

} // namespace turmericline

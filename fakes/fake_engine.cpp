#include "fake_engine.h"

#include <fmt/format.h>
#include <unistd.h>

namespace turmericline::fakes {

namespace {

constexpr std::uint32_t defaultMaxTokens = 16; // Default of the OpenAI completions API.
constexpr std::size_t cacheEventsKept = 10'000;
constexpr std::size_t cacheEventsPerAnswer = 1'000;

std::optional<std::string> promptOf(const Json &body, bool chat)
{
    if (!chat) {
        const auto it = body.find("prompt");
        return it != body.end() && it->is_string() ? std::optional(it->get<std::string>()) : std::nullopt;
    }
    const auto it = body.find("messages");
    if (it == body.end() || !it->is_array()) {
        return std::nullopt;
    }
    std::string prompt;
    for (const auto &message : *it) {
        prompt += message.value("role", "user") + ": " + message.value("content", "") + "\n";
    }
    return prompt;
}

RequestClass priorityOf(const HttpRequest &request)
{
    return valueOf(requestClassNames, request.header("X-Priority")).value_or(RequestClass::Interactive);
}

} // namespace

struct FakeEngine::Completion
{
    std::uint64_t id = 0;
    std::uint64_t connection = 0;
    ResponderPtr responder;
    std::string model; ///< As a JSON string with quotes.
    std::string user;
    bool chat = false;
    bool stream = false;
    bool matchesFault = false; ///< The request body contains the fault's text.
    std::size_t promptTokens = 0;
    std::uint32_t produced = 0;
    std::string text; ///< Collected text of a response that is not streamed.

    std::string commonFields(std::string_view object) const
    {
        return fmt::format(R"({{"id":"cmpl-{}","object":"{}","created":0,"model":{},"choices":[)", id, object, model);
    }

    std::string tokenEvent(const BatchToken &token) const
    {
        // Token texts contain no characters that need escaping.
        const auto choice = chat ? fmt::format(R"("delta":{{"content":"{}"}})", token.text)
                                 : fmt::format(R"("text":"{}")", token.text);
        return fmt::format("id: {}\ndata: {}{{\"index\":0,{},\"finish_reason\":{}}}]}}\n\n",
                           token.offset,
                           commonFields(chat ? "chat.completion.chunk" : "text_completion"),
                           choice,
                           token.last ? "\"length\"" : "null");
    }

    std::string completionBody() const
    {
        const auto choice = chat ? fmt::format(R"("message":{{"role":"assistant","content":"{}"}})", text)
                                 : fmt::format(R"("text":"{}")", text);
        return fmt::format(
            R"({}{{"index":0,{},"finish_reason":"length"}}],"usage":{{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{}}}}})",
            commonFields(chat ? "chat.completion" : "text_completion"),
            choice,
            promptTokens,
            produced,
            promptTokens + produced);
    }
};

FakeEngine::FakeEngine(asio::io_context &io, FakeEngineConfig config)
    : FakeServer(io, config.port)
    , m_io(io)
    , m_config(std::move(config))
    , m_batch(m_config.batch)
    , m_stepTimer(io)
    , m_load(m_config.loadLag, Load{})
{
    if (!m_config.crash) {
        m_config.crash = [] {
            _exit(1);
        };
    }
}

FakeEngine::~FakeEngine() = default;

const std::map<std::string, std::uint64_t, std::less<>> &FakeEngine::counts() const
{
    return m_counts;
}

const std::vector<Json> &FakeEngine::orders() const
{
    return m_orders;
}

std::size_t FakeEngine::running() const
{
    return m_batch.running();
}

std::size_t FakeEngine::queued() const
{
    return m_batch.queued();
}

void FakeEngine::setFault(const Json &fault)
{
    m_fault = {fault.value("mode", "ok"), fault.value("text", ""), fault.value("after_tokens", 0U)};
    m_stalled = false;
    closeHeld();
    if (fault.contains("rank")) {
        m_batch.setRankFactor(fault["rank"].get<std::size_t>(), fault.value("factor", 1.0));
    }
    startStep();
}

void FakeEngine::handle(HttpRequest request, ResponderPtr responder)
{
    if (request.method == "POST" && request.path == "/control/fault") {
        setFault(Json::parse(request.body));
        replyJson(*responder, 200, Json::object());
    } else if (m_stalled) {
        hold(responder);
    } else if (request.method == "GET") {
        handleGet(request, *responder);
    } else if (request.method == "POST" && request.path == "/orders") {
        handleOrder(request, *responder);
    } else if (request.method == "POST"
               && (request.path == "/v1/completions" || request.path == "/v1/chat/completions")) {
        handleCompletion(request, responder);
    } else {
        replyError(*responder, 404, "no such path");
    }
}

void FakeEngine::connectionClosed(std::uint64_t connection)
{
    for (auto it = m_completions.begin(); it != m_completions.end();) {
        if (it->second.connection == connection) {
            m_batch.cancel(it->first);
            it = m_completions.erase(it);
        } else {
            ++it;
        }
    }
    recordState();
}

void FakeEngine::handleGet(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path == "/load") {
        const auto load = m_load.get(m_config.now());
        replyJson(
            responder, 200, {{"running", load.running}, {"queued", load.queued}, {"slots", m_config.batch.slots}});
    } else if (request.path == "/cache-events") {
        handleCacheEvents(request, responder);
    } else if (request.path == "/counts") {
        replyJson(responder, 200, m_counts);
    } else if (request.path == "/orders") {
        replyJson(responder, 200, {{"fencing_token", m_fencingToken}, {"orders", m_orders}});
    } else if (request.path == "/health") {
        replyJson(responder, 200, {{"status", "ok"}});
    } else if (request.path == "/v1/models") {
        replyJson(responder,
                  200,
                  {{"object", "list"}, {"data", Json::array({{{"id", m_config.model}, {"object", "model"}}})}});
    } else {
        replyError(responder, 404, "no such path");
    }
}

void FakeEngine::handleOrder(const HttpRequest &request, HttpResponder &responder)
{
    const auto token = parseNumber(request.header("X-Fencing-Token"));
    if (m_config.checksFencing && token.value_or(0) < m_fencingToken) {
        replyJson(responder, 409, {{"current", m_fencingToken}}, {{"X-Fencing-Token", std::to_string(m_fencingToken)}});
        return;
    }
    m_orders.push_back(Json::parse(request.body));
    m_fencingToken = std::max(m_fencingToken, token.value_or(0));
    replyJson(responder, 200, {{"current", m_fencingToken}});
}

void FakeEngine::handleCacheEvents(const HttpRequest &request, HttpResponder &responder)
{
    const auto after = queryNumber(request.query, "after").value_or(0);
    const auto until = m_config.now() - m_config.cacheEventLag;
    Json events = Json::array();
    auto last = after;
    for (const auto &it : m_cacheEvents) {
        if (it.time > until || events.size() == cacheEventsPerAnswer) {
            break;
        }
        if (it.number > after) {
            events.push_back({{"seq", it.number},
                              {"type", it.event.stored ? "stored" : "evicted"},
                              {"block", fmt::format("{:016x}", it.event.block)}});
            last = it.number;
        }
    }
    replyJson(responder, 200, {{"events", std::move(events)}, {"last", last}});
}

void FakeEngine::handleCompletion(const HttpRequest &request, const ResponderPtr &responder)
{
    const bool chat = request.path == "/v1/chat/completions";
    const auto body = Json::parse(request.body);
    auto prompt = promptOf(body, chat);
    if (!prompt) {
        replyError(*responder, 400, chat ? "messages are missing" : "prompt is missing");
        return;
    }
    Completion completion;
    completion.id = ++m_lastId;
    completion.connection = request.connection;
    completion.responder = responder;
    completion.model = Json(body.value("model", m_config.model)).dump();
    completion.user = body.value("user", "");
    completion.chat = chat;
    completion.stream = body.value("stream", false);
    completion.matchesFault = m_fault.mode != "ok" && request.body.find(m_fault.text) != std::string_view::npos;
    completion.promptTokens = (prompt->size() + bytesPerToken - 1) / bytesPerToken;

    BatchJob job;
    job.id = completion.id;
    job.priority = priorityOf(request);
    job.prompt = std::move(*prompt);
    job.nextOffset = static_cast<std::uint32_t>(parseNumber(request.header("X-Resume-Offset")).value_or(0));
    job.endOffset = body.value("max_tokens", defaultMaxTokens);
    startCompletion(std::move(completion), std::move(job));
}

void FakeEngine::startCompletion(Completion completion, BatchJob job)
{
    if (completion.matchesFault && m_fault.mode == "reject") {
        replyError(*completion.responder, 503, "rejected by fault");
        return;
    }
    if (applyFault(completion)) {
        if (m_stalled) {
            hold(completion.responder);
        }
        return;
    }
    const bool empty = job.nextOffset >= job.endOffset;
    if (!empty && !m_batch.submit(std::move(job))) {
        replyError(*completion.responder, 503, "the queue is full");
        return;
    }
    if (completion.stream) {
        completion.responder->beginStream(200, {{"Content-Type", "text/event-stream"}});
    }
    if (empty) {
        finish(completion);
        return;
    }
    m_completions.emplace(completion.id, std::move(completion));
    recordState();
    startStep();
}

bool FakeEngine::applyFault(Completion &completion)
{
    if (!completion.matchesFault || completion.produced < m_fault.afterTokens) {
        return false;
    }
    if (m_fault.mode == "crash") {
        m_config.crash();
    } else if (m_fault.mode == "stall") {
        m_stalled = true;
        m_stepTimer.cancel();
        m_stepRunning = false;
    } else if (m_fault.mode == "abort") {
        // Dropping the last reference to the responder closes the connection.
        return true;
    } else if (m_fault.mode == "truncate") {
        if (completion.produced == 0) {
            completion.responder->beginStream(200, {{"Content-Type", "text/event-stream"}});
        }
        completion.responder->endStream();
    } else {
        return false;
    }
    return true;
}

void FakeEngine::startStep()
{
    if (m_stepRunning || m_stalled) {
        return;
    }
    const auto duration = m_batch.beginStep();
    for (const auto id : m_batch.admitted()) {
        if (const auto it = m_completions.find(id); it != m_completions.end() && !it->second.user.empty()) {
            ++m_counts[it->second.user];
        }
    }
    recordState();
    if (!duration) {
        return;
    }
    m_stepRunning = true;
    m_stepTimer.expires_after(*duration);
    m_stepTimer.async_wait(guarded([this] {
        // A stall may have started after the timer expired and before this handler ran.
        if (m_stepRunning && !m_stalled) {
            m_stepRunning = false;
            finishStep();
        }
    }));
}

void FakeEngine::finishStep()
{
    for (const auto &token : m_batch.finishStep()) {
        deliver(token);
    }
    recordState();
    startStep();
}

void FakeEngine::deliver(const BatchToken &token)
{
    const auto it = m_completions.find(token.job);
    if (it == m_completions.end()) {
        return;
    }
    auto &completion = it->second;
    ++completion.produced;
    if (completion.stream) {
        completion.responder->write(completion.tokenEvent(token), {});
    } else {
        completion.text += token.text;
    }
    const bool isCutByFault = applyFault(completion) && !m_stalled;
    if (isCutByFault) {
        m_batch.cancel(token.job);
    } else if (token.last) {
        finish(completion);
    }
    if (isCutByFault || token.last) {
        m_completions.erase(token.job);
    }
}

void FakeEngine::finish(Completion &completion)
{
    if (completion.stream) {
        completion.responder->write("data: [DONE]\n\n", {});
        completion.responder->endStream();
    } else {
        completion.responder->reply(200, {{"Content-Type", "application/json"}}, completion.completionBody());
    }
}

void FakeEngine::recordState()
{
    const auto now = m_config.now();
    m_load.set(now, {m_batch.running(), m_batch.queued()});
    for (const auto &event : m_batch.takeCacheEvents()) {
        ++m_lastCacheEvent;
        if (m_config.cacheEventGap != 0 && m_lastCacheEvent % m_config.cacheEventGap == 0) {
            continue;
        }
        m_cacheEvents.push_back({now, m_lastCacheEvent, event});
    }
    while (m_cacheEvents.size() > cacheEventsKept) {
        m_cacheEvents.pop_front();
    }
}

} // namespace turmericline::fakes

#include "load_tool_answer.h"

#include "verdict.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace turmericline {

namespace {

std::string toLowerCase(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return out;
}

/** Returns the verdict in an event's data, or an empty text, which parseVerdict() takes as may-have-run. */
std::string verdictOfEvent(const std::string &data)
{
    const auto json = nlohmann::json::parse(data, nullptr, false);
    if (!json.is_object() || !json.contains("verdict") || !json["verdict"].is_string()) {
        return {};
    }
    return json["verdict"].get<std::string>();
}

} // namespace

LoadAnswer::LoadAnswer(LoadClock::time_point scheduled)
    : m_scheduled(scheduled)
{
}

void LoadAnswer::onHead(int status, const HttpHeaders &headers)
{
    m_status = status;
    for (const auto &[name, value] : headers) {
        const auto key = toLowerCase(name);
        if (key == "x-verdict") {
            m_headerVerdict = value;
        } else if (key == "content-type") {
            m_isStream = value.starts_with("text/event-stream");
        }
    }
}

void LoadAnswer::onBody(std::string_view chunk, LoadClock::time_point now, LoadTotals &totals)
{
    if (!m_isStream) {
        return;
    }
    while (!chunk.empty()) {
        const auto end = chunk.find('\n');
        m_line += chunk.substr(0, end);
        if (end == std::string_view::npos) {
            return;
        }
        chunk.remove_prefix(end + 1);
        if (m_line.ends_with('\r')) {
            m_line.pop_back();
        }
        onLine(m_line, now, totals);
        m_line.clear();
    }
}

void LoadAnswer::onLine(std::string_view line, LoadClock::time_point now, LoadTotals &totals)
{
    if (line.empty()) {
        onEvent(now, totals);
        m_eventName.clear();
        m_eventId.clear();
        m_eventData.clear();
        return;
    }
    const auto colon = line.find(':');
    const auto field = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (field == "event") {
        m_eventName = value;
    } else if (field == "id") {
        m_eventId = value;
    } else if (field == "data") {
        m_eventData = value;
    }
}

void LoadAnswer::onEvent(LoadClock::time_point now, LoadTotals &totals)
{
    if (m_eventName == "verdict") {
        m_eventVerdict = verdictOfEvent(m_eventData);
    } else if (m_eventData == "[DONE]") {
        m_doneReceived = true;
    } else if (!m_eventId.empty()) {
        onToken(now, totals);
    }
}

void LoadAnswer::onToken(LoadClock::time_point now, LoadTotals &totals)
{
    if (m_eventId != std::to_string(m_nextOffset)) {
        ++totals.badOffsets;
    }
    if (m_nextOffset == 0) {
        totals.firstToken.record(now - m_scheduled);
    } else {
        totals.betweenTokens.record(now - m_lastToken);
    }
    ++m_nextOffset;
    ++totals.tokens;
    m_lastToken = now;
}

void LoadAnswer::onDone(const HttpClientResult &result, LoadClock::time_point now, LoadTotals &totals)
{
    const bool complete = result.complete && m_status / 100 == 2 && (!m_isStream || m_doneReceived);
    ++totals.statuses[m_status];
    ++totals.verdicts[static_cast<std::size_t>(verdict(result))];
    if (complete) {
        ++totals.complete;
        totals.total.record(now - m_scheduled);
    } else {
        totals.rejection.record(now - m_scheduled);
    }
}

Verdict LoadAnswer::verdict(const HttpClientResult &result) const
{
    if (!result.sent) {
        return Verdict::NotRun; // Without a connection no server can have run the request.
    }
    // The headers of a stream precede its outcome, so only its verdict event counts.
    return parseVerdict(m_isStream ? m_eventVerdict.value_or("") : m_headerVerdict);
}

} // namespace turmericline

#pragma once

#include "http_client.h"
#include "load_tool_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace turmericline {

/** Parses the response to one request as it arrives and measures latencies from the request's scheduled time. */
class LoadAnswer
{
public:
    explicit LoadAnswer(LoadClock::time_point scheduled);

    void onHead(int status, const HttpHeaders &headers);
    void onBody(std::string_view chunk, LoadClock::time_point now, LoadTotals &totals);
    void onDone(const HttpClientResult &result, LoadClock::time_point now, LoadTotals &totals);

private:
    void onLine(std::string_view line, LoadClock::time_point now, LoadTotals &totals);
    void onEvent(LoadClock::time_point now, LoadTotals &totals);
    void onToken(LoadClock::time_point now, LoadTotals &totals);
    Verdict verdict(const HttpClientResult &result) const;

    LoadClock::time_point m_scheduled;
    int m_status = 0;
    bool m_isStream = false;
    bool m_doneReceived = false;
    std::string m_headerVerdict;
    std::optional<std::string> m_eventVerdict;
    std::string m_line; ///< Last line as far as received.
    std::string m_eventName;
    std::string m_eventId;
    std::string m_eventData;
    std::uint64_t m_nextOffset = 0;
    LoadClock::time_point m_lastToken;
};

} // namespace turmericline

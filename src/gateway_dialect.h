#pragma once

#include "backend_table.h"
#include "http_decoder.h"
#include "routing_type.h"
#include "verdict_type.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** What a request's header fields say to the gateway. */
struct CallerFields
{
    std::string requestId; ///< Of one attempt of the caller; empty if it sent none.
    std::string key; ///< Empty if it sent none.
    std::optional<std::chrono::milliseconds> deadline; ///< Time that the caller will wait.
    std::optional<std::uint64_t> lastEventId; ///< Of a stream that the caller resumes.
};

/** What the gateway adds to a request for a backend server. */
struct ForwardFields
{
    std::string expectedServer;
    std::string workspace; ///< Empty on routes without a key.
    std::chrono::milliseconds deadline{};
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::optional<std::uint64_t> lastEventId; ///< Of a stream that the gateway resumes.
};

/** What the head of an answer says to the gateway. */
struct AnswerFields
{
    std::string requestId; ///< Empty if the answer names none.
    bool isSigned = false; ///< A backend server vouches for it.
    bool isNotRun = false; ///< The request has not run and will not.
    bool isMisdirected = false; ///< Another server has the address.
    bool isGroupFault = false; ///< Another rank of the server's group is at fault.
    std::optional<BackendLoad> load;
    std::optional<std::chrono::milliseconds> keepAlive; ///< Time for which the server keeps the idle connection.
};

/** A change of an item in the store, or its present state. */
struct StoreItem
{
    std::string key;
    std::string value; ///< Decoded bytes.
    bool isDeleted = false;
};

/** Answer to a read or a watch of the store. */
struct StorePage
{
    std::vector<StoreItem> items;
    std::uint64_t revision = 0; ///< Of the store at the time of the answer.
    bool isTruncated = false; ///< More items follow after the last one.
};

/** Names and formats that callers, backend servers and the store of one platform speak. */
struct GatewayDialect
{
    std::function<CallerFields(const HttpHead &request)> readCaller;
    /** Header fields of @p request for a backend server: end-to-end ones and those in @p fields. */
    std::function<HttpHeaders(const HttpHead &request, const ForwardFields &fields)> forwardHeaders;
    std::function<AnswerFields(const HttpHead &answer)> readAnswer;

    std::string readyPath; ///< Path at which the platform's balancer asks whether callers may be sent here.
    std::string configKey; ///< Of the item that holds the configuration.
    std::string serverPrefix; ///< Of the items that announce backend servers.
    /** @p allowsStale: the answer may be seconds old, for a lower price. */
    std::function<std::string(std::string_view prefix, std::string_view afterKey, bool allowsStale)> rangeTarget;
    std::function<std::string(std::string_view prefix, std::uint64_t afterRevision, std::chrono::milliseconds wait)>
        watchTarget;
    std::function<Result<StorePage>(std::string_view body)> readPage;
    std::function<Result<RoutingConfig>(std::string_view text)> readConfig;
    std::function<Result<BackendRecord>(std::string_view key, std::string_view value)> readServer;
};

/** Seconds with a fraction, as Retry-After carries them. */
std::string retryAfterText(std::chrono::milliseconds time);

/** Header fields that concern one connection only and are never passed on. */
bool isHopByHop(std::string_view header);

} // namespace turmericline

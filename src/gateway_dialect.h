#pragma once

#include "backend_table.h"
#include "http_decoder.h"
#include "routing_type.h"
#include "store_era.h"
#include "verdict_type.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** Header fields of a request that the gateway evaluates. */
struct CallerFields
{
    std::string requestId; ///< Identifies one attempt of the caller; empty if the field is missing.
    std::string key; ///< API key; empty if the field is missing.
    std::optional<std::chrono::milliseconds> deadline; ///< Time from arrival for which the caller waits.
    std::optional<std::uint64_t> lastEventId; ///< Last event received, if the caller resumes a stream.
    std::uint64_t promptTokens = 0; ///< 0 if not known.
    std::optional<std::uint64_t> maxAnswerTokens;
    std::optional<std::uint64_t> answerTokens; ///< The caller's estimate of the length of the answer.
    std::vector<std::uint64_t> sharedParts; ///< Ids of the parts of the prompt that other requests may share, in order.
};

/** Fields that the gateway adds to a request for a backend server. */
struct ForwardFields
{
    std::string expectedServer;
    std::string workspace; ///< Empty on routes that need no API key.
    std::chrono::milliseconds deadline{};
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::optional<std::uint64_t> lastEventId; ///< Last event forwarded, if the gateway resumes a stream.
};

/** Header fields of a response that the gateway evaluates. */
struct ResponseFields
{
    std::string requestId; ///< Empty if the response contains none.
    bool isSigned = false; ///< Has the signature of a backend server.
    bool isNotRun = false; ///< The server guarantees that the request has not run and will not run.
    bool isMisdirected = false; ///< The address now belongs to a server other than the expected one.
    bool isGroupFault = false; ///< Another rank of the server's group failed.
    bool isLeaving = false; ///< The server that answers takes no new requests soon.
    std::optional<std::chrono::milliseconds> retryAfter; ///< The server wants no requests of this gateway for so long.
    std::optional<double> requestLimit; ///< Requests a second that the server takes from all gateways together.
    std::string serverId; ///< Only in answers to health checks: the server that answers.
    bool hasInvalidLimit = false; ///< The server states a limit that is not a number of requests.
    std::optional<std::chrono::milliseconds> coldLeft; ///< How much longer the server stays cold.
    std::optional<BackendLoad> load;
    std::optional<std::chrono::milliseconds> keepAlive; ///< Time after which the server closes an idle connection.
};

/** Current state of an item in the store, or a change of it. */
struct StoreItem
{
    std::string key;
    std::string value; ///< Decoded from the encoding of the response.
    bool isDeleted = false;
};

/** Response of the store to a range read or a watch. */
struct StorePage
{
    std::vector<StoreItem> items;
    std::uint64_t revision = 0; ///< Revision of the store that the response reflects.
    bool isTruncated = false; ///< There are more items after the last one of this page.
};

/** Protocol names and formats of one platform: those of its callers, its backend servers and its store. */
struct GatewayDialect
{
    std::function<CallerFields(const HttpHead &request)> readCallerFields;
    /** Header fields to send to a backend server: the end-to-end ones of @p request, and @p fields. */
    std::function<HttpHeaders(const HttpHead &request, const ForwardFields &fields)> forwardHeaders;
    std::function<ResponseFields(const HttpHead &answer)> readResponseFields;

    std::string readyPath; ///< Path of the readiness check that the platform's balancer uses.
    std::string configKey; ///< Key of the store item that contains the configuration.
    std::string operatorPrefix; ///< Key prefix of all that the operators write: the configuration and the evacuations.
    std::string serverPrefix; ///< Key prefix of the store items with which backend servers announce themselves.
    /** @p allowsStale accepts a response that is seconds old, which costs less. */
    std::function<std::string(std::string_view prefix, std::string_view afterKey, bool allowsStale)> rangeTarget;
    std::function<std::string(std::string_view prefix, std::uint64_t afterRevision, std::chrono::milliseconds wait)>
        watchTarget;
    std::function<Result<StorePage>(std::string_view body)> readPage;
    /** Era that an answer of the store states, if any; fails if it is malformed. */
    std::function<Result<std::optional<StoreEra>>(const HttpHeaders &headers)> readEra;
    std::function<Result<RoutingConfig>(std::string_view text)> readConfig;
    std::function<Result<BackendRecord>(std::string_view key, std::string_view value)> readServer;
    /** Failure domain that the item with this key evacuates; nothing if it is another item. */
    std::function<std::optional<std::string>(std::string_view key)> readEvacuation;
};

/** Formats @p time as seconds with three decimals, for the Retry-After header field. */
std::string retryAfterText(std::chrono::milliseconds time);

/** Whether a header field applies to a single connection only and must not be forwarded. */
bool isHopByHop(std::string_view header);

} // namespace turmericline

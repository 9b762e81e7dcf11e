#include "gossip_codec.h"

#include "address.h"
#include "message_pack.h"
#include "part_suspect_codec.h"
#include "server_limit_codec.h"
#include "suspect_codec.h"

namespace turmericline {

namespace {

using Json = nlohmann::json;

/** Must be raised when the meaning of the message changes; messages with other numbers are rejected. */
constexpr int formatNumber = 1;
constexpr std::size_t maxPeersPerMessage = 128;
constexpr std::size_t maxReportsPerMessage = 512;
constexpr std::size_t maxPartsPerMessage = 128;
constexpr std::size_t maxLimitsPerMessage = 512;

PeerAge decodePeer(const Json &json)
{
    PeerAge peer{json.at(0).get<std::string>(), std::chrono::milliseconds(json.at(1).get<std::uint32_t>()), {}};
    if (json.size() > 2) { // Earlier versions do not send the failure domain.
        peer.domain = json.at(2).get<std::string>();
    }
    if (!parseEndpoint(peer.address)) {
        peer.address.clear();
    }
    return peer;
}

Result<GossipMessage> decodeFields(const Json &json)
{
    if (json.at("format").get<int>() != formatNumber) {
        return Result<GossipMessage>::fail("unknown format number");
    }
    GossipMessage message;
    message.sender = json.at("sender").get<std::string>();
    if (!parseEndpoint(message.sender)) {
        return Result<GossipMessage>::fail("the sender's address is malformed");
    }
    message.senderDomain = json.value("domain", "");
    message.wantsAllReports = json.at("wants_all").get<bool>();
    const auto &peers = json.at("peers");
    const auto &reports = json.at("reports");
    if (peers.size() > maxPeersPerMessage || reports.size() > maxReportsPerMessage) {
        return Result<GossipMessage>::fail("too many entries");
    }
    for (const auto &it : peers) {
        auto peer = decodePeer(it);
        if (peer.address.empty()) {
            return Result<GossipMessage>::fail("the address of a peer is malformed");
        }
        message.peers.push_back(std::move(peer));
    }
    for (const auto &it : reports) {
        // A report that is not understood does not keep the others from being used.
        if (auto report = decodeReport(it)) {
            message.reports.push_back(std::move(*report));
        }
    }
    // Earlier versions do not send parts of prompts.
    const auto parts = json.value("parts", Json::array());
    if (parts.size() > maxPartsPerMessage) {
        return Result<GossipMessage>::fail("too many entries");
    }
    for (const auto &it : parts) {
        if (auto report = decodePartReport(it)) {
            message.parts.push_back(std::move(*report));
        }
    }
    // Nor limits of servers.
    const auto limits = json.value("limits", Json::array());
    if (limits.size() > maxLimitsPerMessage) {
        return Result<GossipMessage>::fail("too many entries");
    }
    for (const auto &it : limits) {
        if (auto report = decodeLimitReport(it)) {
            message.limits.push_back(std::move(*report));
        }
    }
    return Result<GossipMessage>::ok(std::move(message));
}

} // namespace

std::string encodeGossip(const GossipMessage &message)
{
    auto peers = Json::array();
    for (const auto &it : message.peers) {
        peers.push_back(Json::array({it.address, it.age.count(), it.domain}));
    }
    auto reports = Json::array();
    for (const auto &it : message.reports) {
        reports.push_back(encodeReport(it));
    }
    auto parts = Json::array();
    for (const auto &it : message.parts) {
        parts.push_back(encodePartReport(it));
    }
    auto limits = Json::array();
    for (const auto &it : message.limits) {
        limits.push_back(encodeLimitReport(it));
    }
    const auto bytes = Json::to_msgpack({{"format", formatNumber},
                                         {"sender", message.sender},
                                         {"domain", message.senderDomain},
                                         {"wants_all", message.wantsAllReports},
                                         {"peers", std::move(peers)},
                                         {"reports", std::move(reports)},
                                         {"parts", std::move(parts)},
                                         {"limits", std::move(limits)}});
    return {bytes.begin(), bytes.end()};
}

Result<GossipMessage> decodeGossip(std::string_view bytes)
{
    try {
        return decodeFields(decodeMessagePack(bytes));
    } catch (const Json::exception &error) {
        return Result<GossipMessage>::fail(error.what());
    }
}

} // namespace turmericline

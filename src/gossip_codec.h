#pragma once

#include "part_suspect_type.h"
#include "peer_list.h"
#include "server_limit_type.h"
#include "suspect_type.h"
#include "verdict_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** Message between gateways, sent and answered in the same form. */
struct GossipMessage
{
    std::string sender; ///< "IP:PORT" at which the sender takes such messages.
    std::string senderDomain; ///< Empty if the sender does not state it.
    bool wantsAllReports = false; ///< The sender was out of contact, and may have missed any number of reports.
    std::vector<PeerAge> peers;
    std::vector<CrashReport> reports;
    std::vector<PartReport> parts;
    std::vector<LimitReport> limits;
};

/** Request target at which a gateway takes messages of other gateways. */
inline constexpr std::string_view gossipTarget = "/gossip";

/** Encodes as MessagePack with a format number. Decoding never throws. */
std::string encodeGossip(const GossipMessage &message);
/** Fails if the message is malformed or longer than any that encodeGossip() is used for. */
Result<GossipMessage> decodeGossip(std::string_view bytes);

} // namespace turmericline

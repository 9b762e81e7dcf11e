#pragma once

#include "quota_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** Quota messages of one process to another, batched over workspaces. */
struct QuotaMessage
{
    EntryKey sender = 0;
    std::vector<LeaseRequest> leaseRequests;
    std::vector<LeaseGrant> leaseGrants;
    std::vector<ShareRequest> shareRequests;
    std::vector<ShareReply> shareReplies;
    std::vector<ShareProbe> shareProbes;
};

/** Encodes as MessagePack: [sender, lease requests, grants, share requests, replies, probes]; each row is an array. */
std::string encodeQuotaMessage(const QuotaMessage &message);

/** Returns nothing unless the message is well-formed and all amounts are finite. */
std::optional<QuotaMessage> decodeQuotaMessage(std::string_view bytes);

} // namespace turmericline

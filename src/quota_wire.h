#pragma once

#include "quota_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** What one process sends to another about quotas; one message carries many workspaces. */
struct QuotaMessage
{
    EntryKey sender = 0;
    std::vector<LeaseRequest> leaseRequests;
    std::vector<LeaseGrant> leaseGrants;
    std::vector<ShareRequest> shareRequests;
    std::vector<ShareReply> shareReplies;
    std::vector<ShareProbe> shareProbes;
};

/** Encodes as msgpack: [sender, lease requests, grants, share requests, replies, probes], each row an array. */
std::string encodeQuotaMessage(const QuotaMessage &message);

/** Returns nothing for anything but a well-formed message with finite amounts. */
std::optional<QuotaMessage> decodeQuotaMessage(std::string_view bytes);

} // namespace turmericline

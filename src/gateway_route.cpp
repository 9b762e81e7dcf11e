#include "gateway_route.h"

#include "suspect.h"

namespace turmericline {

namespace {

/**
 * Minimum Retry-After. The retry reaches another gateway that has access to the store, or this one after about the time
 * of a store call.
 */
constexpr std::chrono::milliseconds minRetryDelay{200};
constexpr std::chrono::milliseconds retryAfterJitter{300};

Reply refuseUnconfirmed(std::string reason, std::mt19937_64 &random)
{
    const auto extra = std::uniform_int_distribution<std::int64_t>(0, retryAfterJitter.count())(random);
    return {503, std::move(reason), minRetryDelay + std::chrono::milliseconds(extra)};
}

std::string_view hostOf(const HttpHead &head)
{
    const auto host = head.header("Host").value_or("");
    return host.substr(0, host.rfind(':'));
}

} // namespace

std::variant<ExchangeRequest, Reply> routeRequest(TimePoint now,
                                                  std::shared_ptr<const RoutingTable> table,
                                                  ConfigFreshness freshness,
                                                  const RegionMap &regions,
                                                  CallerFields caller,
                                                  HttpHead head,
                                                  std::string body,
                                                  std::mt19937_64 &random)
{
    if (freshness == ConfigFreshness::Missing) {
        return refuseUnconfirmed("no configuration is known yet", random);
    }
    const bool isRecent = freshness == ConfigFreshness::Recent;
    const std::string_view target(head.target);
    const auto *rule = table->findRule(hostOf(head), target.substr(0, target.find('?')));
    if (rule == nullptr) {
        return isRecent ? Reply{404, "no route matches", std::nullopt}
                        : refuseUnconfirmed("no route matches, and the configuration may be old", random);
    }
    const RoutingWorkspace *workspace = nullptr;
    if (table->needsKeys() && !rule->allowsAnonymous) {
        if (!isRecent) {
            return refuseUnconfirmed("the configuration may be older than a removal of the key", random);
        }
        workspace = table->findWorkspace(caller.key);
        if (workspace == nullptr) {
            return Reply{401, "unknown key", std::nullopt};
        }
    }
    ExchangeRequest request;
    request.caller = std::move(caller);
    request.head = std::move(head);
    request.body = std::move(body);
    request.rule = rule;
    request.service = RoutingTable::chooseService(*rule, std::uniform_real_distribution<double>()(random));
    request.workspace = workspace == nullptr ? "" : workspace->name;
    request.fingerprint
        = fingerprintOf(request.workspace, request.head.method + " " + request.head.target, request.body);
    for (const auto id : request.caller.sharedParts) {
        request.parts.push_back(partFingerprint(request.service, id));
    }
    request.priority = workspace == nullptr ? rule->priority : workspace->priority.value_or(rule->priority);
    request.allowedDomains = regions.allowedDomains(*rule, workspace);
    request.arrived = now;
    request.table = std::move(table);
    return request;
}

} // namespace turmericline

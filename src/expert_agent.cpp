#include "expert_agent.h"

#include "log.h"
#include "rank_codec.h"
#include "store_config.h"

#include <nlohmann/json.hpp>

#include <csignal>

namespace turmericline {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds tickPeriod{20};
/** Polling interval for the addresses of the group. Outdated ones are harmless: ranks refuse orders of old epochs. */
constexpr std::chrono::milliseconds serverPeriod{2'000};
/** Polling interval for the layout of the experts, which changes only with the model. */
constexpr std::chrono::milliseconds configPeriod{10'000};
constexpr std::chrono::milliseconds ownStatePeriod{1'000};
/** For calls to the rank, which is on the same machine and answers within milliseconds. */
constexpr std::chrono::milliseconds rankTimeout{100};
/** For calls to another agent about its own rank, to which it makes up to three calls. */
constexpr std::chrono::milliseconds peerTimeout{250};
/** For calls to another agent about a block of ranks, for which it calls the agents of the other ranks itself. */
constexpr std::chrono::milliseconds blockTimeout{300};
constexpr std::size_t maxPeerBytes = 1U << 20U;
constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusBadRequest = 400;
constexpr int statusBaseUnknown = 428;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;
const std::string ranksTarget = "/ranks";
const std::string orderTarget = "/rank/order";
const std::string messagePackType = "application/msgpack";

StoreFeedConfig feedConfig(std::string prefix, std::chrono::milliseconds period)
{
    StoreFeedConfig config;
    config.prefix = std::move(prefix);
    config.stalePollPeriod = period;
    return config;
}

ExpertBalancerConfig balancerConfig(const ExpertAgentSettings &settings)
{
    ExpertBalancerConfig config;
    config.demand.halfLife = settings.demandHalfLife;
    config.demand.shiftDistance = static_cast<double>(settings.demandShiftPercent) / 100;
    config.copiesPerSwitch = settings.copiesPerSwitch;
    config.goalSkew = static_cast<double>(settings.goalSkewPercent) / 100;
    config.smallestGain = static_cast<double>(settings.smallestGainPercent) / 100;
    return config;
}

/** Returns nothing if the rank may still execute the order. */
std::optional<OrderAnswer> orderAnswer(const std::optional<HttpReply> &reply)
{
    if (!reply || reply->status == statusTimeout || reply->status == statusUnavailable) {
        return std::nullopt;
    }
    if (reply->status == statusBaseUnknown) {
        return OrderAnswer::BaseUnknown;
    }
    const bool isAccepted = reply->status == statusOk || reply->status == statusAccepted;
    return isAccepted ? OrderAnswer::Accepted : OrderAnswer::Refused;
}

std::string_view ipOf(std::string_view address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

ExpertAgent::ExpertAgent(asio::io_context &io,
                         const ExpertAgentSettings &settings,
                         GatewayDialect dialect,
                         RankDialect ranks)
    : m_io(io)
    , m_settings(settings)
    , m_dialect(std::move(dialect))
    , m_rankDialect(std::move(ranks))
    , m_balancerConfig(balancerConfig(settings))
    , m_ip(ipOf(settings.peer))
    , m_peerPort(parseEndpoint(settings.peer)->port())
    , m_random(std::random_device()())
    , m_servers(settings.domain)
    , m_registry(m_dialect, m_servers)
    , m_configReader(
          io,
          m_dialect,
          feedConfig(m_dialect.configKey, configPeriod),
          settings.store,
          [this](TimePoint, const StoreChange &change, std::chrono::milliseconds) {
              onConfig(change);
          },
          m_random)
    , m_serverReader(
          io,
          m_dialect,
          feedConfig(m_dialect.serverPrefix, serverPeriod),
          settings.store,
          [this](TimePoint now, const StoreChange &change, std::chrono::milliseconds outage) {
              m_registry.apply(now, change, outage);
              updateGroup();
          },
          m_random)
    , m_caller(io)
    , m_peerServer(io,
                   peerServerConfig(requireEndpoint(settings.peer), maxPeerBytes),
                   [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                       onPeerRequest(request, responder);
                   })
    , m_timer(io)
    , m_signals(io, SIGTERM, SIGINT, SIGHUP)
{
    logEvent(LogLevel::Info, "started", {{"domain", settings.domain}, {"peer", settings.peer}});
    waitForSignal();
    tick();
}

void ExpertAgent::waitForSignal()
{
    m_signals.async_wait([this](const asio::error_code &ec, int number) {
        if (ec) {
            return;
        }
        if (number == SIGHUP) {
            reload();
            waitForSignal();
            return;
        }
        logEvent(LogLevel::Info, "stopped");
        m_io.stop();
    });
}

void ExpertAgent::setReload(std::function<SettingsParseResult<ExpertAgentSettings>()> read)
{
    m_readSettings = std::move(read);
}

void ExpertAgent::reload()
{
    if (!m_readSettings) {
        return;
    }
    const auto parse = m_readSettings();
    if (!parse.errors.empty()) {
        logEvent(LogLevel::Error,
                 "invalid settings, keeping the current ones",
                 {{"setting", parse.errors.front().name}, {"expected", parse.errors.front().allowed}});
        return;
    }
    const auto &next = parse.settings;
    if (next.peer != m_settings.peer || next.domain != m_settings.domain) {
        logEvent(LogLevel::Warning, "changes of listening addresses and the failure domain need a restart");
    }
    if (next.store != m_settings.store) {
        m_settings.store = next.store;
        m_configReader.setAddress(next.store);
        m_serverReader.setAddress(next.store);
    }
    if (const auto config = balancerConfig(next); config != m_balancerConfig) {
        m_balancerConfig = config;
        // The new coordinator resumes a switch in progress.
        m_coordinator.reset();
    }
    logEvent(LogLevel::Info, "settings reloaded", {{"store", m_settings.store}});
}

std::uint16_t ExpertAgent::port() const
{
    return m_peerServer.port();
}

void ExpertAgent::tick()
{
    const auto now = std::chrono::steady_clock::now();
    m_configReader.tick(now);
    m_serverReader.tick(now);
    m_registry.tick(now);
    m_caller.tick(now);
    coordinate(now);
    m_timer.expires_after(tickPeriod);
    m_timer.async_wait([this](const asio::error_code &ec) {
        if (!ec) {
            tick();
        }
    });
}

void ExpertAgent::onConfig(const StoreChange &change)
{
    if (auto config = newerConfig(m_dialect, change, m_table ? m_table->config().version : 0)) {
        m_table = std::make_unique<RoutingTable>(std::move(*config));
    }
}

/**
 * Announcements expire while their machine is suspended or the store is unavailable. The last ones are kept until they
 * are replaced, so that a switch in progress can continue. If an address belongs to a different rank by then, that rank
 * refuses the orders because of their epoch.
 */
void ExpertAgent::updateGroup()
{
    const auto ids = m_servers.ids();
    for (const auto &id : ids) {
        const auto &record = m_servers.find(id)->record;
        if (!record.group.empty() && ipOf(record.address) == m_ip) {
            if (m_ownServer && (m_ownServer->group != record.group || m_ownServer->service != record.service)) {
                m_agents.clear();
            }
            m_ownServer = record;
        }
    }
    for (const auto &id : ids) {
        const auto &record = m_servers.find(id)->record;
        if (m_ownServer && record.service == m_ownServer->service && record.group == m_ownServer->group) {
            m_agents[record.rank] = std::string(ipOf(record.address)) + ":" + std::to_string(m_peerPort);
        }
    }
}

/** Returns an empty string if the agent is unknown; calls to that address fail. */
std::string ExpertAgent::agentOf(std::uint32_t rank) const
{
    const auto it = m_agents.find(rank);
    return it == m_agents.end() ? "" : it->second;
}

void ExpertAgent::onPeerRequest(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.method == "GET" && request.path == ranksTarget) {
        const auto query = decodeRankQuery(request.query);
        if (!query) {
            logEvent(LogLevel::Warning, "rejected a query of another agent", {{"reason", query.reason}});
            responder->reply(statusBadRequest, {}, query.reason + "\n");
            return;
        }
        replyReport(*query.value, responder);
    } else if (request.method == "GET" && request.path == loadsTarget) {
        if (m_coordinator) {
            responder->reply(statusOk, {{"Content-Type", messagePackType}}, encodeGroupLoads(m_coordinator->loads()));
        } else {
            responder->reply(statusUnavailable, {}, "no group is coordinated here\n");
        }
    } else if (request.method == "POST" && request.path == orderTarget) {
        const auto order = decodeRankOrder(request.body);
        if (!order) {
            logEvent(LogLevel::Warning, "rejected an order of another agent", {{"reason", order.reason}});
            responder->reply(statusBadRequest, {}, order.reason + "\n");
            return;
        }
        forwardOrder(*order.value, responder);
    } else {
        responder->reply(404, {}, "not found\n");
    }
}

void ExpertAgent::replyReport(const RankQuery &query, const std::shared_ptr<HttpResponder> &responder)
{
    collectReport(query, [responder](const Result<GroupReport> &report) {
        if (report) {
            responder->reply(statusOk, {{"Content-Type", messagePackType}}, encodeGroupReport(*report.value));
        } else {
            responder->reply(statusUnavailable, {}, report.reason + "\n");
        }
    });
}

/** Queries the own rank and, for a block, the agents of the other ranks. Ranks that do not answer are left out. */
void ExpertAgent::collectReport(const RankQuery &query, ReportHandler handler)
{
    struct Collection
    {
        GroupReport report;
        std::uint32_t pending = 0;
        std::string reason;
        ReportHandler handler;
    };
    auto collection = std::make_shared<Collection>();
    collection->pending = query.count;
    collection->handler = std::move(handler);
    const auto add = [collection](Result<GroupReport> report) {
        if (report) {
            merge(collection->report, std::move(*report.value));
        } else {
            collection->reason = report.reason;
        }
        if (--collection->pending == 0) {
            collection->handler(collection->report.ranks.empty()
                                    ? Result<GroupReport>::fail(collection->reason)
                                    : Result<GroupReport>::ok(std::move(collection->report)));
        }
    };
    readReport(query, add);
    for (std::uint32_t n = 1; n < query.count; ++n) {
        auto single = query;
        single.first = query.first + n;
        single.count = 1;
        queryAgent(single, peerTimeout, add);
    }
}

void ExpertAgent::queryAgent(const RankQuery &query, std::chrono::milliseconds timeout, ReportHandler handler)
{
    m_caller.get(
        std::chrono::steady_clock::now(),
        agentOf(query.first),
        ranksTarget + "?" + encodeRankQuery(query),
        timeout,
        [handler = std::move(handler)](const std::optional<HttpReply> &reply, const std::string &reason) {
            if (!reply) {
                handler(Result<GroupReport>::fail(reason));
            } else if (reply->status != statusOk) {
                handler(Result<GroupReport>::fail("an agent answered with status " + std::to_string(reply->status)));
            } else {
                handler(decodeGroupReport(reply->body));
            }
        });
}

template<typename T>
void ExpertAgent::queryRank(const std::string &target,
                            const std::function<Result<T>(std::string_view)> &read,
                            std::function<void(Result<T>)> handler)
{
    if (!m_ownServer) {
        handler(Result<T>::fail("no backend server is known on this machine"));
        return;
    }
    m_caller.get(
        std::chrono::steady_clock::now(),
        m_ownServer->address,
        target,
        rankTimeout,
        [read, handler = std::move(handler)](const std::optional<HttpReply> &reply, const std::string &reason) {
            if (!reply) {
                handler(Result<T>::fail(reason));
            } else if (reply->status != statusOk) {
                handler(Result<T>::fail("the rank answered with status " + std::to_string(reply->status)));
            } else {
                handler(read(reply->body));
            }
        });
}

void ExpertAgent::readReport(const RankQuery &query, ReportHandler handler)
{
    queryRank<RankState>(m_rankDialect.stateTarget,
                         m_rankDialect.readState,
                         [this, query, handler = std::move(handler)](Result<RankState> state) {
                             if (!state) {
                                 handler(Result<GroupReport>::fail(state.reason));
                                 return;
                             }
                             GroupReport report;
                             report.ranks.push_back({std::move(*state.value), {}});
                             if (query.withChoices) {
                                 readChoices(std::move(report), query, handler);
                             } else {
                                 readHeld(std::move(report), query, handler);
                             }
                         });
}

void ExpertAgent::readChoices(GroupReport report, const RankQuery &query, ReportHandler handler)
{
    queryRank<RankCounts>(
        m_rankDialect.countsTarget,
        m_rankDialect.readCounts,
        [this, query, report = std::move(report), handler = std::move(handler)](Result<RankCounts> counts) mutable {
            if (!counts) {
                handler(Result<GroupReport>::fail(counts.reason));
                return;
            }
            report.choices = m_choiceCounter.choicesSinceLast(*counts.value);
            readHeld(std::move(report), query, handler);
        });
}

void ExpertAgent::readHeld(GroupReport report, const RankQuery &query, ReportHandler handler)
{
    if (!query.withHeld) {
        handler(Result<GroupReport>::ok(std::move(report)));
        return;
    }
    queryRank<HeldExperts>(
        m_rankDialect.heldTarget,
        m_rankDialect.readHeld,
        [report = std::move(report), handler = std::move(handler)](Result<HeldExperts> held) mutable {
            if (!held) {
                handler(Result<GroupReport>::fail(held.reason));
                return;
            }
            report.ranks.front().held = std::move(*held.value);
            handler(Result<GroupReport>::ok(std::move(report)));
        });
}

void ExpertAgent::forwardOrder(RankOrder order, const std::shared_ptr<HttpResponder> &responder)
{
    if (!m_ownServer) {
        responder->reply(statusUnavailable, {}, "no backend server is known on this machine\n");
        return;
    }
    if (order.kind == RankOrderKind::Prepare) {
        auto map = m_maps.resolveMap(order);
        if (!map) {
            responder->reply(statusBaseUnknown, {}, "the map that changes is not known\n");
            return;
        }
        order.map = std::move(*map);
    }
    m_caller.post(std::chrono::steady_clock::now(),
                  m_ownServer->address,
                  m_rankDialect.orderTarget,
                  "application/json",
                  m_rankDialect.orderBody(order),
                  rankTimeout,
                  [responder](const std::optional<HttpReply> &reply, const std::string &reason) {
                      if (reply) {
                          responder->reply(reply->status, {}, reply->body);
                      } else {
                          responder->reply(statusTimeout, {}, reason + "\n");
                      }
                  });
}

GroupLink ExpertAgent::makeGroupLink()
{
    GroupLink link;
    link.queryRanks = [this](const RankQuery &query, GroupLink::ReportHandler handler) {
        queryAgent(query,
                   query.count > 1 ? blockTimeout : peerTimeout,
                   [handler = std::move(handler)](Result<GroupReport> report) {
                       handler(std::move(report.value));
                   });
    };
    link.sendOrder = [this](std::uint32_t rank, const RankOrder &order, GroupLink::OrderHandler handler) {
        m_caller.post(std::chrono::steady_clock::now(),
                      agentOf(rank),
                      orderTarget,
                      messagePackType,
                      encodeRankOrder(order),
                      peerTimeout,
                      [handler = std::move(handler)](const std::optional<HttpReply> &reply, const std::string &) {
                          handler(orderAnswer(reply));
                      });
    };
    return link;
}

void ExpertAgent::refreshOwnState(TimePoint now)
{
    if (!m_ownServer || now < m_nextOwnStateAt) {
        return;
    }
    m_nextOwnStateAt = now + ownStatePeriod;
    queryRank<RankState>(m_rankDialect.stateTarget, m_rankDialect.readState, [this](Result<RankState> state) {
        m_ownState = std::move(state.value);
    });
}

/** Map 0 is computed from the layout of the experts and the size of the group. */
void ExpertAgent::updateInitialMap(const RoutingService *service)
{
    if (service != nullptr && service->experts && m_ownState) {
        m_maps.setInitialMap(service->experts->layers, service->experts->experts, m_ownState->size);
    }
}

void ExpertAgent::coordinate(TimePoint now)
{
    refreshOwnState(now);
    const auto *service = !m_ownServer || !m_table ? nullptr : m_table->findService(m_ownServer->service);
    updateInitialMap(service);
    const bool isCoordinator
        = service != nullptr && service->experts && m_ownState && m_ownState->rank == coordinatorRank;
    if (!isCoordinator) {
        // The coordinator is kept while its rank does not answer, so that a switch in progress is not lost.
        if (m_ownState && m_ownState->rank != coordinatorRank) {
            m_coordinator.reset();
        }
    } else if (!m_coordinator || m_coordinator->ranks() != m_ownState->size) {
        m_coordinator = std::make_unique<GroupCoordinator>(
            m_balancerConfig, *service->experts, m_ownState->size, makeGroupLink(), m_random);
    }
    if (m_coordinator) {
        m_coordinator->tick(now);
    }
}

} // namespace turmericline

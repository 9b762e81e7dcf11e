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
/** For calls to another agent about its own rank, to which it makes up to three calls. */
constexpr std::chrono::milliseconds peerTimeout{250};
/** For calls to another agent about a block of ranks, for which it calls the agents of the other ranks itself. */
constexpr std::chrono::milliseconds blockTimeout{300};
/** Messages are sent to all agents of a block at once, and again by the first of them to the others. */
constexpr std::size_t copiesInTransit = 2U;
constexpr std::size_t maxPeerBytes = 1U << 20U;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;
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

GroupCoordinatorConfig coordinatorConfig(const ExpertAgentSettings &settings)
{
    GroupCoordinatorConfig group;
    auto &config = group.balancer;
    config.demand.halfLife = settings.demandHalfLife;
    config.demand.shiftDistance = static_cast<double>(settings.demandShiftPercent) / 100;
    config.copiesPerSwitch = settings.copiesPerSwitch;
    config.goalSkew = static_cast<double>(settings.goalSkewPercent) / 100;
    config.smallestGain = static_cast<double>(settings.smallestGainPercent) / 100;
    group.link = LinkBudget(settings.linkMbps);
    return group;
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
    , m_coordinatorConfig(coordinatorConfig(settings))
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
    , m_rank(m_caller, std::move(ranks))
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
    if (const auto config = coordinatorConfig(next); config != m_coordinatorConfig) {
        m_coordinatorConfig = config;
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
    // First, so that an error in one tick does not end all later ones.
    scheduleTick();
    const auto now = std::chrono::steady_clock::now();
    m_configReader.tick(now);
    m_serverReader.tick(now);
    m_registry.tick(now);
    m_caller.tick(now);
    coordinate(now);
}

void ExpertAgent::scheduleTick()
{
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
            m_rank.setAddress(record.address);
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
    const bool isGet = request.method == "GET";
    const bool isPost = request.method == "POST";
    if ((isGet || isPost) && request.path == ranksTarget) {
        onQuery(request, responder);
    } else if (isGet && request.path == loadsTarget) {
        replyLoads(responder);
    } else if (isPost && request.path == orderTarget) {
        onOrder(request, responder);
    } else {
        responder->reply(404, {}, "not found\n");
    }
}

void ExpertAgent::onQuery(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    auto query = decodeRankQuery(request.query);
    if (!query) {
        logEvent(LogLevel::Warning, "rejected a query of another agent", {{"reason", query.reason}});
        responder->reply(statusBadRequest, {}, query.reason + "\n");
        return;
    }
    if (!request.body.empty()) {
        auto loads = decodeGroupLoads(request.body);
        if (!loads) {
            logEvent(LogLevel::Warning, "rejected the loads of a group", {{"reason", loads.reason}});
            responder->reply(statusBadRequest, {}, loads.reason + "\n");
            return;
        }
        m_loads.store(std::chrono::steady_clock::now(), *loads.value);
        query.value->loads = std::move(loads.value);
    }
    replyReport(*query.value, responder);
}

/** The coordinator knows the loads best; the other agents have them from its queries. */
void ExpertAgent::replyLoads(const std::shared_ptr<HttpResponder> &responder)
{
    const auto loads = m_coordinator ? m_coordinator->loads() : m_loads.get(std::chrono::steady_clock::now());
    if (loads) {
        responder->reply(statusOk, {{"Content-Type", messagePackType}}, encodeGroupLoads(*loads));
    } else {
        responder->reply(statusUnavailable, {}, "no recent loads of a group\n");
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
    m_rank.readReport(query, add);
    for (std::uint32_t n = 1; n < query.count; ++n) {
        auto single = query;
        single.first = query.first + n;
        single.count = 1;
        queryAgent(single, peerTimeout, add);
    }
}

/** Time to transfer messages of @p bytes to all agents of a block, or from them. */
std::chrono::milliseconds ExpertAgent::transferTime(std::size_t bytes) const
{
    const auto width = ranksPerBlock(m_ownState ? m_ownState->size : 1);
    return m_coordinatorConfig.link.transferTime(bytes * width * copiesInTransit);
}

/** Size of the counts in a report. */
std::size_t ExpertAgent::choiceBytes() const
{
    const auto *service = ownService();
    return service != nullptr && service->experts ? std::size_t{service->experts->layers} * service->experts->experts
                                                  : 0;
}

void ExpertAgent::queryAgent(const RankQuery &query, std::chrono::milliseconds timeout, ReportHandler handler)
{
    const auto now = std::chrono::steady_clock::now();
    const auto address = agentOf(query.first);
    const auto target = ranksTarget + "?" + encodeRankQuery(query);
    auto onReply = [handler = std::move(handler)](const std::optional<HttpReply> &reply, const std::string &reason) {
        handler(decodeReply(reply, reason, decodeGroupReport));
    };
    if (query.withChoices) {
        timeout += transferTime(choiceBytes());
    }
    if (query.loads) {
        m_caller.post(
            now, address, target, messagePackType, encodeGroupLoads(*query.loads), timeout, std::move(onReply));
    } else {
        m_caller.get(now, address, target, timeout, std::move(onReply));
    }
}

void ExpertAgent::onOrder(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    auto order = decodeRankOrder(request.body);
    auto ranks = decodeOrderRanks(request.query);
    if (!order || !ranks) {
        const auto &reason = order ? ranks.reason : order.reason;
        logEvent(LogLevel::Warning, "rejected an order of another agent", {{"reason", reason}});
        responder->reply(statusBadRequest, {}, reason + "\n");
        return;
    }
    collectAnswers({std::move(*ranks.value), std::move(*order.value)}, [responder](const OrderAnswers &answers) {
        responder->reply(statusOk, {{"Content-Type", messagePackType}}, encodeOrderAnswers(answers));
    });
}

/** Passes the order on to the other ranks first, then to the own rank, which is the first one. */
void ExpertAgent::collectAnswers(const GroupOrder &order, GroupLink::OrderHandler handler)
{
    struct Collection
    {
        OrderAnswers answers;
        std::size_t pending = 0;
        GroupLink::OrderHandler handler;
    };
    auto collection = std::make_shared<Collection>();
    collection->answers.resize(order.ranks.size());
    collection->pending = order.ranks.size();
    collection->handler = std::move(handler);
    const auto add = [collection](std::size_t n, std::optional<OrderAnswer> answer) {
        collection->answers[n] = answer;
        if (--collection->pending == 0) {
            collection->handler(std::move(collection->answers));
        }
    };
    for (std::size_t n = 1; n < order.ranks.size(); ++n) {
        sendOrder({{order.ranks[n]}, order.order}, [add, n](const OrderAnswers &answers) {
            add(n, answers.empty() ? std::nullopt : answers.front());
        });
    }
    m_rank.execute(order.order, [add](std::optional<OrderAnswer> answer) {
        add(0, answer);
    });
}

void ExpertAgent::sendOrder(const GroupOrder &order, GroupLink::OrderHandler handler)
{
    const auto body = encodeRankOrder(order.order);
    const auto timeout = (order.ranks.size() > 1 ? blockTimeout : peerTimeout) + transferTime(body.size());
    m_caller.post(std::chrono::steady_clock::now(),
                  agentOf(order.ranks.front()),
                  orderTarget + "?" + encodeOrderRanks(order.ranks),
                  messagePackType,
                  body,
                  timeout,
                  [handler = std::move(handler)](const std::optional<HttpReply> &reply, const std::string &reason) {
                      // Without answers, the order counts as one that may still be executed.
                      handler(decodeReply(reply, reason, decodeOrderAnswers).value.value_or(OrderAnswers{}));
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
    link.sendOrder = [this](const GroupOrder &order, GroupLink::OrderHandler handler) {
        sendOrder(order, std::move(handler));
    };
    return link;
}

void ExpertAgent::refreshOwnState(TimePoint now)
{
    if (!m_ownServer || now < m_nextOwnStateAt) {
        return;
    }
    m_nextOwnStateAt = now + ownStatePeriod;
    m_rank.readState([this](Result<RankState> state) {
        m_ownState = std::move(state.value);
    });
}

/** Map 0 is computed from the layout of the experts and the size of the group. */
void ExpertAgent::updateInitialMap(const RoutingService *service)
{
    if (service != nullptr && service->experts && m_ownState) {
        m_rank.setInitialMap(service->experts->layers, service->experts->experts, m_ownState->size);
    }
}

const RoutingService *ExpertAgent::ownService() const
{
    return m_ownServer && m_table ? m_table->findService(m_ownServer->service) : nullptr;
}

void ExpertAgent::coordinate(TimePoint now)
{
    refreshOwnState(now);
    const auto *service = ownService();
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
            m_coordinatorConfig, *service->experts, m_ownState->size, makeGroupLink(), m_random);
    }
    if (m_coordinator) {
        m_coordinator->tick(now);
    }
}

} // namespace turmericline

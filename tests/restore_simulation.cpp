#include "restore_simulation.h"

#include "fake_server.h"
#include "gateway_feed.h"
#include "store_config.h"

#include <fmt/format.h>

namespace turmericline {

using namespace std::chrono_literals;

namespace {

/** Longest time that an answer of the store travels. */
constexpr std::chrono::milliseconds maxTransit{300};

std::string_view queryOf(std::string_view target)
{
    return target.substr(target.find('?') + 1);
}

bool isWatch(const std::string &target)
{
    return target.find("kv-watch") != std::string::npos;
}

} // namespace

RestoreSimulation::RestoreSimulation(std::uint64_t seed, RestoreSafeguard missing)
    : m_missing(missing)
    , m_random(seed)
    , m_dialect(platformDialect())
{
    if (missing == RestoreSafeguard::Eras) {
        m_dialect.readEra = [](const HttpHeaders &) {
            return Result<std::optional<StoreEra>>::ok(std::nullopt);
        };
    }
    for (std::size_t i = 0; i < serverCount; ++i) {
        startServer(i);
    }
    changeConfig();
    restartGateway();
    advance(contactTime);
    saveCopy();
}

void RestoreSimulation::startServer(std::size_t i)
{
    auto &server = m_servers[i % serverCount];
    if (server.state == ServerState::Gone) {
        server = {ServerState::Ready, server.start + 1, std::nullopt, m_now};
    }
}

void RestoreSimulation::leave(std::size_t i)
{
    auto &server = m_servers[i % serverCount];
    if (server.state == ServerState::Ready) {
        server.state = ServerState::Leaving;
        server.storedAt.reset();
        server.writeAt = m_now;
    }
}

void RestoreSimulation::endServer(std::size_t i)
{
    auto &server = m_servers[i % serverCount];
    if (server.state != ServerState::Gone) {
        server.state = ServerState::Gone;
        server.storedAt.reset();
        server.writeAt = m_now;
    }
}

void RestoreSimulation::changeConfig()
{
    m_config = {m_config.version + 1, std::nullopt, m_now};
}

void RestoreSimulation::restartGateway()
{
    auto configFeed = configFeedConfig(m_dialect.configKey);
    if (m_missing == RestoreSafeguard::SettleTime) {
        configFeed.settleTime = 0ms;
    }
    m_gateway.reset(new Gateway{BackendTable("z"),
                                nullptr,
                                {StoreFeed(m_dialect, serverFeedConfig(m_dialect.serverPrefix)), std::nullopt},
                                {StoreFeed(m_dialect, configFeed), std::nullopt},
                                0,
                                m_now,
                                {},
                                {}});
    m_gateway->registry = std::make_unique<BackendRegistry>(m_dialect, m_gateway->table);
    m_gateway->servers.feed.setRereadSpread(rereadSpread(1));
    m_gateway->config.feed.setRereadSpread(rereadSpread(1));
}

void RestoreSimulation::dropHistory()
{
    m_store.dropHistory();
}

void RestoreSimulation::saveCopy()
{
    if (!m_awayUntil) {
        m_copy = m_store;
    }
}

void RestoreSimulation::restore(std::chrono::milliseconds time, bool isSilent, bool keepsWatches)
{
    if (!m_awayUntil) {
        m_awayUntil = m_now + time;
        m_isSilent = isSilent;
        m_keepsWatches = keepsWatches;
        m_earlier = m_store;
    }
}

void RestoreSimulation::answerFromEarlierEra()
{
    if (m_earlier && !m_awayUntil && m_earlier->era() < m_store.era() && m_gateway->servers.call) {
        receive(m_gateway->servers, m_earlier->range(m_dialect.serverPrefix));
    }
}

void RestoreSimulation::advance(std::chrono::milliseconds time)
{
    const auto end = m_now + time;
    while (m_now < end && m_violation.empty()) {
        m_now += step;
        tick();
    }
}

std::string RestoreSimulation::keyOf(std::size_t i)
{
    return "servers/s" + std::to_string(i);
}

std::string RestoreSimulation::announcement(const Server &server)
{
    return fmt::format(R"({{"service":"s","address":"10.0.0.1:80","zone":"z","state":"{}","born":{}}})",
                       server.state == ServerState::Leaving ? "draining" : "ready",
                       server.start);
}

void RestoreSimulation::tick()
{
    const bool isBack = m_awayUntil && m_now >= *m_awayUntil;
    if (isBack) {
        comeBack();
    }
    if (!m_awayUntil) {
        writeServers();
        writeConfig();
        writeOthers(isBack ? randomInt(0, 60) : randomInt(0, 1));
    }
    if (m_missing != RestoreSafeguard::SharedEras) {
        shareEra(m_gateway->servers, m_gateway->config);
        shareEra(m_gateway->config, m_gateway->servers);
    }
    run(m_gateway->servers);
    run(m_gateway->config);
    m_gateway->registry->tick(m_now);
    rememberLeft();
    checkServers();
    checkConfig();
}

void RestoreSimulation::comeBack()
{
    ++restores;
    m_store.restore(m_copy);
    m_awayUntil.reset();
    m_backAt = m_now;
    const auto writeAt = [this] {
        return randomInt(0, 1) == 0 ? m_now : m_now + std::chrono::milliseconds(randomInt(0, rewriteTime.count()));
    };
    for (std::size_t i = 0; i < serverCount; ++i) {
        auto &server = m_servers[i];
        const auto stored = m_store.value(keyOf(i));
        const bool isStored = server.state == ServerState::Gone ? !stored : stored == announcement(server);
        server.storedAt = isStored ? std::optional(m_now) : std::nullopt;
        server.writeAt = writeAt();
    }
    m_config.writeAt = writeAt();
    for (auto *reader : {&m_gateway->servers, &m_gateway->config}) {
        if (reader->call && !m_keepsWatches) {
            reader->call.reset();
            reader->feed.onFailure(m_now, "the connection was closed", m_random);
        }
    }
}

void RestoreSimulation::writeOthers(int n)
{
    for (int i = 0; i < n; ++i) {
        m_store.put("other/x", std::to_string(i));
    }
}

void RestoreSimulation::writeServers()
{
    for (std::size_t i = 0; i < serverCount; ++i) {
        auto &server = m_servers[i];
        if (server.storedAt || m_now < server.writeAt) {
            continue;
        }
        if (server.state == ServerState::Gone) {
            m_store.remove(keyOf(i));
        } else {
            m_store.put(keyOf(i), announcement(server));
        }
        server.storedAt = m_now;
    }
}

void RestoreSimulation::writeConfig()
{
    const auto text = fmt::format(R"({{"version":{}}})", m_config.version);
    if (m_store.value(m_dialect.configKey) == text || m_now < m_config.writeAt) {
        return;
    }
    m_store.put(m_dialect.configKey, text);
    if (!m_config.acknowledgedAt) {
        m_config.acknowledgedAt = m_now;
        m_removals.push_back({m_config.version, m_now});
    }
}

void RestoreSimulation::shareEra(const Reader &from, Reader &to)
{
    if (to.feed.onKnownEra(m_now, from.feed.era(), m_random)) {
        to.call.reset();
    }
}

void RestoreSimulation::run(Reader &reader)
{
    if (reader.call) {
        if (!reader.call->reply) {
            reader.call->reply = answerOf(*reader.call);
            reader.call->arrivesAt = m_now + std::chrono::milliseconds(randomInt(0, maxTransit.count()));
        }
        const bool isCut = m_awayUntil && !m_isSilent;
        if (reader.call->reply && m_now >= reader.call->arrivesAt && !isCut) {
            receive(reader, *std::exchange(reader.call->reply, std::nullopt));
        } else if (m_now >= reader.call->timeoutAt || isCut) {
            reader.call.reset();
            reader.feed.onFailure(m_now, "no answer", m_random);
        }
    }
    if (!reader.call) {
        if (const auto call = reader.feed.takeCall(m_now, bootNow())) {
            const auto wait = fakes::queryNumber(queryOf(call->target), "wait_ms").value_or(0);
            reader.call = Call{call->target, m_now + call->timeout, m_now + std::chrono::milliseconds(wait), {}, {}};
        }
    }
}

std::optional<HttpReply> RestoreSimulation::answerOf(const Call &call) const
{
    if (m_awayUntil) {
        return std::nullopt;
    }
    const auto query = queryOf(call.target);
    const std::string prefix(*fakes::queryText(query, "prefix"));
    if (!isWatch(call.target)) {
        // Small pages, so that reads of several pages meet restores.
        return m_store.range(prefix, std::string(fakes::queryText(query, "after").value_or("")), 2);
    }
    return m_store.watch(prefix, *fakes::queryNumber(query, "after"), m_now >= call.waitUntil);
}

void RestoreSimulation::receive(Reader &reader, const HttpReply &reply)
{
    reader.call.reset();
    const bool isFirst = !reader.feed.era() && !reader.feed.failingSince();
    const auto outage = std::chrono::duration_cast<std::chrono::milliseconds>(
        reader.feed.failingSince() ? m_now - *reader.feed.failingSince() : TimePoint::duration{});
    const auto change = reader.feed.onAnswer(m_now, bootNow(), reply, m_random);
    if (!change) {
        return;
    }
    if (&reader == &m_gateway->servers) {
        applyServers(*change, outage);
        return;
    }
    // A gateway without an earlier answer, and without a sign that the store was away, takes a copy for the current state;
    // docs/platform.md names this.
    if (isFirst && restores > 0 && m_now <= m_backAt + rewriteTime + maxTransit) {
        m_gateway->copyTrustedAt = m_now;
    }
    if (const auto config = newerConfig(m_dialect, *change, m_gateway->version)) {
        m_gateway->version = config->version;
    }
}

void RestoreSimulation::applyServers(const StoreChange &change, std::chrono::milliseconds outage)
{
    if (m_missing == RestoreSafeguard::KnownFacts) {
        // Without a memory, each announcement is the first one of its server.
        for (const auto &it : change.items) {
            m_gateway->table.remove(it.key.substr(m_dialect.serverPrefix.size()));
        }
        if (change.isSnapshot) {
            m_gateway->registry = std::make_unique<BackendRegistry>(m_dialect, m_gateway->table);
        }
    }
    keptFacts += m_gateway->registry->apply(m_now, change, outage);
}

void RestoreSimulation::rememberLeft()
{
    for (std::size_t i = 0; i < serverCount; ++i) {
        const auto id = "s" + std::to_string(i);
        const auto *known = m_gateway->table.find(id);
        if (known != nullptr && known->record.isLeaving) {
            m_gateway->left.emplace(id, known->record.startTimeMs);
        }
    }
}

bool RestoreSimulation::isUsed(std::size_t i) const
{
    const auto *known = m_gateway->table.find("s" + std::to_string(i));
    return known != nullptr && !known->record.isLeaving && known->record.startTimeMs == m_servers[i].start;
}

bool RestoreSimulation::isFresh() const
{
    return m_gateway->version != 0
           && configFreshness(m_gateway->config.feed.confirmedAt(), bootNow(), revokeTime) == ConfigFreshness::Recent;
}

void RestoreSimulation::checkServers()
{
    for (std::size_t i = 0; i < serverCount; ++i) {
        const auto &server = m_servers[i];
        const auto id = "s" + std::to_string(i);
        const bool used = isUsed(i);
        if (used && m_gateway->left.contains({id, server.start})) {
            m_violation = id + " is used again, although the gateway knew that it leaves";
        }
        if (!server.storedAt || m_awayUntil) {
            continue;
        }
        const auto since = std::max(*server.storedAt, std::max(m_backAt, m_gateway->startedAt) + contactTime);
        if (used && server.state != ServerState::Ready && m_now - since > drainTime) {
            m_violation = id + " is used, although the store has long held that it leaves or is gone";
        }
        if (!used && server.state == ServerState::Ready && m_now - since > useTime) {
            m_violation = id + " is not used, although it is announced as ready";
        }
    }
}

void RestoreSimulation::checkConfig()
{
    if (!isFresh()) {
        return;
    }
    for (const auto &[version, at] : m_removals) {
        if (m_gateway->version < version && at >= m_gateway->copyTrustedAt && m_now - at > revokeTime) {
            m_violation = fmt::format(
                "a key that version {} took away is accepted with version {}", version, m_gateway->version);
        }
    }
}

int RestoreSimulation::randomInt(std::int64_t low, std::int64_t high)
{
    return static_cast<int>(std::uniform_int_distribution<std::int64_t>(low, high)(m_random));
}

BootTime RestoreSimulation::bootNow() const
{
    return BootTime(m_now.time_since_epoch());
}

} // namespace turmericline

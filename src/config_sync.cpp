#include "config_sync.h"

#include "config_sync_codec.h"
#include "log.h"

#include <algorithm>

namespace turmericline {

namespace {

using nlohmann::json;

constexpr std::size_t maxMessageBytes = 4U << 20U;
// Keys of a gossip message, kept short because every entry sends two messages a second.
constexpr const char *announcementKey = "a";
constexpr const char *confirmationKey = "c"; ///< Milliseconds since the service confirmed the document.
constexpr const char *queryKey = "q";
constexpr const char *suspectsKey = "s"; ///< Crash reports.
/** Crash reports come in bursts. The delay lets one round of gossip carry a whole burst. */
constexpr std::chrono::milliseconds reportDelay{20};

/** Sends a request and collects its answer; @p done gets null if the exchange failed. */
void request(const std::shared_ptr<H2Client> &peer,
             std::string path,
             std::string body,
             std::function<void(const std::string *answer)> done)
{
    auto answer = std::make_shared<std::string>();
    auto id = std::make_shared<H2Client::StreamId>(0);
    *id = peer->start({"POST", std::move(path), {}, std::move(body)},
                      {{},
                       [answer, id, weak = std::weak_ptr(peer)](std::string_view chunk) {
                           if (const auto client = weak.lock()) {
                               client->consume(*id, chunk.size());
                           }
                           if (answer->size() + chunk.size() <= maxMessageBytes) {
                               answer->append(chunk);
                           }
                       },
                       [answer, done = std::move(done)](const H2Result &result) {
                           done(result.complete ? answer.get() : nullptr);
                       }});
}

} // namespace

ConfigSync::ConfigSync(asio::io_context &io, PeerTls &tls, ConfigSyncSettings settings, AppliedHandler onApplied)
    : m_io(io)
    , m_tls(tls)
    , m_settings(std::move(settings))
    , m_onApplied(std::move(onApplied))
    , m_watch({m_settings.name, m_settings.domain}, m_settings.watch, std::random_device{}(), Clock::now())
    , m_random(std::random_device{}())
    , m_timer(io)
    , m_reportTimer(io)
{
}

void ConfigSync::setAgentSource(AgentSource source)
{
    m_agents = std::move(source);
}

void ConfigSync::setSuspects(SuspectSync &suspects)
{
    m_suspects = &suspects;
    if (!m_settings.isEntry) {
        return;
    }
    suspects.setNewReportsHandler([this](const SuspectSync::Reports &, SuspectSync::Origin) {
        announceReports();
    });
    suspects.setNewPartsHandler([this](const std::vector<PartReport> &, SuspectSync::Origin) {
        announceReports();
    });
}

/** Starts a round of gossip soon, for all reports that become known until then. */
void ConfigSync::announceReports()
{
    if (m_isReportPending) {
        return;
    }
    m_isReportPending = true;
    m_reportTimer.expires_after(reportDelay);
    m_reportTimer.async_wait([this](asio::error_code ec) {
        m_isReportPending = false;
        if (!ec) {
            announceToPeers();
        }
    });
}

void ConfigSync::addSuspects(json &message) const
{
    if (m_suspects != nullptr) {
        if (auto reports = m_suspects->gossip(); !reports.empty()) {
            message[suspectsKey] = std::move(reports);
        }
    }
}

void ConfigSync::announceToPeers()
{
    for (const auto &it : gossipPeers()) {
        announce(it);
    }
}

void ConfigSync::start()
{
    round();
}

PlatformClient::Handlers
ConfigSync::platformHandlers(std::function<void(const std::vector<InstanceInfo> &instances)> onInstances)
{
    return {[this](const std::string &text) {
                offer(text);
            },
            [this](ReadResult result) {
                readEnded(result);
            },
            [this, onInstances = std::move(onInstances)](const std::vector<InstanceInfo> &instances) {
                setInstances(instances);
                onInstances(instances);
            },
            [this] {
                return newestVersion();
            },
            [this] {
                return nextRead();
            },
            [this] {
                return isWatcher();
            }};
}

void ConfigSync::setInstances(const std::vector<InstanceInfo> &instances)
{
    m_entries.clear();
    std::vector<WatchEntry> live;
    for (const auto &it : instances) {
        if (it.role == "entry" && !it.isLeaving) {
            m_entries.push_back(it);
            live.push_back({it.name, it.domain});
        }
    }
    std::ranges::sort(m_entries, {}, &InstanceInfo::name);
    // Agents read the service only while they get no announcements from entries, but then all of them may read.
    m_watch.setFleet(live, instances.size());
    std::erase_if(m_clients, [this](const auto &row) {
        const bool isSeed = std::ranges::find(m_settings.seeds, row.first) != m_settings.seeds.end();
        return !isSeed && std::ranges::find(m_entries, row.first, &InstanceInfo::address) == m_entries.end();
    });
}

std::shared_ptr<H2Client> ConfigSync::client(const std::string &address)
{
    auto &slot = m_clients[address];
    if (!slot) {
        slot = std::make_shared<H2Client>(m_io, m_tls, address);
    }
    return slot;
}

std::vector<std::shared_ptr<H2Client>> ConfigSync::gossipPeers()
{
    std::vector<const InstanceInfo *> ring;
    std::vector<const InstanceInfo *> others;
    for (const auto &it : m_entries) {
        if (it.domain != m_settings.domain) {
            others.push_back(&it);
        } else if (it.name != m_settings.name) {
            ring.push_back(&it);
        }
    }
    std::vector<std::shared_ptr<H2Client>> peers;
    const auto pick = [this](std::size_t n) {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    };
    if (!ring.empty()) {
        const auto next = std::ranges::find_if(ring, [this](const InstanceInfo *it) {
            return it->name > m_settings.name;
        });
        peers.push_back(client((next == ring.end() ? ring.front() : *next)->address));
    }
    if (!others.empty()) {
        // Random targets spread a document exponentially; neighbours that rotate in step would reach the same few.
        peers.push_back(client(others[pick(others.size())]->address));
    }
    if (peers.empty() && !m_settings.seeds.empty()) {
        peers.push_back(client(m_settings.seeds[pick(m_settings.seeds.size())]));
    }
    return peers;
}

void ConfigSync::round()
{
    if (m_settings.isEntry || !m_store.document()) {
        announceToPeers();
    }
    announceToAgents(true);
    m_timer.expires_after(m_settings.interval);
    m_timer.async_wait([this](asio::error_code ec) {
        if (!ec) {
            round();
        }
    });
}

void ConfigSync::announceToAgents(bool isGossipRound)
{
    if (!m_agents || !m_store.document()) {
        return;
    }
    for (const auto &it : m_agents(isGossipRound)) {
        announce(it);
    }
}

std::string ConfigSync::message() const
{
    json message{{announcementKey, encodeAnnouncement(m_store.announcement())},
                 {confirmationKey, m_watch.confirmationAge(Clock::now()).count()}};
    addSuspects(message);
    return toMessagePack(message);
}

void ConfigSync::onMessage(const json &message)
{
    if (m_suspects != nullptr && message.contains(suspectsKey)) {
        m_suspects->mergeReports(message[suspectsKey]);
    }
    const auto announcement = decodeAnnouncement(message.value(announcementKey, json()));
    const auto age = message.value(confirmationKey, json());
    if (!announcement || !age.is_number_integer() || age.get<std::int64_t>() < 0) {
        return;
    }
    // A confirmation counts only if it is about the document that is active here.
    if (announcement->activeDocument == m_store.announcement().activeDocument) {
        m_watch.confirmed(Clock::now(), std::chrono::milliseconds(age.get<std::int64_t>()));
    }
}

void ConfigSync::announce(const std::shared_ptr<H2Client> &peer)
{
    request(peer, "/gossip", message(), [this, peer](const std::string *answer) {
        if (answer != nullptr) {
            onAnswer(peer, *answer);
        }
    });
}

void ConfigSync::onAnswer(const std::shared_ptr<H2Client> &peer, const std::string &body)
{
    const auto message = fromMessagePack(body);
    const auto announcement
        = message.is_object() ? decodeAnnouncement(message.value(announcementKey, json())) : std::nullopt;
    if (!announcement) {
        return;
    }
    onMessage(message);
    if (message.contains(queryKey)) {
        if (const auto query = decodeQuery(message[queryKey])) {
            push(peer, *query);
        }
    }
    if (const auto query = m_store.query(*announcement, Clock::now())) {
        pull(peer, *query, *announcement);
    }
}

void ConfigSync::push(const std::shared_ptr<H2Client> &peer, const DocumentQuery &query)
{
    const auto update = m_store.encodeUpdate(query);
    if (!update) {
        return;
    }
    const auto body = toMessagePack({{announcementKey, encodeAnnouncement(m_store.announcement())}, {"u", *update}});
    request(peer, "/document", body, [](const std::string *) {});
}

void ConfigSync::pull(const std::shared_ptr<H2Client> &peer,
                      const DocumentQuery &query,
                      const DocumentAnnouncement &announcement)
{
    request(peer, "/query", toMessagePack(encodeQuery(query)), [this, announcement](const std::string *answer) {
        if (answer != nullptr) {
            processUpdate(*answer, announcement);
        }
    });
}

bool ConfigSync::handle(H2ServerStream &stream)
{
    const auto &path = stream.request().path;
    const auto body = fromMessagePack(stream.request().body);
    if (path == "/gossip") {
        json answer{{announcementKey, encodeAnnouncement(m_store.announcement())},
                    {confirmationKey, m_watch.confirmationAge(Clock::now()).count()}};
        const auto announcement
            = body.is_object() ? decodeAnnouncement(body.value(announcementKey, json())) : std::nullopt;
        if (announcement) {
            onMessage(body);
            if (const auto query = m_store.query(*announcement, Clock::now())) {
                answer[queryKey] = encodeQuery(*query);
            }
            addSuspects(answer);
        }
        stream.reply(announcement ? 200 : 400, {}, toMessagePack(answer));
        return true;
    }
    if (path == "/query") {
        const auto query = decodeQuery(body);
        stream.reply(query ? 200 : 400, {}, query ? m_store.encodeUpdate(*query).value_or("") : "");
        return true;
    }
    if (path == "/document") {
        const auto announcement
            = body.is_object() ? decodeAnnouncement(body.value(announcementKey, json())) : std::nullopt;
        const bool isValid = announcement && body.contains("u") && body["u"].is_string();
        stream.reply(isValid ? 200 : 400, {}, {});
        if (isValid) {
            processUpdate(body["u"].get<std::string>(), *announcement);
        }
        return true;
    }
    return false;
}

void ConfigSync::processUpdate(const std::string &update, const DocumentAnnouncement &announcement)
{
    const auto own = m_store.announcement();
    if (announcement.activeDocument <= own.activeDocument && announcement.newest <= own.newest) {
        return; // Another peer has delivered the document in the meantime.
    }
    afterApply(m_store.applyUpdate(update, announcement, Clock::now()), "peer");
}

void ConfigSync::offer(const std::string &text)
{
    afterApply(m_store.offer(text), "configuration service");
}

void ConfigSync::afterApply(const ApplyOutcome &outcome, std::string_view source)
{
    if (outcome.status == ApplyStatus::Refused || outcome.status == ApplyStatus::KeptForPeers) {
        logEvent(LogLevel::Warning,
                 "configuration document rejected",
                 {{"source", source},
                  {"kept_for_peers", outcome.status == ApplyStatus::KeptForPeers},
                  {"reason", outcome.reason}});
    }
    if (outcome.status != ApplyStatus::Applied) {
        return;
    }
    logEvent(LogLevel::Info,
             "configuration document applied",
             {{"version", m_store.activeDocument().ref.version}, {"source", source}});
    m_onApplied(m_store.document());
    announceToPeers();
    announceToAgents(false);
}

void ConfigSync::readEnded(ReadResult result)
{
    m_watch.readEnded(Clock::now(), result);
}

ConfigSync::Clock::time_point ConfigSync::nextRead() const
{
    return m_watch.nextRead();
}

bool ConfigSync::isWatcher() const
{
    return m_watch.isWatcher();
}

std::uint64_t ConfigSync::newestVersion() const
{
    return m_store.announcement().newest.version;
}

json ConfigSync::status() const
{
    const auto &counters = m_store.counters();
    return {{"version", m_store.activeDocument().ref.version},
            {"newest_version", newestVersion()},
            {"is_watcher", isWatcher()},
            {"confirmed_ms_ago", m_watch.confirmationAge(Clock::now()).count()},
            {"applied", counters.applied},
            {"refused", counters.refused},
            {"rejected", counters.rejected},
            {"conflicts", counters.conflicts}};
}

} // namespace turmericline

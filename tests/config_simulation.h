#pragma once

#include "config_store_func.h"
#include "config_watch.h"
#include "document_sample.h"

#include <algorithm>
#include <set>

namespace turmericline {

inline constexpr int simulatedDomains = 3;

enum class PublishKind {
    Valid,
    OwnersMove, ///< Valid; the owner of every key changes to a new server.
    Race, ///< Valid, but with the version of the previous document, as if two consoles published concurrently.
    RejectedByOne, ///< Valid, but instance 0 runs an older program that rejects it.
    RejectedByAll, ///< Invalid; written to the service without validation by the console.
};

enum class ServiceMode {
    Up,
    Down,
    Slow, ///< Returns the document of the time of the request, but seconds later.
    Older, ///< Returns earlier versions.
};

enum class MessageFault {
    Duplicate,
    Delay,
    Replay, ///< Delivers an earlier message again.
    CorruptByte,
    CorruptDigit, ///< The text stays valid JSON.
    AnnounceHigher, ///< The sender announces a higher version than it has.
    WrongVersion, ///< The version in the entry differs from that in the document.
};

/** Simulates the configuration service, up to 7 instances and the network between them, in rounds of one second. */
template<typename Checks>
class ConfigSimulation
{
public:
    using Store = BasicConfigStore<Checks>;
    using Time = typename Store::Clock::time_point;

    /** Only the first @p serviceDomains domains can ever reach the service; the others depend on their peers. */
    ConfigSimulation(int instances, int serviceDomains)
        : m_serviceDomains(serviceDomains)
    {
        setAllReachable();
        for (int i = 0; i < instances; ++i) {
            m_entries.push_back({fmt::format("e{}", i), fmt::format("d{}", i % simulatedDomains)});
        }
        for (int i = 0; i < instances; ++i) {
            m_instances.push_back(start(i));
        }
        publish(PublishKind::Valid, 0);
    }

    void publish(PublishKind kind, int salt)
    {
        m_version += kind == PublishKind::Race && m_version > 1 ? 0 : 1;
        m_owner += kind == PublishKind::OwnersMove ? 1 : 0;
        auto document = sampleDocument(m_version, {1, 2, 1, 2 + salt % 3});
        auto &confirm = document["services"][0];
        confirm["key_owners"][0] = fmt::format("confirm-{}", m_owner);
        document["backend_servers"][0]["name"] = confirm["key_owners"][0];
        document["plans"][0]["weight"] = 1 + salt + 100 * static_cast<int>(kind);
        if (kind == PublishKind::RejectedByOne) {
            document["plans"][0]["class"] = "urgent";
        }
        if (kind == PublishKind::RejectedByAll) {
            document["workspaces"][0]["plan"] = "nothing";
        } else {
            const auto digest = documentDigest(canonicalText(document));
            m_accepted.insert(digest);
            if (kind == PublishKind::RejectedByOne) {
                m_rejectedByOne.insert(digest);
            }
        }
        m_published.push_back(document.dump(2));
    }

    void setService(ServiceMode mode, int domain, bool isReachable)
    {
        m_mode = mode;
        m_reachable[domain] = isReachable && domain < m_serviceDomains;
    }

    void cut(int from, int to, bool isCut)
    {
        m_cut[from][to] = isCut && from != to;
    }

    /** Restarts an instance, which loses its documents. */
    void restart(int i)
    {
        auto &it = m_instances[i % m_instances.size()];
        it = start(i % static_cast<int>(m_instances.size()));
    }

    /** Applies @p fault to the next message that it fits. */
    void injectFault(MessageFault fault, unsigned salt)
    {
        m_fault = fault;
        m_salt = salt;
    }

    void heal()
    {
        m_mode = ServiceMode::Up;
        setAllReachable();
        m_cut = {};
        m_fault.reset();
    }

    /** Simulates one second: reads of the service, announcements, and delivery of the messages that are due. */
    void round()
    {
        m_now += std::chrono::seconds(1);
        ++m_round;
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            readService(i);
            announce(i, nextInDomain(i));
            announce(i, inOtherDomain(i));
        }
        // A bounded number of hops, because two instances may answer each other within a round.
        for (int hop = 0; hop < 4; ++hop) {
            deliver();
        }
    }

    /** Describes a violation, if any: an active document was replaced by a lower one, or was never accepted. */
    std::string violation()
    {
        for (auto &it : m_instances) {
            const auto &activeDocument = it.store->activeDocument();
            if (activeDocument.ref < it.highest) {
                return fmt::format("{}: version {} ({}) follows version {} ({})",
                                   it.name,
                                   activeDocument.ref.version,
                                   digestText(activeDocument.ref.digest).substr(0, 8),
                                   it.highest.version,
                                   digestText(it.highest.digest).substr(0, 8));
            }
            it.highest = activeDocument.ref;
            if (activeDocument.text && !m_accepted.contains(documentDigest(*activeDocument.text))) {
                return fmt::format("{}: the console never accepted what is in force", it.name);
            }
        }
        return {};
    }

    /** Returns the highest active document of all instances. */
    DocumentRef highest() const
    {
        DocumentRef best;
        for (const auto &it : m_instances) {
            best = std::max(best, it.store->activeDocument().ref);
        }
        return best;
    }

    /** Lists the instances where @p target is not active, except instance 0 if its program rejects it. */
    std::string missing(const DocumentRef &target) const
    {
        std::string names;
        for (const auto &it : m_instances) {
            const bool isRejected = &it == &m_instances[0] && m_rejectedByOne.contains(target.digest);
            if (it.store->activeDocument().ref != target && !isRejected) {
                names += fmt::format(" {}(version {})", it.name, it.store->activeDocument().ref.version);
            }
        }
        return names;
    }

    bool isActiveEverywhere(std::uint64_t version) const
    {
        return std::ranges::all_of(m_instances, [&](const auto &it) {
            return it.store->activeDocument().ref.version == version;
        });
    }

    std::uint64_t version() const
    {
        return m_version;
    }

private:
    struct Instance
    {
        std::string name;
        std::unique_ptr<Store> store;
        std::unique_ptr<ConfigWatchPolicy> watch;
        DocumentRef highest;
    };

    enum class MessageKind {
        Announcement,
        Query,
        Update,
        ServiceReply,
    };

    struct Message
    {
        MessageKind kind;
        std::size_t from;
        std::size_t to;
        int due;
        DocumentAnnouncement announcement; ///< Of the instance that provides the document.
        DocumentQuery query;
        std::string bytes;
        WatchSettings::Duration confirmationAge{0};
    };

    std::vector<Instance> m_instances;
    std::vector<WatchEntry> m_entries;
    std::vector<std::string> m_published;
    std::set<DocumentDigest> m_accepted;
    std::set<DocumentDigest> m_rejectedByOne;
    std::vector<Message> m_messages;
    std::vector<Message> m_history;
    int m_serviceDomains;
    std::array<bool, simulatedDomains> m_reachable{};
    std::array<std::array<bool, simulatedDomains>, simulatedDomains> m_cut{};
    ServiceMode m_mode = ServiceMode::Up;
    std::optional<MessageFault> m_fault;
    unsigned m_salt = 0;
    std::uint64_t m_version = 0;
    int m_owner = 10;
    int m_round = 0;
    Time m_now{std::chrono::hours(1)};

    void setAllReachable()
    {
        for (int i = 0; i < simulatedDomains; ++i) {
            m_reachable[i] = i < m_serviceDomains;
        }
    }

    /** Parser of the older program that instance 0 runs, which rejects one kind of document. */
    static DocumentParseResult parseOlder(const nlohmann::json &json)
    {
        auto parse = parseDocumentJson(json);
        if (parse.document && json["plans"][0]["class"] == "urgent") {
            return {std::nullopt, {{"$.plans[0].class", "not known to this program"}}};
        }
        return parse;
    }

    Instance start(int i)
    {
        auto store = i == 0 ? std::make_unique<Store>(ConfigStoreLimits{}, parseOlder) : std::make_unique<Store>();
        auto watch = std::make_unique<ConfigWatchPolicy>(m_entries[i], WatchSettings{}, i, m_now);
        watch->setFleet(m_entries, m_entries.size());
        return {m_entries[i].name, std::move(store), std::move(watch), {}};
    }

    static std::size_t domainOf(std::size_t i)
    {
        return i % simulatedDomains;
    }

    std::size_t nextInDomain(std::size_t i) const
    {
        return i + simulatedDomains < m_instances.size() ? i + simulatedDomains : domainOf(i);
    }

    std::size_t inOtherDomain(std::size_t i) const
    {
        const auto n = m_instances.size();
        const auto other = (i + m_round) % n;
        return domainOf(other) == domainOf(i) ? (other + 1) % n : other;
    }

    void readService(std::size_t i)
    {
        auto &it = m_instances[i];
        if (it.watch->nextRead() > m_now) {
            return;
        }
        if (m_mode == ServiceMode::Down || !m_reachable[domainOf(i)]) {
            return it.watch->readEnded(m_now, ReadResult::Failed);
        }
        const auto last = m_published.size() - 1;
        const auto older = m_salt % 3 < last ? last - m_salt % 3 : 0;
        Message message{MessageKind::ServiceReply, i, i, m_round, {}, {}, {}, {}};
        message.bytes = m_published[m_mode == ServiceMode::Older ? older : last];
        message.due += m_mode == ServiceMode::Slow ? 1 + static_cast<int>(m_salt % 4) : 0;
        m_messages.push_back(std::move(message));
    }

    void announce(std::size_t from, std::size_t to)
    {
        if (from != to) {
            Message message{MessageKind::Announcement, from, to, m_round, {}, {}, {}, {}};
            message.announcement = m_instances[from].store->announcement();
            message.confirmationAge = m_instances[from].watch->confirmationAge(m_now);
            send(std::move(message));
        }
    }

    void send(Message message)
    {
        if (m_cut[domainOf(message.from)][domainOf(message.to)]) {
            return;
        }
        if (m_fault && applyFault(message)) {
            m_fault.reset();
        }
        m_history.push_back(message);
        m_messages.push_back(std::move(message));
    }

    /** Returns false if the fault does not apply to this kind of message. */
    bool applyFault(Message &message)
    {
        switch (*m_fault) {
        case MessageFault::Duplicate:
            m_messages.push_back(message);
            return true;
        case MessageFault::Delay:
            message.due += 1 + static_cast<int>(m_salt % 5);
            return true;
        case MessageFault::Replay:
            if (!m_history.empty()) {
                m_messages.push_back(m_history[m_salt % m_history.size()]);
            }
            return true;
        case MessageFault::AnnounceHigher:
            message.announcement.newest.version += 1 + m_salt % 3;
            return message.kind == MessageKind::Announcement;
        default:
            return message.kind == MessageKind::Update && corrupt(message.bytes);
        }
    }

    bool corrupt(std::string &bytes)
    {
        const auto at = bytes.empty() ? 0 : m_salt % bytes.size();
        if (*m_fault == MessageFault::CorruptByte && !bytes.empty()) {
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << m_salt % 8));
            return true;
        }
        const auto digit = *m_fault == MessageFault::CorruptDigit ? bytes.find_first_of("123456789", at)
                                                                  : bytes.find("\"version\":") + 10;
        if (digit >= bytes.size()) {
            return false;
        }
        bytes[digit] = bytes[digit] == '9' ? '1' : static_cast<char>(bytes[digit] + 1);
        return true;
    }

    void deliver()
    {
        auto messages = std::exchange(m_messages, {});
        for (auto &it : messages) {
            if (it.due > m_round) {
                m_messages.push_back(std::move(it));
            } else {
                receive(it);
            }
        }
    }

    void receive(const Message &message)
    {
        auto &it = m_instances[message.to];
        Message answer{MessageKind::Query, message.to, message.from, m_round, message.announcement, {}, {}, {}};
        switch (message.kind) {
        case MessageKind::Announcement:
            it.watch->confirmed(m_now, message.confirmationAge);
            if (const auto query = it.store->query(message.announcement, m_now)) {
                answer.query = *query;
                send(std::move(answer));
            }
            break;
        case MessageKind::Query:
            answer.kind = MessageKind::Update;
            answer.bytes = it.store->encodeUpdate(message.query).value_or("");
            send(std::move(answer));
            break;
        case MessageKind::Update:
            it.store->applyUpdate(message.bytes, message.announcement, m_now);
            break;
        case MessageKind::ServiceReply:
            const auto version = it.store->offer(message.bytes).version;
            const bool isStale = version < it.store->activeDocument().ref.version;
            it.watch->readEnded(m_now, isStale ? ReadResult::Stale : ReadResult::Confirmed);
            break;
        }
    }
};

} // namespace turmericline

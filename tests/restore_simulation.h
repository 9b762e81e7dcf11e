#pragma once

#include "backend_registry.h"
#include "platform_dialect.h"
#include "store_model.h"

#include <array>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmericline {

/** What protects a gateway against a store that comes back from a copy. */
enum class RestoreSafeguard {
    None,
    Eras, ///< Revisions count only within their era.
    KnownFacts, ///< What is known of a server's run only goes forward.
    SharedEras, ///< A new era that one feed learns of voids the watches of the others.
    SettleTime, ///< The configuration is not confirmed before a new era has settled.
};

/**
 * Simulation of one gateway and a store that is away for a while and comes back from a copy. Servers and the operator write
 * what the copy lacks again within rewriteTime. The rules that are checked are those of the users' platform.
 */
class RestoreSimulation
{
public:
    static constexpr std::size_t serverCount = 4;
    static constexpr std::chrono::milliseconds step{50};
    static constexpr std::chrono::milliseconds rewriteTime{2'000};
    /** Servers keep serving for this long after the store has accepted that they leave. */
    static constexpr std::chrono::milliseconds drainTime{2'000};
    /** A gateway is in contact once it and the store have run for this long. */
    static constexpr std::chrono::milliseconds contactTime{3'000};
    static constexpr std::chrono::milliseconds revokeTime{5'000};
    /** A server that is gone in one era and announced in the next is held for 5 s; the rest is for the reads. */
    static constexpr std::chrono::milliseconds useTime{7'000};

    std::size_t restores = 0;
    std::size_t keptFacts = 0;

    /** @p missing is a safeguard that the gateway lacks. */
    RestoreSimulation(std::uint64_t seed, RestoreSafeguard missing);

    /** Starts server @p i, if it does not run, as a new run with the same id. */
    void startServer(std::size_t i);
    void leave(std::size_t i);
    /** Ends server @p i, whose announcement is removed. */
    void endServer(std::size_t i);
    /** The operator writes the next version, which takes a key away. */
    void changeConfig();
    void restartGateway();
    /** Has watches from earlier revisions fail. */
    void dropHistory();
    void saveCopy();
    /** The store is away for @p time, and comes back from the copy. Calls hang meanwhile, or fail. */
    void restore(std::chrono::milliseconds time, bool isSilent, bool keepsWatches);
    /** An answer of the era before the current one reaches the gateway instead of that to its current call. */
    void answerFromEarlierEra();
    void advance(std::chrono::milliseconds time);

    /** The first rule that was broken; empty if there is none. */
    const std::string &violation() const
    {
        return m_violation;
    }

private:
    enum class ServerState {
        Gone,
        Ready,
        Leaving,
    };

    struct Server
    {
        ServerState state = ServerState::Gone;
        std::int64_t start = 0;
        std::optional<TimePoint> storedAt; ///< Since when the store has held this state; nothing if it does not.
        TimePoint writeAt{}; ///< It does not write before this time.
    };

    struct Config
    {
        std::uint64_t version = 0;
        std::optional<TimePoint> acknowledgedAt; ///< First time; the store may have lost it since.
        TimePoint writeAt{};
    };

    /** A version that took a key away. */
    struct KeyRemoval
    {
        std::uint64_t version = 0;
        TimePoint acknowledgedAt{};
    };

    struct Call
    {
        std::string target;
        TimePoint timeoutAt{};
        TimePoint waitUntil{};
        std::optional<HttpReply> reply; ///< On its way.
        TimePoint arrivesAt{};
    };

    struct Reader
    {
        StoreFeed feed;
        std::optional<Call> call;
    };

    /** State of one life of the gateway. */
    struct Gateway
    {
        BackendTable table{"z"};
        std::unique_ptr<BackendRegistry> registry;
        Reader servers;
        Reader config;
        std::uint64_t version = 0; ///< Of the configuration that it applied.
        TimePoint startedAt{};
        TimePoint copyTrustedAt{}; ///< It cannot know of changes before this time that the copy lacks.
        std::set<std::pair<std::string, std::int64_t>> left; ///< Runs (id, start) that it knew to leave.
    };

    static std::string keyOf(std::size_t i);
    static std::string announcement(const Server &server);
    void tick();
    /** Writes @p n changes of items that the gateway does not read, which have revisions as well. */
    void writeOthers(int n);
    void writeServers();
    void writeConfig();
    void comeBack();
    void shareEra(const Reader &from, Reader &to);
    void run(Reader &reader);
    /** Answers the call of @p reader, if the store does so now. */
    std::optional<HttpReply> answerOf(const Call &call) const;
    void receive(Reader &reader, const HttpReply &reply);
    void applyServers(const StoreChange &change, std::chrono::milliseconds outage);
    void rememberLeft();
    bool isUsed(std::size_t i) const;
    bool isFresh() const;
    void checkServers();
    void checkConfig();
    int randomInt(std::int64_t low, std::int64_t high);
    BootTime bootNow() const;

    RestoreSafeguard m_missing;
    std::mt19937_64 m_random;
    GatewayDialect m_dialect;
    TimePoint m_now{std::chrono::seconds(1'000)};
    fakes::StoreModel m_store;
    fakes::StoreModel m_copy;
    std::optional<fakes::StoreModel> m_earlier; ///< The store just before it was away.
    std::optional<TimePoint> m_awayUntil;
    bool m_isSilent = false;
    bool m_keepsWatches = false;
    TimePoint m_backAt{}; ///< End of the last time that the store was away.
    std::array<Server, serverCount> m_servers;
    Config m_config;
    std::vector<KeyRemoval> m_removals;
    std::unique_ptr<Gateway> m_gateway;
    std::string m_violation;
};

} // namespace turmericline

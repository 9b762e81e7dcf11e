#include "expert_map.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <utility>

using namespace turmericline;

namespace {

/** Faulty policy: a rank switches as soon as it has prepared a map itself. */
struct OwnPreparationSwitch
{
    static bool isComplete(std::size_t reports, std::size_t ranks)
    {
        return reports == ranks;
    }

    static MapVersion next(const MapVersion & /*inUse*/, std::span<const MapVersion> reported, RankIndex self)
    {
        return reported[self];
    }
};

/** Faulty policy: a rank advances as soon as it has agreeing reports of a majority. */
struct MajoritySwitch
{
    static bool isComplete(std::size_t reports, std::size_t ranks)
    {
        return reports * 2 > ranks;
    }

    static MapVersion next(const MapVersion &inUse, std::span<const MapVersion> reported, RankIndex self)
    {
        return UnanimousSwitch::next(inUse, reported, self);
    }
};

/** Checks which map each rank used in each step of each generation, independently of how maps are chosen. */
class Oracle
{
public:
    void record(RankIndex rank, std::uint64_t generation, std::uint64_t step, const MapVersion &map)
    {
        const auto [used, isFirst] = m_maps.try_emplace({generation, step}, map);
        if (used->second != map) {
            fail("two maps in one step", rank, generation, step);
        }
        const auto [owner, isNew] = m_generationOfStep.try_emplace(step, generation);
        if (owner->second != generation) {
            fail("a step run in two generations", rank, generation, step);
        }
        if (map < m_newest) {
            fail("an older map after a newer one", rank, generation, step);
        }
        m_newest = std::max(m_newest, map);
        if (!m_ran.emplace(rank, step).second) {
            fail("a step run twice by one rank", rank, generation, step);
        }
    }

    void fail(const std::string &what, RankIndex rank, std::uint64_t generation, std::uint64_t step)
    {
        std::ostringstream text;
        text << what << ": rank " << rank << ", generation " << generation << ", step " << step;
        m_error = m_error.empty() ? text.str() : m_error;
    }

    /** The newest map used. The group resets it when no rank holds it any more. */
    MapVersion &newest()
    {
        return m_newest;
    }

    const std::string &error() const
    {
        return m_error;
    }

private:
    std::map<std::pair<std::uint64_t, std::uint64_t>, MapVersion> m_maps;
    std::map<std::uint64_t, std::uint64_t> m_generationOfStep;
    std::set<std::pair<RankIndex, std::uint64_t>> m_ran;
    MapVersion m_newest;
    std::string m_error;
};

/** Simulates a group of ranks, the network between them and two proposers, one of which may have an old token. */
template<typename Rule>
class Group
{
public:
    explicit Group(std::size_t ranks)
        : m_ranks(ranks)
    {
        for (RankIndex r = 0; r < ranks; ++r) {
            start(r);
        }
    }

    std::size_t size() const
    {
        return m_ranks.size();
    }

    const ExpertMapBase &rank(std::size_t r) const
    {
        return *m_ranks[r].state;
    }

    /** Starts a rank without state. Its clock may be behind only if another rank has formed. */
    void start(RankIndex r, bool isClockBehind = false)
    {
        const bool hasFormedPeer = std::any_of(m_ranks.begin(), m_ranks.end(), [&](const Member &it) {
            return it.state && it.state.get() != m_ranks[r].state.get() && it.state->isFormed();
        });
        // Exceeds all step numbers so far, as a wall clock in milliseconds does.
        m_clock += 1'000'000;
        const auto now = isClockBehind && hasFormedPeer ? ++m_slowClock : m_clock;
        m_ranks[r] = {std::make_unique<BasicExpertMap<Rule>>(r, m_ranks.size(), RankIncarnation{now, m_clock}),
                      {},
                      false,
                      m_ranks[r].isDisconnected,
                      0};
        const bool isNewestHeld = std::any_of(m_ranks.begin(), m_ranks.end(), [&](const Member &it) {
            return it.state && it.state->isHeld(m_oracle.newest());
        });
        if (!isNewestHeld) {
            m_oracle.newest() = {};
        }
        execute(r, m_ranks[r].state->onTick());
    }

    void setDisconnected(RankIndex r, bool isDisconnected)
    {
        m_ranks[r].isDisconnected = isDisconnected;
    }

    void finishStep(RankIndex r)
    {
        if (std::exchange(m_ranks[r].isRunning, false)) {
            execute(r, m_ranks[r].state->onStepDone());
        }
    }

    void finishLoad(RankIndex r, bool isLoaded)
    {
        if (const auto map = std::exchange(m_ranks[r].loading, std::nullopt)) {
            if (isLoaded) {
                execute(r, m_ranks[r].state->onLoaded(*map));
            } else {
                m_ranks[r].state->onLoadFailed(*map);
            }
        }
    }

    void tick(RankIndex r)
    {
        execute(r, m_ranks[r].state->onTick());
    }

    /** Proposer 0 or 1 sends an order. Without @p isRenewed it uses its previous token, which may be old by now. */
    PrepareOrder propose(std::size_t proposer, bool isRenewed, bool isLaterEpoch, unsigned toRanks)
    {
        auto &token = m_tokens[proposer];
        token = isRenewed ? ++m_lastToken : token;
        m_epoch += isLaterEpoch ? 1 : 0;
        const PrepareOrder order{token, {m_epoch, 1000 * m_epoch + token}};
        for (RankIndex r = 0; r < size(); ++r) {
            if ((toRanks >> r & 1U) != 0) {
                m_packets.push_back({r, r, order});
            }
        }
        return order;
    }

    void deliver(std::size_t index)
    {
        if (!m_packets.empty()) {
            const auto it = m_packets.begin() + static_cast<std::ptrdiff_t>(index % m_packets.size());
            const Packet packet = *it;
            m_packets.erase(it);
            receive(packet);
        }
    }

    void drop(std::size_t index)
    {
        if (!m_packets.empty()) {
            m_packets.erase(m_packets.begin() + static_cast<std::ptrdiff_t>(index % m_packets.size()));
        }
    }

    void duplicate(std::size_t index)
    {
        if (!m_packets.empty()) {
            m_packets.push_back(m_packets[index % m_packets.size()]);
        }
    }

    /** One round without faults: all messages in flight arrive, loads and steps end, and all ranks repeat messages. */
    void runRound()
    {
        for (auto packets = std::exchange(m_packets, {}); const auto &it : packets) {
            receive(it);
        }
        for (RankIndex r = 0; r < size(); ++r) {
            finishLoad(r, true);
            finishStep(r);
            tick(r);
        }
    }

    void reconnectAll()
    {
        for (auto &it : m_ranks) {
            it.isDisconnected = false;
        }
    }

    bool isFormed() const
    {
        return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const Member &it) {
            return it.state->isFormed() && it.state->generation() == m_ranks.front().state->generation();
        });
    }

    bool allHold(const MapVersion &map) const
    {
        return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const Member &it) {
            return it.state->isHeld(map);
        });
    }

    bool allUse(const MapVersion &map) const
    {
        return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const Member &it) {
            return it.state->inUse() == map;
        });
    }

    std::uint64_t lastStep() const
    {
        std::uint64_t last = 0;
        for (const auto &it : m_ranks) {
            last = std::max(last, it.state->step());
        }
        return last;
    }

    const std::string &error() const
    {
        return m_oracle.error();
    }

private:
    struct Member
    {
        std::unique_ptr<ExpertMapBase> state;
        std::optional<MapVersion> loading;
        bool isRunning = false;
        bool isDisconnected = false;
        std::uint64_t highestToken = 0; ///< Of the orders delivered to this incarnation.
    };

    struct Packet
    {
        RankIndex from = 0;
        RankIndex to = 0;
        std::variant<GroupMessage, PrepareOrder> content;
    };

    void receive(const Packet &packet)
    {
        auto &member = m_ranks[packet.to];
        if (member.isDisconnected || m_ranks[packet.from].isDisconnected) {
            return;
        }
        if (const auto *order = std::get_if<PrepareOrder>(&packet.content)) {
            const auto actions = member.state->onOrder(*order);
            if (actions.load && order->fencingToken < member.highestToken) {
                m_oracle.fail("an order with an old token", packet.to, 0, 0);
            }
            member.highestToken = std::max(member.highestToken, order->fencingToken);
            execute(packet.to, actions);
        } else {
            execute(packet.to, member.state->onMessage(std::get<GroupMessage>(packet.content)));
        }
    }

    void execute(RankIndex r, const GroupActions &actions)
    {
        auto &member = m_ranks[r];
        for (const auto &it : actions.messages) {
            for (RankIndex to = 0; to < size(); ++to) {
                // The bound keeps the test fast when messages are repeated for long without being delivered.
                if (to != r && it.to.value_or(to) == to && m_packets.size() < 400) {
                    m_packets.push_back({r, to, it.message});
                }
            }
        }
        member.loading = actions.load ? actions.load : member.loading;
        if (actions.runStep) {
            member.isRunning = true;
            m_oracle.record(r, member.state->generation(), *actions.runStep, member.state->inUse());
            if (!member.state->isHeld(member.state->inUse())) {
                m_oracle.fail("a map without its weights", r, member.state->generation(), *actions.runStep);
            }
        }
    }

    std::vector<Member> m_ranks;
    std::vector<Packet> m_packets;
    Oracle m_oracle;
    std::uint64_t m_clock = 0;
    std::uint64_t m_slowClock = 0;
    std::array<std::uint64_t, 2> m_tokens{};
    std::uint64_t m_lastToken = 0;
    std::uint64_t m_epoch = 0;
};

/** The rapidcheck model holds only the size of the group; the oracle checks the behaviour. */
struct GroupModel
{
    std::size_t ranks = 0;
};

enum class Operation {
    Deliver,
    Drop,
    Duplicate,
    FinishStep,
    FinishLoad,
    FailLoad,
    Tick,
    Propose,
    Restart,
    Disconnect,
    Reconnect
};

template<typename Rule>
struct GroupCommand : rc::state::Command<GroupModel, Group<Rule>>
{
    Operation operation = *rc::gen::weightedElement<Operation>({{30, Operation::Deliver},
                                                                {3, Operation::Drop},
                                                                {3, Operation::Duplicate},
                                                                {12, Operation::FinishStep},
                                                                {8, Operation::FinishLoad},
                                                                {1, Operation::FailLoad},
                                                                {4, Operation::Tick},
                                                                {3, Operation::Propose},
                                                                {1, Operation::Restart},
                                                                {1, Operation::Disconnect},
                                                                {2, Operation::Reconnect}});
    // Half of the deliveries take the oldest message; the others reorder messages.
    unsigned target = *rc::gen::weightedOneOf<unsigned>({{1, rc::gen::just(0U)}, {1, rc::gen::inRange(0U, 400U)}});
    unsigned rank = *rc::gen::inRange(0U, 60U);
    // False simulates a proposer that was suspended and continues with its old token.
    bool isRenewed = *rc::gen::arbitrary<bool>();
    bool isLaterEpoch = *rc::gen::weightedElement<bool>({{4, true}, {1, false}});
    unsigned toRanks = *rc::gen::weightedOneOf<unsigned>({{2, rc::gen::just(63U)}, {1, rc::gen::inRange(0U, 64U)}});

    void run(const GroupModel &model, Group<Rule> &group) const override
    {
        perform(group, static_cast<RankIndex>(rank % model.ranks));
        if (!group.error().empty()) {
            RC_FAIL(group.error());
        }
    }

    void perform(Group<Rule> &group, RankIndex r) const
    {
        switch (operation) {
        case Operation::Deliver:
            // Several per command, so that a run gets through many steps.
            for (int n = 0; n < 6; ++n) {
                group.deliver(target);
            }
            break;
        case Operation::Drop:
            group.drop(target);
            break;
        case Operation::Duplicate:
            group.duplicate(target);
            break;
        case Operation::FinishStep:
            group.finishStep(r);
            group.finishStep((r + 1) % static_cast<RankIndex>(group.size()));
            break;
        case Operation::FinishLoad:
            group.finishLoad(r, true);
            break;
        case Operation::FailLoad:
            group.finishLoad(r, false);
            break;
        case Operation::Tick:
            group.tick(r);
            break;
        case Operation::Propose:
            group.propose(rank / 6 % 2, isRenewed, isLaterEpoch, toRanks);
            break;
        case Operation::Restart:
            group.start(r, isRenewed);
            break;
        case Operation::Disconnect:
        case Operation::Reconnect:
            group.setDisconnected(r, operation == Operation::Disconnect);
            break;
        }
    }

    void show(std::ostream &os) const override
    {
        os << "operation " << static_cast<int>(operation) << " target " << target << " rank " << rank << " renewed "
           << isRenewed << " later " << isLaterEpoch << " to " << toRanks;
    }
};

template<typename Rule>
bool runUntil(Group<Rule> &group, const std::function<bool()> &isDone, int rounds = 60)
{
    for (int n = 0; n < rounds && !isDone(); ++n) {
        group.runRound();
    }
    return isDone();
}

/** After the faults have ended, the group must form, and a map that all have prepared must be in use within 2 steps. */
template<typename Rule>
void checkRecovery(Group<Rule> &group)
{
    group.reconnectAll();
    group.propose(0, true, true, 63);
    RC_ASSERT(runUntil(group, [&] {
        return group.isFormed();
    }));
    const auto order = group.propose(0, true, true, 63);
    RC_ASSERT(runUntil(group, [&] {
        return group.allHold(order.map);
    }));
    const auto prepared = group.lastStep();
    RC_ASSERT(runUntil(group, [&] {
        return group.allUse(order.map);
    }));
    RC_ASSERT(group.lastStep() <= prepared + 2);
    if (!group.error().empty()) {
        RC_FAIL(group.error());
    }
}

template<typename Rule>
bool holds(const std::string &name)
{
    return rc::check(name, [] {
        const GroupModel model{*rc::gen::inRange<std::size_t>(3, 7)};
        Group<Rule> group(model.ranks);
        if (*rc::gen::weightedElement<bool>({{4, true}, {1, false}})) {
            group.propose(0, true, true, 63);
            runUntil(group, [&] {
                return group.isFormed();
            });
        }
        const auto commands = *rc::gen::scale(
            4.0, rc::state::gen::commands(model, rc::state::gen::execOneOfWithArgs<GroupCommand<Rule>>()));
        rc::state::runAll(commands, model, group);
        checkRecovery(group);
    });
}

std::string setting(const char *name, const char *fallback)
{
    const char *value = std::getenv(name);
    return value ? value : fallback;
}

} // namespace

/**
 * Guards against ranks that run the same step with different maps, against replayed steps, and against a group that
 * does not recover, when messages are lost, repeated or reordered and ranks restart.
 */
class ExpertMapTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExpertMapTest);
    CPPUNIT_TEST(unanimousSwitchHolds);
    CPPUNIT_TEST(ownPreparationIsNotEnough);
    CPPUNIT_TEST(majorityIsNotEnough);
    CPPUNIT_TEST(mapChangeStopsNoStep);
    CPPUNIT_TEST(restartStopsOnlyWhileRankLoads);
    CPPUNIT_TEST_SUITE_END();

    /** A group of 4 that has run a few steps. */
    static std::unique_ptr<Group<UnanimousSwitch>> runningGroup()
    {
        auto group = std::make_unique<Group<UnanimousSwitch>>(4);
        group->propose(0, true, true, 63);
        CPPUNIT_ASSERT(runUntil(*group, [&] {
            return group->isFormed();
        }));
        group->runRound();
        group->runRound();
        return group;
    }

public:
    ExpertMapTest()
    {
        const auto parameters = "seed=" + setting("FUZZ_SEED", "40") + " max_success=" + setting("FUZZ_STEPS", "1000");
        std::cout << "rapidcheck: " << parameters << '\n';
        setenv("RC_PARAMS", parameters.c_str(), 1);
    }

    void unanimousSwitchHolds()
    {
        CPPUNIT_ASSERT(holds<UnanimousSwitch>("unanimous switch"));
    }

    void ownPreparationIsNotEnough()
    {
        CPPUNIT_ASSERT_MESSAGE("the oracle must detect the faulty policy",
                               !holds<OwnPreparationSwitch>("own preparation (must fail)"));
    }

    void majorityIsNotEnough()
    {
        CPPUNIT_ASSERT_MESSAGE("the oracle must detect the faulty policy",
                               !holds<MajoritySwitch>("majority (must fail)"));
    }

    void mapChangeStopsNoStep()
    {
        const auto group = runningGroup();
        const auto before = group->lastStep();
        const auto order = group->propose(0, true, true, 63);
        int rounds = 0;
        for (; !group->allUse(order.map) && rounds < 20; ++rounds) {
            group->runRound();
        }
        const auto steps = static_cast<int>(group->lastStep() - before);
        std::cout << "map change: in use after " << rounds << " rounds, " << rounds - steps << " without a step\n";
        CPPUNIT_ASSERT_EQUAL(rounds, steps);
    }

    void restartStopsOnlyWhileRankLoads()
    {
        const auto group = runningGroup();
        const auto generation = group->rank(0).generation();
        group->start(1);
        int rounds = 0;
        while ((group->rank(0).generation() == generation || !group->isFormed()) && rounds < 20) {
            group->runRound();
            ++rounds;
        }
        std::cout << "rank restart: formed after " << rounds << " rounds\n";
        CPPUNIT_ASSERT(rounds <= 6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExpertMapTest);

#include "config_simulation.h"
#include "fuzz_property.h"

#include <fmt/format.h>
#include <rapidcheck/state.h>

#include <iostream>

using namespace turmericline;

namespace {

struct NoOrdering : ApplyChecks
{
    static constexpr bool ordering = false;
};

struct NoDigest : ApplyChecks
{
    static constexpr bool digest = false;
};

enum class Operation {
    Round,
    Publish,
    Service,
    Cut,
    OneWayCut,
    Join,
    Restart,
    Spoil,
};

constexpr std::array<NamedValue<Operation>, 8> operationNames{{
    {Operation::Round, "round"},
    {Operation::Publish, "publish"},
    {Operation::Service, "service"},
    {Operation::Cut, "cut"},
    {Operation::OneWayCut, "one-way cut"},
    {Operation::Join, "join"},
    {Operation::Restart, "restart"},
    {Operation::Spoil, "spoil"},
}};

struct Tally
{
    std::size_t operations = 0;
    std::size_t restarts = 0;
    std::size_t networkFaults = 0;
};

Tally tally;

/** RapidCheck requires a model; it is empty because the checked property concerns only the simulation. */
struct NoModel
{
};

template<typename Checks>
class WorldCommand : public rc::state::Command<NoModel, ConfigSimulation<Checks>>
{
public:
    WorldCommand()
        : m_operation(*rc::gen::weightedElement<Operation>({{10, Operation::Round},
                                                            {4, Operation::Publish},
                                                            {2, Operation::Service},
                                                            {1, Operation::Cut},
                                                            {1, Operation::OneWayCut},
                                                            {2, Operation::Join},
                                                            {1, Operation::Restart},
                                                            {6, Operation::Spoil}}))
        , m_kind(*rc::gen::inRange(0, 7))
        , m_a(*rc::gen::inRange(0, simulatedDomains))
        , m_b(*rc::gen::inRange(0, simulatedDomains))
        , m_salt(*rc::gen::inRange(0, 100000))
    {
    }

    void run(const NoModel & /*model*/, ConfigSimulation<Checks> &simulation) const override
    {
        ++tally.operations;
        tally.restarts += m_operation == Operation::Restart ? 1 : 0;
        tally.networkFaults
            += m_operation == Operation::Cut || m_operation == Operation::OneWayCut || m_operation == Operation::Spoil
                   ? 1
                   : 0;
        switch (m_operation) {
        case Operation::Round:
            simulation.round();
            break;
        case Operation::Publish:
            simulation.publish(static_cast<PublishKind>(m_kind % 5), m_salt % 100);
            break;
        case Operation::Service:
            simulation.setService(static_cast<ServiceMode>(m_kind % 4), m_a, m_salt % 3 != 0);
            break;
        case Operation::Cut:
            simulation.cut(m_b, m_a, true);
            [[fallthrough]];
        case Operation::OneWayCut:
            simulation.cut(m_a, m_b, true);
            break;
        case Operation::Join:
            simulation.cut(m_a, m_b, false);
            simulation.cut(m_b, m_a, false);
            break;
        case Operation::Restart:
            simulation.restart(m_kind);
            break;
        case Operation::Spoil:
            simulation.injectFault(static_cast<MessageFault>(m_kind), static_cast<unsigned>(m_salt));
            break;
        }
        RC_ASSERT(simulation.violation() == std::string());
    }

    void show(std::ostream &out) const override
    {
        out << nameOf(operationNames, m_operation) << '(' << m_kind << ',' << m_a << ',' << m_b << ',' << m_salt << ')';
    }

private:
    Operation m_operation;
    int m_kind;
    int m_a;
    int m_b;
    int m_salt;
};

template<typename Checks>
void runRounds(ConfigSimulation<Checks> &simulation, int rounds)
{
    for (int i = 0; i < rounds; ++i) {
        simulation.round();
        RC_ASSERT(simulation.violation() == std::string());
    }
}

/** A peer that failed to deliver is queried again after at most 16 s; the rest allows for a few rounds of gossip. */
constexpr int roundsAfterFaults = 30;
/** Without faults, a new document needs one read and at most one round for each hop between 7 instances. */
constexpr int roundsWithoutFaults = 5;

template<typename Checks>
void runSimulation(ConfigSimulation<Checks> &simulation)
{
    rc::state::check(NoModel{}, simulation, [](const NoModel &) {
        return rc::gen::exec([] {
            return std::shared_ptr<const rc::state::Command<NoModel, ConfigSimulation<Checks>>>(
                std::make_shared<WorldCommand<Checks>>());
        });
    });
}

/** Safety: no instance reverts to an older document or has one that the console did not accept. */
template<typename Checks>
void checkSafety()
{
    ConfigSimulation<Checks> simulation(*rc::gen::inRange(1, 8), *rc::gen::inRange(1, simulatedDomains + 1));
    runSimulation(simulation);
}

/** Safety, and liveness: once the faults have ended, every instance reaches the highest document. */
void checkSimulation()
{
    ConfigSimulation<ApplyChecks> simulation(*rc::gen::inRange(1, 8), *rc::gen::inRange(1, simulatedDomains + 1));
    runSimulation(simulation);
    simulation.heal();
    runRounds(simulation, roundsAfterFaults);
    RC_ASSERT(simulation.missing(simulation.highest()) == std::string());
    simulation.publish(PublishKind::Valid, 7);
    runRounds(simulation, roundsWithoutFaults);
    RC_ASSERT(simulation.isActiveEverywhere(simulation.version()));
}

} // namespace

/**
 * Guards invariant I7: an accepted document becomes active everywhere and is never replaced by an older one, whatever
 * faults the configuration service, the network and single instances have.
 */
class ConfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationTest);
    CPPUNIT_TEST(neverGoesBackAndConverges);
    CPPUNIT_TEST(needsTheOrderOfVersions);
    CPPUNIT_TEST(needsTheDigest);
    CPPUNIT_TEST_SUITE_END();

    /** With a check disabled, a violation must be found; otherwise the test would not show that the check matters. */
    template<typename Checks>
    void expectFault(const std::string &name, const std::string &fault)
    {
        const auto text = counterexample(name, fuzzParams(100, 500), checkSafety<Checks>);
        std::cout << text << '\n';
        CPPUNIT_ASSERT_MESSAGE(name + ": no violation found", text.find(fault) != std::string::npos);
    }

public:
    void neverGoesBackAndConverges()
    {
        tally = {};
        expectProperty("configuration", fuzzParams(100, 500), checkSimulation);
        std::cout << fmt::format("\nfigures: point=I7 operations={} faults={} network_faults={}\n",
                                 tally.operations,
                                 tally.restarts,
                                 tally.networkFaults);
    }

    void needsTheOrderOfVersions()
    {
        expectFault<NoOrdering>("configuration without the order of versions", " follows version ");
    }

    void needsTheDigest()
    {
        expectFault<NoDigest>("configuration without the digest", "the console never accepted");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

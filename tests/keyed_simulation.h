#pragma once

#include "key_binder.h"
#include "keyed_call.h"
#include "ledger.h"
#include "ticket.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericline {

/** Safety mechanisms of the protocol; tests disable one of them to show that the invariants need it. */
struct KeyedPolicy
{
    bool keepsEntries = true; ///< The ledger evicts no entry before the end of its retention.
    bool sealsRefusals = true; ///< A refused call is sealed.
    bool waitsAfterStart = true; ///< A restarted owner binds no keys during its waiting window.
    bool waitsAfterMove = true; ///< A new owner of a slot binds no keys during its waiting window.
    bool dropsStaleBinds = true; ///< An owner rejects bind messages that are too old.
    bool isExclusive = true; ///< The agent's socket admits one process per server.
};

enum class KeyedInvariant {
    AtMostOnce, ///< No call is run twice.
    TrueVerdict, ///< A call that was reported as not-run is never run, one reported as run was run.
};

/**
 * Simulation of agents, entries, callers and a network that loses, repeats, delays and reorders messages. Counts the
 * runs of each call and records the first violation of each invariant.
 *
 * Assumptions, as in the design documentation: monotonic clocks run at the same rate; a copy of a call with a plain key
 * reaches its entry within W of the key's first use; a server is removed from the document after its processes have
 * ended.
 */
class KeyedSimulation
{
public:
    using Duration = std::chrono::steady_clock::duration;

    struct Call
    {
        std::string workspace;
        std::string key;
        std::size_t entry;
        KeyedCall logic;
        std::size_t exchange = 0; ///< Number of the last message; answers to earlier ones are ignored.
        std::optional<Verdict> verdict;
    };

    /** Runs of all copies of a call, and whether not-run was reported to a caller. */
    struct Record
    {
        int runs = 0;
        bool wasReportedNotRun = false;
    };

    std::map<KeyedInvariant, std::string> violations;
    std::vector<Call> calls;
    std::size_t operations = 0; ///< Commands executed on this simulation.
    std::size_t processFaults = 0; ///< Restarts, freezes, second agents and moved slots among them.
    std::map<std::pair<std::string, std::string>, Record> records;

    explicit KeyedSimulation(KeyedPolicy policy);

    // Faults and changes. Indices are taken modulo the number of choices, so that every command is valid.

    void advance(Duration by);

    /** Starts an agent with a possibly outdated document; false if one is running already, even if frozen. */
    bool startAgent(const std::string &name, std::size_t document);
    void restartAgent(std::size_t n);
    void startSecondAgent(std::size_t n);
    void toggleFrozen(std::size_t n);

    /** Toggles whether the agent rejects new work, as it does on overload, draining and leaving. */
    void toggleRefusing(std::size_t n);

    /** Ends a slot's owner, adds a new server, and publishes a document that gives the slots to another one. */
    void moveSlot(std::size_t slot, std::size_t to);
    void passDocumentToEntry(std::size_t entry);
    void passDocumentToAgent(std::size_t n);
    void hello(std::size_t entry, const std::string &name);
    void hello(std::size_t entry, std::size_t n);

    /** All entries notice that their connections to the server are broken. */
    void forget(const std::string &name);

    // Callers

    /** Returns a ticket as an entry issues it, or an empty text if the entry knows no agent. */
    std::string ticketFrom(std::size_t entry, std::size_t n);

    /** Returns the current plain key of a caller; a new one once W has passed since the first use. */
    std::string plainKey(std::size_t n);
    std::string freshKey();

    /** A copy of a call arrives at an entry, which sends its first message later. Returns the index in calls. */
    std::size_t call(std::size_t entry, const std::string &workspace, const std::string &key, bool refuses = false);

    // Network

    void deliver(std::size_t n);
    void duplicate(std::size_t n);
    void drop(std::size_t n);

    /** An entry assumes that its last message was lost, correctly or not. */
    void timeOut(std::size_t n);

    /** Delivers all messages in order. */
    void deliverAll();

private:
    struct Process
    {
        std::string name;
        Duration start;
        std::uint64_t incarnation = makeIncarnation();
        Ledger ledger{name, incarnation, {}};
        KeyBinder binder{incarnation, {}};
        KeyOwnership ownership{name};
        std::size_t document = 0;
        bool isAlive = true;
        bool isFrozen = false;
        bool isRefusing = false;

        Process(std::string n, Duration now)
            : name(std::move(n))
            , start(now)
        {
        }
    };

    struct Entry
    {
        std::size_t document = 0;
        std::map<std::string, std::pair<AgentAge, Duration>> knownAges;
    };

    struct Message
    {
        std::function<void()> receive;
        std::function<void()> drop; ///< Set for messages between an agent and its server, which TCP never duplicates.
    };

    static std::chrono::steady_clock::time_point toTimePoint(Duration when);
    static Document documentWith(std::vector<std::string> owners);
    static const std::vector<std::string> &ownersOf(const Document &document);
    void expect(bool condition, KeyedInvariant invariant, const std::string &what);
    void post(std::function<void()> receive, std::function<void()> drop = {});
    std::vector<Process *> processesOf(const std::string &name);
    void killAgent(const std::string &name);
    void receiveDocument(Process &process, std::size_t document);
    Age now(const Process &process) const;
    AgentAge ageOf(const Process &process) const;

    // Entry

    void proceed(std::size_t id, const KeyedStep &step);
    void sendBind(std::size_t id, std::size_t exchange, bool seals);
    void report(std::size_t id, Verdict verdict);

    // Agent

    void toAgent(const std::string &name, const std::function<void(Process &)> &receive);

    template<typename Handler>
    void answer(const Process &process, std::size_t id, std::size_t exchange, Handler handler)
    {
        post([=, this, name = process.name, age = ageOf(process)] {
            if (calls[id].exchange == exchange && !calls[id].verdict) {
                m_entries[calls[id].entry].knownAges[name] = {age, m_now};
                proceed(id, handler(calls[id].logic));
            }
        });
    }

    void onBind(Process &process, std::size_t id, std::size_t exchange, const std::string &proposed, AgentAge ownerAge);
    void onTicket(Process &process, std::size_t id, std::size_t exchange, const Ticket &ticket, bool seals);
    void answerVerdict(const Process &process, std::size_t id, std::size_t exchange, Verdict verdict);
    void sendToServer(Process &process, std::size_t id, std::size_t exchange, const Ticket &ticket);
    void run(std::size_t id);
    void end(Process &process, std::size_t id, std::size_t exchange, const Ticket &ticket, Verdict verdict);

    static constexpr Duration lifetime = std::chrono::seconds(120);
    KeyedPolicy m_policy;
    Duration m_now{};
    std::vector<Document> m_documents;
    std::deque<Process> m_processes; ///< Never shrinks, so that messages can refer to ended processes.
    std::vector<std::string> m_names;
    std::array<Entry, 3> m_entries;
    std::vector<Message> m_messages;
    std::array<std::pair<std::string, Duration>, 2> m_plainKeys;
    int m_keyCount = 0;
};

} // namespace turmericline

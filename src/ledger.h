#pragma once

#include "ledger_type.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>

namespace turmericline {

/**
 * Record of the keyed calls of one agent incarnation. A ticket is admitted at most once, up to the age W. Its entry is
 * kept until the ticket is 2 W old, and for at least W after the end of its call; nothing is evicted earlier. So a
 * ticket with an age between W and 2 W that has no entry was never admitted and never will be.
 */
class Ledger
{
public:
    Ledger(std::string server, std::uint64_t incarnation, LedgerSettings settings);

    /** Decides whether to run a copy of a call. After Admission::Admitted the agent must call finish() or fail(). */
    AdmitResult admit(std::string_view workspace, const Ticket &ticket, Age now);

    /** Records the complete answer of an admitted call. */
    void finish(const Ticket &ticket, Answer answer, Age now);

    /** Ends an admitted call without an answer; Verdict::NotRun only if the backend server cannot have received it. */
    void fail(const Ticket &ticket, Verdict verdict, Age now);

    /** Prevents any later admission unless the ticket was admitted before; Verdict::NotRun confirms this. */
    AdmitResult seal(std::string_view workspace, const Ticket &ticket, Age now);

    /** Drops entries that have reached the end of their retention. */
    void expire(Age now);

    std::size_t size() const;
    std::size_t answerBytes() const;

private:
    enum class State {
        Running,
        Finished,
        Unknown,
        Sealed,
    };

    struct Entry
    {
        std::string workspace;
        State state = State::Running;
        std::shared_ptr<const Answer> answer;
        std::size_t answerBytes = 0;
    };

    // Not a hash table, because callers can choose nonces and could make them collide.
    using Entries = std::map<Ticket, Entry>;

    AdmitResult record(std::string_view workspace, const Ticket &ticket, State state, Age now);
    static AdmitResult resultOf(const Entry &entry, std::string_view workspace);
    void closeEntry(const Ticket &ticket, State state, Age now);
    void storeAnswer(Entry &entry, Answer answer);
    bool hasCapacity(std::string_view workspace) const;
    void removeEntry(Entries::iterator it);

    std::string m_server;
    std::uint64_t m_incarnation;
    LedgerSettings m_settings;
    Entries m_entries;
    std::multimap<Age, Ticket> m_expiries; ///< Entries that are not running, by the end of their retention.
    std::map<std::string, std::size_t, std::less<>> m_entriesOfWorkspace;
    std::size_t m_answerBytes = 0;
};

} // namespace turmericline

#pragma once

#include "name_table.h"
#include "ticket_type.h"
#include "verdict_type.h"

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace turmericline {

/** Answer of a backend server to a keyed call, kept for replay to later copies of the call. */
struct Answer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/** What an agent does with a copy of a call that presents a ticket. */
enum class Admission {
    Admitted, ///< The first copy: run it.
    InProgress, ///< An earlier copy is running; later copies can wait for its answer.
    Replay, ///< An earlier copy has finished and its answer was kept.
    Sealed, ///< No copy was run and none will be.
    Finished, ///< An earlier copy has finished; its answer was not kept.
    Unknown, ///< An earlier copy was sent; its outcome is not known.
    WrongOwner, ///< The ticket was used by another workspace.
    WrongIncarnation, ///< The ticket names another server or another run of this agent.
    Expired, ///< The ticket is too old to be admitted.
    Full, ///< The ledger is full; a later copy may be admitted.
    FromTheFuture, ///< The ticket names an age that this agent has not reached yet.
};

inline constexpr std::array<NamedValue<Admission>, 11> admissionNames{{
    {Admission::Admitted, "admitted"},
    {Admission::InProgress, "in-progress"},
    {Admission::Replay, "replay"},
    {Admission::Sealed, "sealed"},
    {Admission::Finished, "answer-not-kept"},
    {Admission::Unknown, "outcome-unknown"},
    {Admission::WrongOwner, "wrong-owner"},
    {Admission::WrongIncarnation, "wrong-incarnation"},
    {Admission::Expired, "expired"},
    {Admission::Full, "ledger-full"},
    {Admission::FromTheFuture, "from-the-future"},
}};

/** Result of Ledger::admit() and Ledger::seal(). */
struct AdmitResult
{
    Admission admission = Admission::Unknown;
    Verdict verdict = Verdict::MayHaveRun; ///< For the caller, if the call ends here.
    std::shared_ptr<const Answer> answer; ///< Set for Admission::Replay only.
};

struct LedgerSettings
{
    Age lifetime{std::chrono::seconds(120)}; ///< W: a ticket is admitted up to this age.
    std::size_t maxEntries = 65536;
    std::size_t maxEntriesPerWorkspace = 16384; ///< Prevents one workspace from filling the whole ledger.
    std::size_t maxAnswerBytes = 32U << 20U; ///< Over all entries.
    std::size_t maxAnswerBytesPerEntry = 256U << 10U;
};

} // namespace turmericline

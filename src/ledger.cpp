#include "ledger.h"

#include <algorithm>

namespace turmericline {

namespace {

std::size_t sizeOf(const Answer &answer)
{
    std::size_t n = answer.body.size();
    for (const auto &[name, value] : answer.headers) {
        n += name.size() + value.size();
    }
    return n;
}

Age issueAge(const Ticket &ticket)
{
    return std::chrono::seconds(ticket.tick);
}

} // namespace

Ledger::Ledger(std::string server, std::uint64_t incarnation, LedgerSettings settings)
    : m_server(std::move(server))
    , m_incarnation(incarnation)
    , m_settings(settings)
{
}

AdmitResult Ledger::admit(std::string_view workspace, const Ticket &ticket, Age now)
{
    return record(workspace, ticket, State::Running, now);
}

AdmitResult Ledger::seal(std::string_view workspace, const Ticket &ticket, Age now)
{
    return record(workspace, ticket, State::Sealed, now);
}

AdmitResult Ledger::record(std::string_view workspace, const Ticket &ticket, State state, Age now)
{
    if (ticket.server != m_server || ticket.incarnation != m_incarnation) {
        return {Admission::WrongIncarnation, Verdict::MayHaveRun, {}};
    }
    expire(now);
    if (const auto it = m_entries.find(ticket); it != m_entries.end()) {
        return resultOf(it->second, workspace);
    }
    const auto age = now - issueAge(ticket);
    if (age < Age::zero()) {
        return {Admission::FromTheFuture, Verdict::MayHaveRun, {}};
    }
    if (age > m_settings.lifetime) {
        // An entry is kept until its ticket is 2 W old, so before that a missing one proves that nothing ran.
        const bool provesNotRun = age <= 2 * m_settings.lifetime;
        return {Admission::Expired, provesNotRun ? Verdict::NotRun : Verdict::MayHaveRun, {}};
    }
    if (!hasCapacity(workspace)) {
        return {Admission::Full, Verdict::MayHaveRun, {}};
    }
    m_entries.emplace(ticket, Entry{std::string(workspace), State::Running, {}, 0});
    ++m_entriesOfWorkspace[std::string(workspace)];
    if (state == State::Sealed) {
        closeEntry(ticket, state, now);
        return {Admission::Sealed, Verdict::NotRun, {}};
    }
    return {Admission::Admitted, Verdict::MayHaveRun, {}};
}

AdmitResult Ledger::resultOf(const Entry &entry, std::string_view workspace)
{
    if (entry.workspace != workspace) {
        // An entry never changes its workspace, so no call of this workspace can have used the ticket.
        return {Admission::WrongOwner, Verdict::NotRun, {}};
    }
    switch (entry.state) {
    case State::Running:
        return {Admission::InProgress, Verdict::MayHaveRun, {}};
    case State::Sealed:
        return {Admission::Sealed, Verdict::NotRun, {}};
    case State::Finished:
        return {entry.answer ? Admission::Replay : Admission::Finished, Verdict::Run, entry.answer};
    case State::Unknown:
        break;
    }
    return {Admission::Unknown, Verdict::MayHaveRun, {}};
}

void Ledger::finish(const Ticket &ticket, Answer answer, Age now)
{
    const auto it = m_entries.find(ticket);
    if (it == m_entries.end() || it->second.state != State::Running) {
        return;
    }
    storeAnswer(it->second, std::move(answer));
    closeEntry(ticket, State::Finished, now);
}

void Ledger::storeAnswer(Entry &entry, Answer answer)
{
    const auto n = sizeOf(answer);
    if (n > m_settings.maxAnswerBytesPerEntry || n > m_settings.maxAnswerBytes - m_answerBytes) {
        return;
    }
    m_answerBytes += n;
    entry.answerBytes = n;
    entry.answer = std::make_shared<const Answer>(std::move(answer));
}

void Ledger::fail(const Ticket &ticket, Verdict verdict, Age now)
{
    closeEntry(ticket, verdict == Verdict::NotRun ? State::Sealed : State::Unknown, now);
}

void Ledger::closeEntry(const Ticket &ticket, State state, Age now)
{
    const auto it = m_entries.find(ticket);
    if (it == m_entries.end() || it->second.state != State::Running) {
        return;
    }
    it->second.state = state;
    // At least W after the end of a long call, so that its caller can still fetch the answer.
    const auto retainUntil = std::max(issueAge(ticket) + 2 * m_settings.lifetime, now + m_settings.lifetime);
    m_expiries.emplace(retainUntil, ticket);
}

void Ledger::expire(Age now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first < now) {
        removeEntry(m_entries.find(m_expiries.begin()->second));
        m_expiries.erase(m_expiries.begin());
    }
}

void Ledger::removeEntry(Entries::iterator it)
{
    m_answerBytes -= it->second.answerBytes;
    const auto count = m_entriesOfWorkspace.find(it->second.workspace);
    if (--count->second == 0) {
        m_entriesOfWorkspace.erase(count);
    }
    m_entries.erase(it);
}

bool Ledger::hasCapacity(std::string_view workspace) const
{
    const auto count = m_entriesOfWorkspace.find(workspace);
    return m_entries.size() < m_settings.maxEntries
           && (count == m_entriesOfWorkspace.end() || count->second < m_settings.maxEntriesPerWorkspace);
}

std::size_t Ledger::size() const
{
    return m_entries.size();
}

std::size_t Ledger::answerBytes() const
{
    return m_answerBytes;
}

} // namespace turmericline

#include "keyed_simulation.h"

#include "ticket.h"

#include <algorithm>

namespace turmericline {

KeyedSimulation::KeyedSimulation(KeyedPolicy policy)
    : m_policy(policy)
{
    m_documents.push_back(documentWith({"s0", "s1", "s2"}));
    for (const auto *name : {"s0", "s1", "s2"}) {
        startAgent(name, 0);
    }
    advance(std::chrono::seconds(1000));
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        for (const auto &it : m_names) {
            hello(i, it);
        }
    }
}

void KeyedSimulation::advance(Duration by)
{
    m_now += by;
}

bool KeyedSimulation::startAgent(const std::string &name, std::size_t document)
{
    if (m_policy.isExclusive && !processesOf(name).empty()) {
        return false;
    }
    if (std::find(m_names.begin(), m_names.end(), name) == m_names.end()) {
        m_names.push_back(name);
    }
    m_processes.emplace_back(name, m_now);
    receiveDocument(m_processes.back(), document % m_documents.size());
    return true;
}

void KeyedSimulation::restartAgent(std::size_t n)
{
    killAgent(m_names[n % m_names.size()]);
    startAgent(m_names[n % m_names.size()], n);
}

void KeyedSimulation::startSecondAgent(std::size_t n)
{
    const bool started = startAgent(m_names[n % m_names.size()], n);
    expect(!m_policy.isExclusive || !started, KeyedInvariant::AtMostOnce, "two agents of one server live");
}

void KeyedSimulation::toggleFrozen(std::size_t n)
{
    auto &it = m_processes[n % m_processes.size()];
    it.isFrozen = !it.isFrozen;
}

void KeyedSimulation::toggleRefusing(std::size_t n)
{
    auto &it = m_processes[n % m_processes.size()];
    it.isRefusing = !it.isRefusing;
}

void KeyedSimulation::moveSlot(std::size_t slot, std::size_t to)
{
    auto owners = ownersOf(m_documents.back());
    const auto old = owners[slot % owners.size()];
    killAgent(old);
    m_names.erase(std::find(m_names.begin(), m_names.end(), old));
    startAgent("s" + std::to_string(2 + m_documents.size()), m_documents.size() - 1);
    for (auto &it : owners) {
        it = it == old ? m_names[to % m_names.size()] : it;
    }
    m_documents.push_back(documentWith(owners));
}

void KeyedSimulation::passDocumentToEntry(std::size_t entry)
{
    auto &it = m_entries[entry % m_entries.size()];
    it.document = std::min(it.document + 1, m_documents.size() - 1);
}

void KeyedSimulation::passDocumentToAgent(std::size_t n)
{
    auto &it = m_processes[n % m_processes.size()];
    if (it.isAlive && !it.isFrozen) {
        receiveDocument(it, std::min(it.document + 1, m_documents.size() - 1));
    }
}

void KeyedSimulation::hello(std::size_t entry, const std::string &name)
{
    for (auto *it : processesOf(name)) {
        if (!it->isFrozen) {
            m_entries[entry % m_entries.size()].knownAges[name] = {ageOf(*it), m_now};
        }
    }
}

void KeyedSimulation::hello(std::size_t entry, std::size_t n)
{
    hello(entry, m_names[n % m_names.size()]);
}

void KeyedSimulation::forget(const std::string &name)
{
    for (auto &it : m_entries) {
        it.knownAges.erase(name);
    }
}

std::string KeyedSimulation::ticketFrom(std::size_t entry, std::size_t n)
{
    const auto &knownAges = m_entries[entry % m_entries.size()].knownAges;
    if (knownAges.empty()) {
        return {};
    }
    const auto it = std::next(knownAges.begin(), static_cast<std::ptrdiff_t>(n % knownAges.size()));
    const auto &[age, at] = it->second;
    return formatTicket(
        makeTicket(it->first, age.incarnation, tickLowerBound(age.tick, toTimePoint(at), toTimePoint(m_now))));
}

std::string KeyedSimulation::plainKey(std::size_t n)
{
    auto &[key, firstUse] = m_plainKeys[n % 2];
    if (key.empty() || m_now - firstUse > lifetime) {
        key = "plain-" + std::to_string(++m_keyCount);
        firstUse = m_now;
    }
    return key;
}

std::string KeyedSimulation::freshKey()
{
    return "plain-" + std::to_string(++m_keyCount);
}

std::size_t KeyedSimulation::call(std::size_t entry, const std::string &workspace, const std::string &key, bool refuses)
{
    const auto id = calls.size();
    calls.push_back({workspace, key, entry % m_entries.size(), KeyedCall(key, toTimePoint(m_now)), 0, std::nullopt});
    post([this, id, refuses] {
        if (calls[id].exchange == 0 && !calls[id].verdict) {
            proceed(id, refuses ? calls[id].logic.refuse("overload") : calls[id].logic.start());
        }
    });
    return id;
}

void KeyedSimulation::deliver(std::size_t n)
{
    if (!m_messages.empty()) {
        const auto it = m_messages.begin() + static_cast<std::ptrdiff_t>(n % m_messages.size());
        const auto message = std::move(*it);
        m_messages.erase(it);
        message.receive();
    }
}

void KeyedSimulation::duplicate(std::size_t n)
{
    if (!m_messages.empty() && !m_messages[n % m_messages.size()].drop) {
        m_messages.push_back(m_messages[n % m_messages.size()]);
    }
}

void KeyedSimulation::drop(std::size_t n)
{
    if (!m_messages.empty()) {
        const auto it = m_messages.begin() + static_cast<std::ptrdiff_t>(n % m_messages.size());
        const auto message = std::move(*it);
        m_messages.erase(it);
        if (message.drop) {
            message.drop();
        }
    }
}

void KeyedSimulation::timeOut(std::size_t n)
{
    if (!calls.empty() && !calls[n % calls.size()].verdict && calls[n % calls.size()].exchange != 0) {
        proceed(n % calls.size(), calls[n % calls.size()].logic.onLost());
    }
}

void KeyedSimulation::deliverAll()
{
    while (!m_messages.empty()) {
        deliver(0);
    }
}

std::chrono::steady_clock::time_point KeyedSimulation::toTimePoint(Duration when)
{
    return std::chrono::steady_clock::time_point(when);
}

Document KeyedSimulation::documentWith(std::vector<std::string> owners)
{
    Document document;
    Service service;
    service.name = "pay";
    service.keyOwners = std::move(owners);
    document.services.add(std::move(service));
    return document;
}

const std::vector<std::string> &KeyedSimulation::ownersOf(const Document &document)
{
    return document.services.begin()->keyOwners;
}

void KeyedSimulation::expect(bool condition, KeyedInvariant invariant, const std::string &what)
{
    if (!condition) {
        violations.emplace(invariant, what);
    }
}

void KeyedSimulation::post(std::function<void()> receive, std::function<void()> drop)
{
    m_messages.push_back({std::move(receive), std::move(drop)});
}

std::vector<KeyedSimulation::Process *> KeyedSimulation::processesOf(const std::string &name)
{
    std::vector<Process *> found;
    for (auto &it : m_processes) {
        if (it.isAlive && it.name == name) {
            found.push_back(&it);
        }
    }
    return found;
}

void KeyedSimulation::killAgent(const std::string &name)
{
    for (auto *it : processesOf(name)) {
        it->isAlive = false;
    }
}

void KeyedSimulation::receiveDocument(Process &process, std::size_t document)
{
    process.document = document;
    process.ownership.update(m_documents[document], now(process));
}

Age KeyedSimulation::now(const Process &process) const
{
    return std::chrono::floor<Age>(m_now - process.start);
}

AgentAge KeyedSimulation::ageOf(const Process &process) const
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(m_now - process.start);
    return {process.incarnation, static_cast<std::uint64_t>(seconds.count())};
}

void KeyedSimulation::proceed(std::size_t id, const KeyedStep &step)
{
    const auto exchange = ++calls[id].exchange;
    switch (step.action) {
    case KeyedAction::Bind:
    case KeyedAction::SealUnbound:
        sendBind(id, exchange, step.action == KeyedAction::SealUnbound);
        break;
    case KeyedAction::Run:
    case KeyedAction::Seal:
        toAgent(step.ticket->server, [=, this, ticket = *step.ticket](Process &process) {
            onTicket(process, id, exchange, ticket, step.action == KeyedAction::Seal);
        });
        break;
    case KeyedAction::Finish:
        report(id, step.verdict);
    }
}

void KeyedSimulation::sendBind(std::size_t id, std::size_t exchange, bool seals)
{
    const auto &it = calls[id];
    const auto &owners = ownersOf(m_documents[m_entries[it.entry].document]);
    const auto &owner = owners[keySlot(it.workspace, "pay", it.key, owners.size())];
    const auto &known = m_entries[it.entry].knownAges;
    const auto found = known.find(owner);
    const auto [age, at] = found == known.end() ? std::pair{AgentAge{}, m_now} : found->second;
    const auto proposed = ticketFrom(it.entry, id);
    toAgent(owner, [=, this, ownerAge = it.logic.ownerAge(age, toTimePoint(at))](Process &process) {
        onBind(process, id, exchange, seals ? std::string() : proposed, ownerAge);
    });
}

void KeyedSimulation::report(std::size_t id, Verdict verdict)
{
    auto &it = calls[id];
    auto &record = records[{it.workspace, it.key}];
    it.verdict = verdict;
    record.wasReportedNotRun |= verdict == Verdict::NotRun;
    expect(verdict != Verdict::NotRun || record.runs == 0,
           KeyedInvariant::TrueVerdict,
           "not-run reported for a call that was run");
    expect(verdict != Verdict::Run || record.runs >= 1,
           KeyedInvariant::TrueVerdict,
           "run reported for a call that was not run");
}

void KeyedSimulation::toAgent(const std::string &name, const std::function<void(Process &)> &receive)
{
    post([=, this] {
        const auto found = processesOf(name);
        if (found.empty()) {
            return;
        }
        auto &process = *found[calls.size() % found.size()];
        if (process.isFrozen) {
            toAgent(name, receive); // Stays in the socket buffer until the process resumes.
            return;
        }
        receive(process);
    });
}

void KeyedSimulation::onBind(
    Process &process, std::size_t id, std::size_t exchange, const std::string &proposed, AgentAge ownerAge)
{
    const auto &it = calls[id];
    if (!m_policy.dropsStaleBinds) {
        ownerAge = ageOf(process);
    }
    const BindRequest request{it.workspace, "pay", it.key, ownerAge};
    auto since = process.ownership.ownedSince(request);
    if (since && !m_policy.waitsAfterStart) {
        since = -std::chrono::hours(1);
    } else if (since && !m_policy.waitsAfterMove) {
        since = Age::zero();
    }
    const auto result = proposed.empty() ? process.binder.sealUnbound(request, since, now(process))
                                         : process.binder.bind(request, proposed, since, now(process));
    answer(process, id, exchange, [result](KeyedCall &logic) {
        return logic.onBind(result);
    });
}

void KeyedSimulation::onTicket(Process &process, std::size_t id, std::size_t exchange, const Ticket &ticket, bool seals)
{
    if (process.isRefusing && !m_policy.sealsRefusals) {
        answerVerdict(process, id, exchange, Verdict::NotRun);
        return;
    }
    const auto &workspace = calls[id].workspace;
    seals = seals || process.isRefusing;
    const auto result = seals ? process.ledger.seal(workspace, ticket, now(process))
                              : process.ledger.admit(workspace, ticket, now(process));
    if (result.admission == Admission::Admitted) {
        sendToServer(process, id, exchange, ticket);
    } else if (result.admission == Admission::InProgress && !seals) {
        toAgent(process.name, [=, this](Process &again) {
            onTicket(again, id, exchange, ticket, false);
        });
    } else {
        answerVerdict(process, id, exchange, result.verdict);
    }
}

void KeyedSimulation::answerVerdict(const Process &process, std::size_t id, std::size_t exchange, Verdict verdict)
{
    answer(process, id, exchange, [verdict](KeyedCall &logic) {
        return logic.onAnswer(verdict, {});
    });
}

void KeyedSimulation::sendToServer(Process &process, std::size_t id, std::size_t exchange, const Ticket &ticket)
{
    post(
        [=, this, &process] {
            run(id);
            post(
                [=, this, &process] {
                    end(process, id, exchange, ticket, Verdict::Run);
                },
                [=, this, &process] {
                    end(process, id, exchange, ticket, Verdict::MayHaveRun);
                });
        },
        [=, this, &process] {
            end(process, id, exchange, ticket, Verdict::NotRun);
        });
}

void KeyedSimulation::run(std::size_t id)
{
    auto &record = records[{calls[id].workspace, calls[id].key}];
    ++record.runs;
    expect(record.runs <= 1, KeyedInvariant::AtMostOnce, "a call was run twice");
    expect(!record.wasReportedNotRun, KeyedInvariant::TrueVerdict, "a call was run after not-run was reported");
}

void KeyedSimulation::end(Process &process, std::size_t id, std::size_t exchange, const Ticket &ticket, Verdict verdict)
{
    if (!process.isAlive) {
        return;
    }
    if (verdict == Verdict::Run) {
        process.ledger.finish(ticket, {}, now(process));
    } else {
        process.ledger.fail(ticket, verdict, now(process));
    }
    if (!m_policy.keepsEntries && process.ledger.size() > 1) {
        process.ledger = Ledger(process.name, process.incarnation, {});
    }
    answerVerdict(process, id, exchange, verdict);
}

} // namespace turmericline

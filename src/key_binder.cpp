#include "key_binder.h"

#include "ticket.h"

#include <xxhash.h>

namespace turmericline {

namespace {

/** Unique per key: names of workspaces and services contain no NUL, and the key comes last. */
std::string bindingKey(std::string_view workspace, std::string_view service, std::string_view key)
{
    std::string text;
    text.reserve(workspace.size() + service.size() + key.size() + 2);
    text.append(workspace).append(1, '\0').append(service).append(1, '\0').append(key);
    return text;
}

BindResult toBindResult(std::string_view ticket)
{
    if (ticket.empty()) {
        return {Binding::Sealed, Verdict::NotRun, {}};
    }
    return {Binding::Bound, Verdict::MayHaveRun, std::string(ticket)};
}

} // namespace

std::size_t keySlot(std::string_view workspace, std::string_view service, std::string_view key, std::size_t slotCount)
{
    const auto text = bindingKey(workspace, service, key);
    return XXH3_64bits(text.data(), text.size()) % slotCount;
}

KeyBinder::KeyBinder(std::uint64_t incarnation, KeyBinderSettings settings)
    : m_incarnation(incarnation)
    , m_settings(settings)
{
}

BindResult
KeyBinder::bind(const BindRequest &request, std::string_view proposed, std::optional<Age> ownedSince, Age now)
{
    if (!parseTicket(proposed)) {
        return {Binding::Invalid, Verdict::MayHaveRun, {}};
    }
    return record(request, proposed, ownedSince, now);
}

BindResult KeyBinder::sealUnbound(const BindRequest &request, std::optional<Age> ownedSince, Age now)
{
    return record(request, {}, ownedSince, now);
}

BindResult
KeyBinder::record(const BindRequest &request, std::string_view ticket, std::optional<Age> ownedSince, Age now)
{
    expire(now);
    auto text = bindingKey(request.workspace, request.service, request.key);
    if (const auto it = m_entries.find(text); it != m_entries.end()) {
        // Repeating a known binding is safe, however old the message is.
        it->second.retainUntil = now + window();
        return toBindResult(it->second.ticket);
    }
    if (const auto why = refusal(request, ownedSince, now)) {
        return {*why, Verdict::MayHaveRun, {}};
    }
    const auto it
        = m_entries.emplace(std::move(text), Entry{std::string(ticket), std::string(request.workspace), {}}).first;
    ++m_entriesOfWorkspace[it->second.workspace];
    startRetention(it, now);
    return toBindResult(ticket);
}

std::optional<Binding> KeyBinder::refusal(const BindRequest &request, std::optional<Age> ownedSince, Age now) const
{
    if (!ownedSince) {
        return Binding::NotOwner;
    }
    // An earlier owner may have bound the key for another copy of the call. Copies arrive at their entries within W of
    // the key's first use, and reach this owner within maxDelay after that.
    if (now - *ownedSince <= window()) {
        return Binding::TooRecent;
    }
    if (!isFresh(request.ownerAge, now)) {
        return Binding::Stale;
    }
    const auto count = m_entriesOfWorkspace.find(request.workspace);
    if (m_entries.size() >= m_settings.maxEntries
        || (count != m_entriesOfWorkspace.end() && count->second >= m_settings.maxEntriesPerWorkspace)) {
        return Binding::Full;
    }
    return std::nullopt;
}

bool KeyBinder::isFresh(const AgentAge &age, Age now) const
{
    const Age earliestArrival = std::chrono::seconds(age.tick);
    return age.incarnation == m_incarnation && earliestArrival <= now && now - earliestArrival <= m_settings.maxDelay;
}

Age KeyBinder::window() const
{
    return m_settings.lifetime + m_settings.maxDelay;
}

void KeyBinder::startRetention(Entries::iterator it, Age now)
{
    it->second.retainUntil = now + window();
    m_expiries.emplace(it->second.retainUntil, it->first);
}

void KeyBinder::expire(Age now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first < now) {
        const auto it = m_entries.find(m_expiries.begin()->second);
        m_expiries.erase(m_expiries.begin());
        if (it->second.retainUntil >= now) {
            m_expiries.emplace(it->second.retainUntil, it->first);
            continue;
        }
        const auto count = m_entriesOfWorkspace.find(it->second.workspace);
        if (--count->second == 0) {
            m_entriesOfWorkspace.erase(count);
        }
        m_entries.erase(it);
    }
}

std::size_t KeyBinder::size() const
{
    return m_entries.size();
}

KeyOwnership::KeyOwnership(std::string server)
    : m_server(std::move(server))
{
}

void KeyOwnership::update(const Document &document, Age now)
{
    std::map<std::string, Slots, std::less<>> slots;
    for (const auto &it : document.services) {
        slots.emplace(it.name, ownedSlots(it, now));
    }
    m_slots = std::move(slots);
}

KeyOwnership::Slots KeyOwnership::ownedSlots(const Service &service, Age now) const
{
    const auto known = m_slots.find(service.name);
    // A changed number of slots moves keys to other slots, so earlier ownership does not count.
    const bool isKnown = known != m_slots.end() && known->second.size() == service.keyOwners.size();
    Slots slots(service.keyOwners.size());
    for (std::size_t i = 0; i < slots.size(); ++i) {
        if (service.keyOwners[i] == m_server) {
            slots[i] = isKnown && known->second[i] ? *known->second[i] : now;
        }
    }
    return slots;
}

std::optional<Age> KeyOwnership::ownedSince(std::string_view service, std::size_t slot) const
{
    const auto it = m_slots.find(service);
    return it == m_slots.end() || slot >= it->second.size() ? std::nullopt : it->second[slot];
}

std::optional<Age> KeyOwnership::ownedSince(const BindRequest &request) const
{
    const auto it = m_slots.find(request.service);
    if (it == m_slots.end() || it->second.empty()) {
        return std::nullopt;
    }
    return it->second[keySlot(request.workspace, request.service, request.key, it->second.size())];
}

} // namespace turmericline

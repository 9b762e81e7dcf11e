#pragma once

#include "document_type.h"
#include "key_binder_type.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace turmericline {

/** Index into the service's list of key owners; @p slotCount must not be 0. */
std::size_t keySlot(std::string_view workspace, std::string_view service, std::string_view key, std::size_t slotCount);

/** Bindings of plain keys to tickets, held by the agent that owns the keys. */
class KeyBinder
{
public:
    KeyBinder(std::uint64_t incarnation, KeyBinderSettings settings);

    /** Binds the key to @p proposed unless it is bound already; @p ownedSince is empty if another server owns it. */
    BindResult bind(const BindRequest &request, std::string_view proposed, std::optional<Age> ownedSince, Age now);

    /** Binds the key to nothing unless it is bound already. */
    BindResult sealUnbound(const BindRequest &request, std::optional<Age> ownedSince, Age now);

    /** Drops entries that have reached the end of their retention. */
    void expire(Age now);

    std::size_t size() const;

private:
    struct Entry
    {
        std::string ticket; ///< Empty if the key is bound to nothing.
        std::string workspace;
        Age keepUntil{};
    };

    using Entries = std::map<std::string, Entry, std::less<>>;

    BindResult enter(const BindRequest &request, std::string_view ticket, std::optional<Age> ownedSince, Age now);
    std::optional<Binding> refusal(const BindRequest &request, std::optional<Age> ownedSince, Age now) const;
    bool isFresh(const AgentAge &age, Age now) const;
    void keep(Entries::iterator it, Age now);
    Age window() const;

    std::uint64_t m_incarnation;
    KeyBinderSettings m_settings;
    Entries m_entries;
    std::multimap<Age, std::string> m_expiries; ///< One row per entry, at its end of retention or earlier.
    std::map<std::string, std::size_t, std::less<>> m_entriesOfWorkspace;
};

/** Since when an agent has owned each slot, from the documents it has seen. */
class KeyOwnership
{
public:
    explicit KeyOwnership(std::string server);

    /** Takes over the owners of @p document, which comes into force in this agent at the age @p now. */
    void update(const Document &document, Age now);

    std::optional<Age> ownedSince(std::string_view service, std::size_t slot) const;

    /** Since when this agent has owned the slot of a key; nothing if it does not own it. */
    std::optional<Age> ownedSince(const BindRequest &request) const;

private:
    using Slots = std::vector<std::optional<Age>>;

    Slots slotsOf(const Service &service, Age now) const;

    std::string m_server;
    std::map<std::string, Slots, std::less<>> m_slots;
};

} // namespace turmericline

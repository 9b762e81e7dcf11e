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

/** Bindings of plain keys to tickets, recorded by the agent that owns the keys. */
class KeyBinder
{
public:
    KeyBinder(std::uint64_t incarnation, KeyBinderSettings settings);

    /** Binds the key to @p proposed unless it is bound already; @p ownedSince is empty if another server owns it. */
    BindResult bind(const BindRequest &request, std::string_view proposed, std::optional<Age> ownedSince, Age now);

    /** Seals the key unless it is bound already: no ticket can be bound to it from then on. */
    BindResult sealUnbound(const BindRequest &request, std::optional<Age> ownedSince, Age now);

    /** Drops entries that have reached the end of their retention. */
    void expire(Age now);

    std::size_t size() const;

private:
    struct Entry
    {
        std::string ticket; ///< Empty if the key is sealed.
        std::string workspace;
        Age retainUntil{};
    };

    using Entries = std::map<std::string, Entry, std::less<>>;

    BindResult record(const BindRequest &request, std::string_view ticket, std::optional<Age> ownedSince, Age now);
    std::optional<Binding> refusal(const BindRequest &request, std::optional<Age> ownedSince, Age now) const;
    bool isFresh(const AgentAge &age, Age now) const;
    void startRetention(Entries::iterator it, Age now);
    Age window() const;

    std::uint64_t m_incarnation;
    KeyBinderSettings m_settings;
    Entries m_entries;
    std::multimap<Age, std::string> m_expiries; ///< One row per entry, at or before the end of its retention.
    std::map<std::string, std::size_t, std::less<>> m_entriesOfWorkspace;
};

/** Records since when an agent has owned each slot of a service, according to the documents it has received. */
class KeyOwnership
{
public:
    explicit KeyOwnership(std::string server);

    /** Applies the owners of @p document, which takes effect in this agent at the age @p now. */
    void update(const Document &document, Age now);

    /** Returns since when this agent has owned the slot; empty if it does not own it. */
    std::optional<Age> ownedSince(std::string_view service, std::size_t slot) const;

    /** The same for the slot of the request's key. */
    std::optional<Age> ownedSince(const BindRequest &request) const;

private:
    using Slots = std::vector<std::optional<Age>>;

    Slots ownedSlots(const Service &service, Age now) const;

    std::string m_server;
    std::map<std::string, Slots, std::less<>> m_slots;
};

} // namespace turmericline

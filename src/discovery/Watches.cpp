#include "discovery/Watches.h"

namespace cuminrelay {

namespace asio = boost::asio;

std::vector<UnreadableEntry> LoggedUnreadableEntries::takeNew(std::span<const UnreadableEntry> entries)
{
    std::vector<UnreadableEntry> newEntries;
    for (const UnreadableEntry& entry : entries) {
        const auto logged = m_logged.find(entry.m_name);
        if (logged != m_logged.end() && logged->second == entry.m_revision)
            continue;
        if (m_logged.size() >= s_maxNames)
            m_logged.clear();
        m_logged[entry.m_name] = entry.m_revision;
        newEntries.push_back(entry);
    }
    return newEntries;
}

BackendsWatch::BackendsWatch(
    Discovery& discovery, DiscoveryListener& listener, WatchEnvironment environment, std::uint64_t seed)
    : StoreWatch("backends", environment, seed)
    , m_discovery(discovery)
    , m_listener(listener)
    , m_environment(environment)
{
}

asio::awaitable<Outcome<StoreAnswer>> BackendsWatch::readAll(Deadline deadline)
{
    const Outcome<BackendList> list = co_await m_discovery.listBackends(deadline);
    if (!list)
        co_return list.error();
    recordUnreadable(list.value().m_unreadable);
    m_listener.backendsListed(list.value());
    co_return StoreAnswer { list.value().m_revision, true };
}

asio::awaitable<Outcome<StoreAnswer>> BackendsWatch::readChanges(
    StoreRevision afterRevision, Deadline waitUntil, Deadline deadline)
{
    const Outcome<BackendChanges> changes = co_await m_discovery.watchBackends(afterRevision, waitUntil, deadline);
    if (!changes)
        co_return changes.error();
    recordUnreadable(changes.value().m_unreadable);
    const bool hasChanges = !changes.value().m_changes.empty() || !changes.value().m_unreadable.empty();
    if (hasChanges)
        m_listener.backendsChanged(changes.value());
    co_return StoreAnswer { changes.value().m_revision, hasChanges };
}

void BackendsWatch::recordUnreadable(std::span<const UnreadableEntry> entries)
{
    for (const UnreadableEntry& entry : m_loggedEntries.takeNew(entries)) {
        m_environment.m_metrics.counter("cuminrelay_unreadable_entries_total", "backend").add();
        m_environment.m_log.warning("discovery", "backend_unreadable",
            { { "backend", entry.m_name }, { "revision", entry.m_revision.m_number }, { "error", entry.m_problem } });
    }
}

DeclarationsWatch::DeclarationsWatch(
    Discovery& discovery, DiscoveryListener& listener, WatchEnvironment environment, std::uint64_t seed)
    : StoreWatch("declarations", environment, seed)
    , m_discovery(discovery)
    , m_listener(listener)
    , m_environment(environment)
{
}

asio::awaitable<Outcome<StoreAnswer>> DeclarationsWatch::readAll(Deadline deadline)
{
    co_return notifyListener(co_await m_discovery.readDeclarations(deadline));
}

asio::awaitable<Outcome<StoreAnswer>> DeclarationsWatch::readChanges(
    StoreRevision afterRevision, Deadline waitUntil, Deadline deadline)
{
    co_return notifyListener(co_await m_discovery.watchDeclarations(afterRevision, waitUntil, deadline));
}

Outcome<StoreAnswer> DeclarationsWatch::notifyListener(const Outcome<DeclarationState>& state)
{
    if (!state)
        return state.error();
    // A restored copy may hold an earlier readable version in place of an unreadable one.
    if (state.value().m_declarations) {
        m_unreadableRevision = {};
        m_listener.declarationsChanged(*state.value().m_declarations, state.value().m_revision);
    }
    if (state.value().m_unreadable)
        recordUnreadable(*state.value().m_unreadable, state.value().m_revision);
    return StoreAnswer { state.value().m_revision,
        state.value().m_declarations.has_value() || state.value().m_unreadable.has_value() };
}

void DeclarationsWatch::recordUnreadable(const UnreadableEntry& declarations, StoreRevision readAt)
{
    m_unreadableRevision = declarations.m_revision != StoreRevision {} ? declarations.m_revision : readAt;
    m_environment.m_metrics.counter("cuminrelay_unreadable_entries_total", "declarations").add();
    m_environment.m_log.error("discovery", "declarations_unreadable",
        { { "revision", m_unreadableRevision.m_number }, { "error", declarations.m_problem } });
}

EvacuationsWatch::EvacuationsWatch(
    Discovery& discovery, DiscoveryListener& listener, WatchEnvironment environment, std::uint64_t seed)
    : StoreWatch("evacuations", environment, seed, EvacuationsWatch::s_maxWait)
    , m_discovery(discovery)
    , m_listener(listener)
    , m_environment(environment)
{
}

asio::awaitable<Outcome<StoreAnswer>> EvacuationsWatch::readAll(Deadline deadline)
{
    const Outcome<EvacuationList> list = co_await m_discovery.listEvacuations(deadline);
    if (!list)
        co_return list.error();
    recordUnreadable(list.value().m_unreadable);
    m_listener.evacuationsListed(list.value());
    co_return StoreAnswer { list.value().m_revision, true };
}

asio::awaitable<Outcome<StoreAnswer>> EvacuationsWatch::readChanges(
    StoreRevision afterRevision, Deadline waitUntil, Deadline deadline)
{
    const Outcome<EvacuationChanges> changes
        = co_await m_discovery.watchEvacuations(afterRevision, waitUntil, deadline);
    if (!changes)
        co_return changes.error();
    recordUnreadable(changes.value().m_unreadable);
    const bool hasChanges = !changes.value().m_changes.empty() || !changes.value().m_unreadable.empty();
    if (hasChanges)
        m_listener.evacuationsChanged(changes.value());
    co_return StoreAnswer { changes.value().m_revision, hasChanges };
}

void EvacuationsWatch::recordUnreadable(std::span<const UnreadableEntry> entries)
{
    for (const UnreadableEntry& entry : m_loggedEntries.takeNew(entries)) {
        m_environment.m_metrics.counter("cuminrelay_unreadable_entries_total", "evacuation").add();
        m_environment.m_log.warning("discovery", "evacuation_unreadable",
            { { "zone", entry.m_name }, { "revision", entry.m_revision.m_number }, { "error", entry.m_problem } });
    }
}

} // namespace cuminrelay

#include "discovery/Watches.h"

namespace cuminrelay {

namespace asio = boost::asio;

BackendsWatch::BackendsWatch(
    Discovery& discovery, DiscoveryListener& listener, WatchEnvironment environment, std::uint64_t seed)
    : StoreWatch("backends", environment, seed)
    , m_discovery(discovery)
    , m_listener(listener)
{
}

asio::awaitable<Outcome<StoreRevision>> BackendsWatch::readAll(Deadline deadline)
{
    const Outcome<BackendList> list = co_await m_discovery.listBackends(deadline);
    if (!list)
        co_return list.error();
    m_listener.backendsListed(list.value());
    co_return list.value().m_revision;
}

asio::awaitable<Outcome<StoreRevision>> BackendsWatch::readChanges(
    StoreRevision afterRevision, Deadline waitUntil, Deadline deadline)
{
    const Outcome<BackendChanges> changes = co_await m_discovery.watchBackends(afterRevision, waitUntil, deadline);
    if (!changes)
        co_return changes.error();
    if (!changes.value().m_changes.empty())
        m_listener.backendsChanged(changes.value());
    co_return changes.value().m_revision;
}

DeclarationsWatch::DeclarationsWatch(
    Discovery& discovery, DiscoveryListener& listener, WatchEnvironment environment, std::uint64_t seed)
    : StoreWatch("declarations", environment, seed)
    , m_discovery(discovery)
    , m_listener(listener)
{
}

asio::awaitable<Outcome<StoreRevision>> DeclarationsWatch::readAll(Deadline deadline)
{
    co_return notifyListener(co_await m_discovery.readDeclarations(deadline));
}

asio::awaitable<Outcome<StoreRevision>> DeclarationsWatch::readChanges(
    StoreRevision afterRevision, Deadline waitUntil, Deadline deadline)
{
    co_return notifyListener(co_await m_discovery.watchDeclarations(afterRevision, waitUntil, deadline));
}

Outcome<StoreRevision> DeclarationsWatch::notifyListener(const Outcome<DeclarationState>& state)
{
    if (!state)
        return state.error();
    if (state.value().m_declarations)
        m_listener.declarationsChanged(*state.value().m_declarations, state.value().m_revision);
    return state.value().m_revision;
}

} // namespace cuminrelay

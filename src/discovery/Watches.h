#pragma once

#include "discovery/Discovery.h"
#include "discovery/StoreWatch.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>

namespace cuminrelay {

class DiscoveryListener {
public:
    DiscoveryListener() = default;
    DiscoveryListener(const DiscoveryListener&) = delete;
    DiscoveryListener& operator=(const DiscoveryListener&) = delete;
    virtual ~DiscoveryListener() = default;

    virtual void backendsListed(const BackendList& list) = 0;
    virtual void backendsChanged(const BackendChanges& changes) = 0;
    virtual void declarationsChanged(const ServiceDeclarations& declarations, StoreRevision revision) = 0;
};

/// Logs and counts unreadable entries, each once per name and revision.
class UnreadableEntryLog {
public:
    explicit UnreadableEntryLog(WatchEnvironment environment);

    void record(std::span<const UnreadableEntry> entries);

private:
    /// Maximum number of names to remember; beyond it, all are forgotten and may be logged again.
    static constexpr std::size_t s_maxNames = 256;

    WatchEnvironment m_environment;
    std::map<std::string, StoreRevision, std::less<>> m_logged; ///< revision by name
};

class BackendsWatch final : public StoreWatch {
public:
    BackendsWatch(Discovery& discovery, DiscoveryListener& listener, WatchEnvironment environment, std::uint64_t seed);

protected:
    boost::asio::awaitable<Outcome<StoreAnswer>> readAll(Deadline deadline) override;
    boost::asio::awaitable<Outcome<StoreAnswer>> readChanges(
        StoreRevision afterRevision, Deadline waitUntil, Deadline deadline) override;

private:
    Discovery& m_discovery;
    DiscoveryListener& m_listener;
    UnreadableEntryLog m_unreadableLog;
};

class DeclarationsWatch final : public StoreWatch {
public:
    DeclarationsWatch(
        Discovery& discovery, DiscoveryListener& listener, WatchEnvironment environment, std::uint64_t seed);

    /// Revision of the last declarations that could not be used; 0: none. Earlier ones stay in force.
    StoreRevision unreadableRevision() const { return m_unreadableRevision; }

protected:
    boost::asio::awaitable<Outcome<StoreAnswer>> readAll(Deadline deadline) override;
    boost::asio::awaitable<Outcome<StoreAnswer>> readChanges(
        StoreRevision afterRevision, Deadline waitUntil, Deadline deadline) override;

private:
    Outcome<StoreAnswer> notifyListener(const Outcome<DeclarationState>& state);
    void recordUnreadable(const UnreadableEntry& declarations, StoreRevision readAt);

    Discovery& m_discovery;
    DiscoveryListener& m_listener;
    WatchEnvironment m_environment;
    StoreRevision m_unreadableRevision;
};

} // namespace cuminrelay

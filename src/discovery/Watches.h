#pragma once

#include "discovery/Discovery.h"
#include "discovery/StoreWatch.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

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
    virtual void evacuationsListed(const EvacuationList& list) = 0;
    virtual void evacuationsChanged(const EvacuationChanges& changes) = 0;
};

/// Finds the unreadable entries that have not been logged yet, each once per name and revision.
class LoggedUnreadableEntries {
public:
    std::vector<UnreadableEntry> takeNew(std::span<const UnreadableEntry> entries);

private:
    /// Maximum number of names to remember; beyond it, all are forgotten and may be logged again.
    static constexpr std::size_t s_maxNames = 256;

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
    void recordUnreadable(std::span<const UnreadableEntry> entries);

    Discovery& m_discovery;
    DiscoveryListener& m_listener;
    WatchEnvironment m_environment;
    LoggedUnreadableEntries m_loggedEntries;
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

class EvacuationsWatch final : public StoreWatch {
public:
    /// How long a call waits for changes. An unanswered watch has to be noticed, and the change to reach all VMs,
    /// within the 5 s in which an evacuation has to be in force.
    static constexpr Duration s_maxWait = std::chrono::milliseconds { 2'000 };

    EvacuationsWatch(
        Discovery& discovery, DiscoveryListener& listener, WatchEnvironment environment, std::uint64_t seed);

protected:
    boost::asio::awaitable<Outcome<StoreAnswer>> readAll(Deadline deadline) override;
    boost::asio::awaitable<Outcome<StoreAnswer>> readChanges(
        StoreRevision afterRevision, Deadline waitUntil, Deadline deadline) override;

private:
    void recordUnreadable(std::span<const UnreadableEntry> entries);

    Discovery& m_discovery;
    DiscoveryListener& m_listener;
    WatchEnvironment m_environment;
    LoggedUnreadableEntries m_loggedEntries;
};

} // namespace cuminrelay

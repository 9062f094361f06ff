#pragma once

#include "discovery/Discovery.h"
#include "discovery/StoreWatch.h"

#include <span>

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

class BackendsWatch final : public StoreWatch {
public:
    BackendsWatch(Discovery& discovery, DiscoveryListener& listener, WatchEnvironment environment, std::uint64_t seed);

protected:
    boost::asio::awaitable<Outcome<StoreRevision>> readAll(Deadline deadline) override;
    boost::asio::awaitable<Outcome<StoreRevision>> readChanges(
        StoreRevision afterRevision, Deadline waitUntil, Deadline deadline) override;

private:
    Discovery& m_discovery;
    DiscoveryListener& m_listener;
};

class DeclarationsWatch final : public StoreWatch {
public:
    DeclarationsWatch(
        Discovery& discovery, DiscoveryListener& listener, WatchEnvironment environment, std::uint64_t seed);

protected:
    boost::asio::awaitable<Outcome<StoreRevision>> readAll(Deadline deadline) override;
    boost::asio::awaitable<Outcome<StoreRevision>> readChanges(
        StoreRevision afterRevision, Deadline waitUntil, Deadline deadline) override;

private:
    Outcome<StoreRevision> notifyListener(const Outcome<DeclarationState>& state);

    Discovery& m_discovery;
    DiscoveryListener& m_listener;
};

} // namespace cuminrelay

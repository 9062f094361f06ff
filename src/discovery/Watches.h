#pragma once

#include "discovery/Discovery.h"
#include "discovery/StoreWatch.h"

#include <span>

namespace cuminrelay {

/// Who is told what the watches learn.
class DiscoveryListener {
public:
    DiscoveryListener() = default;
    DiscoveryListener(const DiscoveryListener&) = delete;
    DiscoveryListener& operator=(const DiscoveryListener&) = delete;
    virtual ~DiscoveryListener() = default;

    virtual void backendsListed(const BackendList& list) = 0;
    virtual void backendsChanged(const BackendChanges& changes) = 0;
    virtual void declared(const ServiceDeclarations& declarations) = 0;

    /// Whether declarations are known to be current: a service that is not among them does not exist.
    virtual void declarationsCurrent(bool current) = 0;
};

/// Follows the backend servers.
class BackendsWatch final : public StoreWatch {
public:
    BackendsWatch(Discovery& discovery, DiscoveryListener& listener, WatchEnvironment environment, std::uint64_t seed);

protected:
    boost::asio::awaitable<Outcome<StoreRevision>> takeAll(Deadline deadline) override;
    boost::asio::awaitable<Outcome<StoreRevision>> takeChanges(
        StoreRevision known, Deadline waitUntil, Deadline deadline) override;
    void contactChanged(bool isInContact) override;

private:
    Discovery& m_discovery;
    DiscoveryListener& m_listener;
};

/// Follows the declared services.
class DeclarationsWatch final : public StoreWatch {
public:
    DeclarationsWatch(
        Discovery& discovery, DiscoveryListener& listener, WatchEnvironment environment, std::uint64_t seed);

protected:
    boost::asio::awaitable<Outcome<StoreRevision>> takeAll(Deadline deadline) override;
    boost::asio::awaitable<Outcome<StoreRevision>> takeChanges(
        StoreRevision known, Deadline waitUntil, Deadline deadline) override;
    void contactChanged(bool isInContact) override;

private:
    Outcome<StoreRevision> handOn(const Outcome<DeclarationState>& state);

    Discovery& m_discovery;
    DiscoveryListener& m_listener;
};

} // namespace cuminrelay

#pragma once

#include "affinity/ServiceMap.h"
#include "discovery/Discovery.h"
#include "exchange/LoadMessage.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace cuminrelay {

/// What is new of the declarations.
struct DeclarationNews {
    bool m_isComplete = false; ///< m_changed holds all services; otherwise what has changed
    std::vector<DeclaredService> m_changed;
    std::vector<std::string> m_removed; ///< names
    ServiceDeclarations m_rest; ///< everything but the services
};

/// What one entry VM tells another of the store.
struct News {
    bool m_isComplete = false; ///< m_backends holds all of them; otherwise what has changed
    std::vector<AnnouncedBackend> m_backends;
    std::vector<BackendIdentity> m_withdrawn;
    StoreRevision m_backendsRevision;
    std::optional<DeclarationNews> m_declarations;
    StoreRevision m_declarationsRevision;
};

/// What news that is not complete changes of the backend servers.
BackendChanges changesOf(const News& news);

/// What this entry VM knows of the store, from the store itself or from others, and since when: answers what is new
/// since a state that another VM knows. What is older than the state held is never taken, whoever tells it.
/// Memory: O(backend servers and services); the last s_keptRemovals of each that are gone, and s_keptVersions numbers.
class NewsBook {
public:
    static constexpr std::size_t s_keptRemovals = 2'048;
    static constexpr std::size_t s_keptVersions = 64;

    /// Take what is new; false, and nothing is taken, when it is not newer than what is held. Changes that are none do
    /// not make the state a newer one, unless another VM tells them.
    bool take(const BackendList& list);
    bool take(const BackendChanges& changes);
    bool take(const ServiceDeclarations& declarations, StoreRevision revision);

    /// The whole declarations that news from another VM make of the ones held; nothing when they are not newer, or do
    /// not follow on what is held.
    std::optional<ServiceDeclarations> merged(const DeclarationNews& news) const;

    /// What is new since a state. Everything when what has changed since is no longer known.
    News since(const KnownState& known) const;

    KnownState state() const { return { m_backendsRevision, m_rest.m_version }; }

private:
    struct Entry {
        AnnouncedBackend m_backend;
        StoreRevision m_revision; ///< when it changed last
    };

    struct ServiceEntry {
        DeclaredService m_service;
        ConfigVersion m_version; ///< when it changed last
    };

    void removeService(const std::string& name, ConfigVersion version);
    DeclarationNews declarationsSince(ConfigVersion known) const;
    void withdraw(BackendIdentity identity, StoreRevision revision);

    std::map<BackendIdentity, Entry> m_backends;
    std::map<BackendIdentity, StoreRevision> m_withdrawn;
    StoreRevision m_backendsRevision;
    StoreRevision m_changesSince; ///< changes after this are known one by one
    std::map<std::string, ServiceEntry, std::less<>> m_services; ///< by name
    std::map<std::string, ConfigVersion, std::less<>> m_removedServices;
    ServiceDeclarations m_rest; ///< everything but the services
    ConfigVersion m_servicesSince; ///< removals after this are known
    std::set<ConfigVersion> m_heldVersions; ///< what changed since others than these is not known
    StoreRevision m_declarationsRevision;
};

} // namespace cuminrelay

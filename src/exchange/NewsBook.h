#pragma once

#include "affinity/ServiceMap.h"
#include "discovery/Discovery.h"
#include "exchange/LoadMessage.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace cuminrelay {

/// What one entry VM tells another of the store.
struct News {
    bool m_isComplete = false; ///< m_backends holds all of them; otherwise what has changed
    std::vector<AnnouncedBackend> m_backends;
    std::vector<BackendIdentity> m_withdrawn;
    StoreRevision m_backendsRevision;
    std::optional<ServiceDeclarations> m_declarations;
    StoreRevision m_declarationsRevision;
};

/// What this entry VM knows of the store, from the store itself or from others, and since when: answers what is new
/// since a state that another VM knows. What is older than the state held is never taken, whoever tells it.
/// Memory: O(backend servers and services); withdrawals of the last c_keptWithdrawals.
class NewsBook {
public:
    static constexpr std::size_t c_keptWithdrawals = 512;

    /// Take what is new; false, and nothing is taken, when it is not newer than what is held. Changes that are none do
    /// not make the state a newer one, unless another VM tells them.
    bool take(const BackendList& list);
    bool take(const BackendChanges& changes);
    bool take(const ServiceDeclarations& declarations, StoreRevision revision);

    /// What is new since a state. Everything when what has changed since is no longer known.
    News since(const KnownState& known) const;

    KnownState state() const { return { m_backendsRevision, m_declarations.m_version }; }

private:
    struct Entry {
        AnnouncedBackend m_backend;
        StoreRevision m_revision; ///< when it changed last
    };

    void withdraw(BackendIdentity identity, StoreRevision revision);

    std::map<BackendIdentity, Entry> m_backends;
    std::map<BackendIdentity, StoreRevision> m_withdrawn;
    StoreRevision m_backendsRevision;
    StoreRevision m_changesSince; ///< changes after this are known one by one
    ServiceDeclarations m_declarations;
    StoreRevision m_declarationsRevision;
};

} // namespace cuminrelay

#pragma once

#include "affinity/ServiceMap.h"
#include "discovery/Discovery.h"
#include "exchange/LoadMessage.h"
#include "exchange/RestoredEntries.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

struct DeclarationUpdate {
    bool m_isComplete = false; ///< m_changed lists all services; otherwise the changed ones
    std::vector<DeclaredService> m_changed;
    std::vector<std::string> m_removed; ///< names of services
    ServiceDeclarations m_otherFields; ///< all but the services
};

/// Changes of the store that one entry VM sends to another.
struct StoreUpdate {
    bool m_isComplete = false; ///< m_backends lists all; otherwise the changed ones
    std::vector<AnnouncedBackend> m_backends;
    std::vector<BackendIdentity> m_withdrawn;
    std::vector<BackendIdentity> m_unreadable; ///< have entries that the sender cannot read; they have not left
    StoreRevision m_backendsRevision;
    std::optional<DeclarationUpdate> m_declarations;
    StoreRevision m_declarationsRevision;
};

/// The backend servers in a StoreUpdate that is complete.
BackendList listOf(const StoreUpdate& update);

/// The backend server changes in a StoreUpdate that is not complete.
BackendChanges changesOf(const StoreUpdate& update);

/// This entry VM's copy of the store, received from it or from other VMs, with the version of each entry's last change.
/// Computes the changes relative to the versions of another VM. Rejects older data from any source; a newer era of the
/// store makes data newer, whatever its revision.
/// What it holds of the backend servers follows from the store's entries alone, except for the last readable content of
/// an entry that cannot be read any more: a VM has it if it, or a VM that sent it an update, read the entry before.
/// Memory: O(backend servers and services), the last s_maxRemovals removals of each, and s_maxVersions versions.
class StoreCache {
public:
    static constexpr std::size_t s_maxRemovals = 2'048;
    static constexpr std::size_t s_maxVersions = 64;

    /// Replace unreadable entries by what is known of their backend servers: those drain, so that their flows stay and
    /// they get no new ones until their entries can be read again. Unreadable entries of unknown backend servers stay
    /// unreadable in a list, and lead to no backend server. Call for what the store, or another VM, sent.
    ///
    /// Of two entries of different names with one identity, the later start counts, whatever the order in which they
    /// are learned of; changes of the other one have no effect.
    BackendList withoutUnreadable(BackendList list) const;
    BackendChanges withoutUnreadable(BackendChanges changes) const;

    /// Reconcile a list or changes that the store or another VM sent with what is known, if the store came back from an
    /// older copy; see RestoredEntries. Call before apply.
    BackendList reconciled(BackendList list, Instant now);
    BackendChanges reconciled(BackendChanges changes);

    /// Removes and returns the backend servers whose entries stayed missing after a restore, in a state that is
    /// confirmed as of this time. Each VM does so by itself.
    std::vector<BackendIdentity> takeGone(Instant confirmedAt);

    const RestoredEntries& restored() const { return m_restored; }

    /// Store newer data, and a list also of the same revision; otherwise return false without effect. Empty changes,
    /// which only another VM sends and never the watch of the store, advance the revision too.
    bool apply(const BackendList& list);
    bool apply(const BackendChanges& changes);
    bool apply(const ServiceDeclarations& declarations, StoreRevision revision);

    /// Returns the stored declarations with another VM's changes applied, or nullopt if the changes are not newer, or
    /// are incremental while no declarations are stored.
    std::optional<ServiceDeclarations> merged(const DeclarationUpdate& update) const;

    /// Changes relative to these versions; complete when the history does not reach back to them.
    StoreUpdate updateSince(const StoreVersions& held) const;

    StoreVersions state() const { return { m_backendsRevision, m_otherFields.m_version }; }

    /// Backend servers whose entries exist and cannot be read, and of which nothing else is known. Another VM may have
    /// read them before.
    const std::map<BackendIdentity, StoreRevision>& unreadable() const { return m_unreadable; }

    /// Revision at which the declarations were read from the store; 0: none are stored.
    StoreRevision declarationsRevision() const { return m_declarationsRevision; }

private:
    struct ServiceEntry {
        DeclaredService m_service;
        ConfigVersion m_version; ///< of the last change
    };

    void removeService(const std::string& name, ConfigVersion version);
    DeclarationUpdate declarationsSince(ConfigVersion held) const;
    void withdraw(BackendIdentity identity, StoreRevision revision);

    std::map<BackendIdentity, CachedBackend> m_backends;
    std::map<BackendIdentity, RemovedBackend> m_withdrawn;
    std::map<BackendIdentity, StoreRevision> m_unreadable; ///< by entries that exist; their backend servers are unknown
    RestoredEntries m_restored;
    StoreRevision m_backendsRevision;
    StoreRevision m_backendHistoryStart; ///< later changes are tracked one by one
    std::map<std::string, ServiceEntry, std::less<>> m_services; ///< by name
    std::map<std::string, ConfigVersion, std::less<>> m_removedServices;
    ServiceDeclarations m_otherFields; ///< all but the services
    ConfigVersion m_serviceRemovalHistoryStart; ///< later removals are tracked
    std::set<ConfigVersion> m_heldVersions; ///< changes are tracked relative to these only
    StoreRevision m_declarationsRevision;
};

} // namespace cuminrelay

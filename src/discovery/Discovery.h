#pragma once

#include "affinity/Backend.h"
#include "affinity/ServiceMap.h"
#include "base/Error.h"
#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminrelay {

/// The version of the store's content: grows with each change, and is 0 before the first. A store that comes back from
/// an older copy begins a new era, in which numbers of the era before are given out again.
struct StoreRevision {
    std::uint64_t m_number = 0;
    std::uint32_t m_era = 0; ///< 0: the store does not number its eras

    friend constexpr bool operator==(StoreRevision, StoreRevision) = default;
    friend constexpr std::strong_ordering operator<=>(StoreRevision left, StoreRevision right)
    {
        const std::strong_ordering byEra = left.m_era <=> right.m_era;
        return byEra != 0 ? byEra : left.m_number <=> right.m_number;
    }
};

/// An entry or object that another writer left, or that a newer program wrote, and that cannot be used.
struct UnreadableEntry {
    std::string m_name; ///< empty if even the name cannot be read
    StoreRevision m_revision; ///< of its last change; 0 if it cannot be read
    std::string m_problem; ///< what was found and what is allowed
    std::optional<BackendIdentity> m_identity {}; ///< of the backend server whose name it has, if any
};

struct BackendList {
    std::vector<AnnouncedBackend> m_backends;
    std::vector<UnreadableEntry> m_unreadable; ///< name no backend server to use
    StoreRevision m_revision;
};

/// One added, changed or removed entry.
struct BackendChange {
    BackendIdentity m_identity;
    std::optional<AnnouncedBackend> m_backend; ///< empty: removed, or unreadable
    std::string m_name {}; ///< of the entry; empty in a change that another VM sent
    bool m_isUnreadable = false; ///< the entry exists, but names no backend server to use
};

/// The changes of entries in the order in which they were made.
struct BackendChanges {
    std::vector<BackendChange> m_changes;
    std::vector<UnreadableEntry> m_unreadable; ///< after these changes, also those whose names are of no backend server
    StoreRevision m_revision;
};

/// The declared services; empty if they have not changed or none have been declared yet.
struct DeclarationState {
    std::optional<ServiceDeclarations> m_declarations;
    std::optional<UnreadableEntry> m_unreadable; ///< the last stored declarations, if they cannot be used
    StoreRevision m_revision;
};

/// The availability zones whose evacuation the operators request.
struct EvacuationList {
    std::vector<std::string> m_zones;
    std::vector<UnreadableEntry> m_unreadable; ///< name no zone
    StoreRevision m_revision;
};

/// The last change of the request for each zone.
struct EvacuationChanges {
    struct Change {
        std::string m_zone;
        bool m_isEvacuated = false; ///< false: the request was removed
    };

    std::vector<Change> m_changes;
    std::vector<UnreadableEntry> m_unreadable; ///< name no zone
    StoreRevision m_revision;
};

/// Reads announced backend servers, declared services and evacuations from the store. One task at a time may use an
/// instance. Errors of all calls: Unavailable if no usable answer arrived by the deadline.
class Discovery {
public:
    Discovery() = default;
    Discovery(const Discovery&) = delete;
    Discovery& operator=(const Discovery&) = delete;
    virtual ~Discovery() = default;

    /// A list may consist of several pages. The deadline is that of the first; each further page may take as long.
    virtual boost::asio::awaitable<Outcome<BackendList>> listBackends(Deadline deadline) = 0;

    /// Waits for changes after a revision; returns an empty list if there were none by waitUntil. Errors: also Stale if
    /// the store no longer holds the changes since that revision.
    virtual boost::asio::awaitable<Outcome<BackendChanges>> watchBackends(
        StoreRevision afterRevision, Deadline waitUntil, Deadline deadline)
        = 0;

    virtual boost::asio::awaitable<Outcome<DeclarationState>> readDeclarations(Deadline deadline) = 0;

    /// As watchBackends.
    virtual boost::asio::awaitable<Outcome<DeclarationState>> watchDeclarations(
        StoreRevision afterRevision, Deadline waitUntil, Deadline deadline)
        = 0;

    virtual boost::asio::awaitable<Outcome<EvacuationList>> listEvacuations(Deadline deadline) = 0;

    /// As watchBackends.
    virtual boost::asio::awaitable<Outcome<EvacuationChanges>> watchEvacuations(
        StoreRevision afterRevision, Deadline waitUntil, Deadline deadline)
        = 0;
};

} // namespace cuminrelay

#pragma once

#include "affinity/Backend.h"
#include "affinity/ServiceMap.h"
#include "base/Error.h"
#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <vector>

namespace cuminrelay {

/// The version of the store's content: grows with each change, and is 0 before the first.
struct StoreRevision {
    std::uint64_t m_number = 0;

    friend constexpr auto operator<=>(StoreRevision, StoreRevision) = default;
};

struct BackendList {
    std::vector<AnnouncedBackend> m_backends;
    std::size_t m_unreadable = 0; ///< entries that describe no usable backend server
    StoreRevision m_revision;
};

/// One added, changed or removed entry.
struct BackendChange {
    BackendIdentity m_identity;
    std::optional<AnnouncedBackend> m_backend; ///< empty: removed or no longer readable
};

struct BackendChanges {
    std::vector<BackendChange> m_changes;
    std::size_t m_unreadable = 0;
    StoreRevision m_revision;
};

/// The declared services; empty if they have not changed or none have been declared yet.
struct DeclarationState {
    std::optional<ServiceDeclarations> m_declarations;
    StoreRevision m_revision;
};

/// Reads announced backend servers and declared services from the store. One task at a time may use an instance.
/// Errors of all calls: Unavailable if no usable answer arrived by the deadline.
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
};

} // namespace cuminrelay

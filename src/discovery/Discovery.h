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

/// A state of the store: it grows with each change. 0 is before the first.
struct StoreRevision {
    std::uint64_t m_number = 0;

    friend constexpr auto operator<=>(StoreRevision, StoreRevision) = default;
};

/// All backend servers that announce themselves.
struct BackendList {
    std::vector<AnnouncedBackend> m_backends;
    std::size_t m_unreadable = 0; ///< entries that name no backend server to use
    StoreRevision m_revision;
};

/// One entry that is new, has changed or has vanished.
struct BackendChange {
    BackendIdentity m_identity;
    std::optional<AnnouncedBackend> m_backend; ///< nothing: it vanished or can no longer be read
};

struct BackendChanges {
    std::vector<BackendChange> m_changes;
    std::size_t m_unreadable = 0;
    StoreRevision m_revision;
};

/// The declared services, or nothing when they have not changed or have not been declared yet.
struct DeclarationState {
    std::optional<ServiceDeclarations> m_declarations;
    StoreRevision m_revision;
};

/// Where backend servers announce themselves and operators declare services. One task at a time may use an instance.
/// Errors of all calls: Unavailable when no usable answer came by the deadline.
class Discovery {
public:
    Discovery() = default;
    Discovery(const Discovery&) = delete;
    Discovery& operator=(const Discovery&) = delete;
    virtual ~Discovery() = default;

    /// A list may come in several parts; the deadline is that of the first, and each further one may take as long.
    virtual boost::asio::awaitable<Outcome<BackendList>> listBackends(Deadline deadline) = 0;

    /// Waits for changes after a revision; returns none when there were none by waitUntil. Errors: also Stale when the
    /// store no longer knows what changed since.
    virtual boost::asio::awaitable<Outcome<BackendChanges>> watchBackends(
        StoreRevision known, Deadline waitUntil, Deadline deadline)
        = 0;

    virtual boost::asio::awaitable<Outcome<DeclarationState>> readDeclarations(Deadline deadline) = 0;

    /// As watchBackends.
    virtual boost::asio::awaitable<Outcome<DeclarationState>> watchDeclarations(
        StoreRevision known, Deadline waitUntil, Deadline deadline)
        = 0;
};

} // namespace cuminrelay

#pragma once

#include "affinity/Backend.h"
#include "affinity/LifeSigns.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace cuminrelay {

/// What the store says of a backend server.
enum class Presence : std::uint8_t {
    Announced,
    Lapsed, ///< its entry vanished while it served: it crashed, or could not renew the entry and will be back
    Departed, ///< it has left, or its entry stayed away
};

/// Work at a backend server, as one or more entry VMs see it.
struct BackendLoad {
    std::uint32_t m_activeRequests = 0;
    std::uint32_t m_longFlows = 0; ///< open flows that carry one request after the other

    friend constexpr bool operator==(const BackendLoad&, const BackendLoad&) = default;
};

/// What this entry VM knows of one backend server.
struct KnownBackend {
    AnnouncedBackend m_announced;
    BackendToken m_token;
    Presence m_presence = Presence::Announced;
    Instant m_withdrawnAt {}; ///< when the entry vanished; meaningful unless Announced
    Deadline m_presenceEnds {}; ///< when Lapsed becomes Departed, or Departed is forgotten
    LifeSigns m_life;
    bool m_confirmedDead = false; ///< silent to callers, and it did not take a connection either
    bool m_isProbed = false; ///< a connection to it is being opened
    Deadline m_probeAt {}; ///< not to be asked again before
    Duration m_recheckDelay {}; ///< grows with each time that it was found dead still
    BackendLoad m_own; ///< by flows that pass this VM
    BackendLoad m_peers; ///< as other VMs tell

    /// Whether it may get new flows as far as its entry says.
    bool takesNewFlows() const { return m_presence != Presence::Departed && !m_announced.m_server.m_draining; }
};

/// How long an entry that vanished while its backend server served may be away before the backend server counts as
/// gone: those that live are back within two seconds of the store's return.
inline constexpr Duration c_lapseGrace = std::chrono::milliseconds { 2'500 };

/// How long a backend server that has departed is remembered, so that its flows can be told: the longest life of a
/// flow.
inline constexpr Duration c_departedMemory = std::chrono::seconds { 60 };

/// All backend servers that this entry VM has heard of, by the token that packets carry. Two that share a token are
/// told apart by age: the older one keeps it, the younger one is not used at all until the older one is forgotten, on
/// every VM alike. References stay valid until the backend server is forgotten. Memory: some 500 bytes for each.
class BackendCatalog {
public:
    /// Takes the complete list: whoever is not in it has withdrawn its entry.
    void replaceAll(std::span<const AnnouncedBackend> announced, Instant now);

    /// Takes one entry that is new or has changed.
    void announce(const AnnouncedBackend& announced, Instant now);

    /// An entry has vanished, or can no longer be read.
    void withdraw(BackendIdentity identity, Instant now);

    /// Lets lapses end and forgets who departed long ago; call at least twice a second.
    void tick(Instant now);

    /// The backend server that a token names, or nullptr. Cost: O(1).
    KnownBackend* find(BackendToken token);
    const KnownBackend* find(BackendToken token) const;

    /// Grows with each change of who is there or of what it announces.
    std::uint64_t generation() const { return m_generation; }

    template <typename Visitor> void forEach(Visitor visit)
    {
        for (auto& [token, backend] : m_backends)
            visit(backend);
    }

    template <typename Visitor> void forEach(Visitor visit) const
    {
        for (const auto& [token, backend] : m_backends)
            visit(backend);
    }

    std::size_t size() const { return m_backends.size(); }

private:
    /// An address has one owner: whoever had it before a younger one announces it is gone, whatever its entry says.
    void retirePreviousOwner(const AnnouncedBackend& announced, Instant now);
    void update(KnownBackend& known, const AnnouncedBackend& announced, Instant now);

    std::unordered_map<std::uint32_t, KnownBackend> m_backends; ///< by token; a node-based map keeps references valid
    std::map<BackendIdentity, AnnouncedBackend> m_shadowed; ///< younger ones whose token is taken
    std::uint64_t m_generation = 0;
};

} // namespace cuminrelay

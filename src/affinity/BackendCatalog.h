#pragma once

#include "affinity/Backend.h"
#include "affinity/LivenessTracker.h"
#include "base/Time.h"
#include "pace/PaceTracker.h"
#include "warmup/WarmupBudget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace cuminrelay {

/// State of a backend server's store entry.
enum class Presence : std::uint8_t {
    Announced,
    Expired, ///< entry disappeared, not draining: the server crashed, or failed to renew the entry and will return
    Departed, ///< shut down, entry stayed absent, or superseded: a younger backend server has the address
};

/// Load of a backend server, as observed by one or more entry VMs.
struct BackendLoad {
    std::uint32_t m_activeRequests = 0;
    std::uint32_t m_longFlows = 0; ///< open flows that carry successive requests

    friend constexpr bool operator==(const BackendLoad&, const BackendLoad&) = default;
};

struct TrackedBackend {
    AnnouncedBackend m_announced;
    BackendToken m_token;
    Presence m_presence = Presence::Announced;
    bool m_isSuperseded = false; ///< Departed although its entry is there
    Instant m_withdrawnAt {}; ///< when the entry disappeared or was superseded; valid unless Announced
    Deadline m_presenceDeadline {}; ///< end of Expired, or removal if Departed
    LivenessTracker m_liveness;
    bool m_confirmedDead = false; ///< unresponsive to callers and a probe, or replaced at its address
    bool m_isProbed = false; ///< a probe is in progress
    Deadline m_probeAt {}; ///< earliest time of the next probe
    Duration m_recheckDelay {}; ///< grows with each recheck that finds it still dead
    BackendLoad m_localLoad; ///< from flows that pass this VM
    BackendLoad m_peerLoad; ///< as reported by other VMs
    std::optional<double> m_warmupRate; ///< declared; empty: not looked up yet
    WarmupPermits m_warmupPermits;
    PaceTracker m_pace;
    PaceReason m_reportedPace = PaceReason::Steady; ///< the last one that the observer was told

    /// Whether its entry permits new flows.
    bool acceptsNewFlows() const { return m_presence != Presence::Departed && !m_announced.m_server.m_draining; }
};

/// Time from the disappearance of a serving backend server's entry until it counts as departed. Live backend servers
/// renew their entries within two seconds after the store recovers.
inline constexpr Duration c_expiredEntryGrace = std::chrono::milliseconds { 2'500 };

/// Retention of a departed backend server, so that its flows can be reset: the maximum lifetime of a flow.
inline constexpr Duration c_departedRetention = std::chrono::seconds { 60 };

/// Backend servers announced to this entry VM, by the token that packets carry. When two share a token, the older one
/// keeps it and the younger one is not used until the older one is removed, on every VM alike. An address has one
/// owner, the youngest backend server that is announced there, in whatever order they were announced: it supersedes the
/// others until its entry disappears. References stay valid until the backend server is removed. Memory: some 600 bytes
/// for each backend server.
class BackendCatalog {
public:
    /// Applies the complete list: entries that are not in it are withdrawn.
    void replaceAll(std::span<const AnnouncedBackend> announced, Instant now);

    void announce(const AnnouncedBackend& announced, Instant now);

    /// Applies that an entry has disappeared or become unreadable.
    void withdraw(BackendIdentity identity, Instant now);

    /// Applies that a backend server is gone for good, whose entry disappeared earlier.
    void depart(BackendIdentity identity, Instant now);

    /// Ends grace periods and removes backend servers after c_departedRetention; call at least twice a second.
    void tick(Instant now);

    /// Returns the backend server of a token, or nullptr. Cost: O(1).
    TrackedBackend* find(BackendToken token);
    const TrackedBackend* find(BackendToken token) const;

    /// Increases with each change of a backend server's presence or announcement.
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
    /// Adds or updates a backend server. Its address may have several owners afterwards.
    void apply(const AnnouncedBackend& announced, Instant now);

    /// Whether the entry of a backend server is there.
    static bool isListed(const TrackedBackend& tracked);

    /// Decide which of the backend servers announced at an address, or at each address, is its owner. Cost:
    /// O(backend servers).
    void updateOwner(Endpoint address, Instant now);
    void updateOwners(Instant now);

    /// Supersedes or reinstates a backend server. latestStart: of those that are announced at its address.
    void applyOwner(TrackedBackend& tracked, std::uint64_t latestStart, Instant now);

    /// The backend server with this identity whose entry is there, or nullptr.
    TrackedBackend* findListed(BackendIdentity identity);
    void remove(TrackedBackend& tracked, Presence presence, Instant now);
    void recordStart(TrackedBackend& tracked, Instant now);
    void update(TrackedBackend& tracked, const AnnouncedBackend& announced, Instant now);

    std::unordered_map<std::uint32_t, TrackedBackend> m_backends; ///< by token; a node-based map keeps references valid
    std::map<BackendIdentity, AnnouncedBackend> m_shadowed; ///< not used: an older one has the token
    std::uint64_t m_generation = 0;
    Deadline m_startsCountFrom {}; ///< backend servers first seen earlier may have started long ago; epoch: none seen
};

} // namespace cuminrelay

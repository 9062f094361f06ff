#pragma once

#include "discovery/Discovery.h"
#include "evacuation/EvacuatedZones.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminrelay {

/// A zone whose evacuation began or ended at this entry VM.
struct EvacuationEvent {
    std::string m_zone;
    bool m_isEvacuated = false;
    bool m_isRetained = false; ///< evacuated only because of what the store listed before a restore
};

/// The availability zones whose backend servers get no new flows, because the operators requested it in the store.
/// Learned from the store or from another VM; the state with the newer revision counts. The state is complete at each
/// revision, so that a gap in the history of the store loses nothing.
///
/// When the store comes back from an older copy, it may lack requests that it acknowledged. Zones that were evacuated
/// before and are not listed after it stay evacuated for s_retention, in which the operators' tools write them again,
/// unless a request is seen to be removed in the new era.
class Evacuations {
public:
    /// Covers the stable window after a restore and the time in which acknowledged requests are written again, 5 s
    /// each.
    static constexpr Duration s_retention = std::chrono::seconds { 10 };

    /// zones: all zones of the deployment; requests for others are ignored. Empty: unknown, none is ignored.
    explicit Evacuations(std::span<const std::string> zones);

    /// Apply newer data of the store, and a list also of the same revision; otherwise return false without effect.
    bool apply(const EvacuationList& list, Instant now);
    bool apply(const EvacuationChanges& changes, Instant now);

    /// Applies another VM's report as of a revision. Returns false without effect if it adds nothing.
    bool apply(const EvacuatedZones& reported, StoreRevision revision, Instant now);

    /// Ends the retention of zones. Returns whether any ended. Call at least every 100 ms.
    bool tick(Instant now);

    /// Whether the store's requests are known, directly or from another VM.
    bool isKnown() const { return m_revision != StoreRevision {}; }

    StoreRevision revision() const { return m_revision; }

    /// The evacuated zones, retained ones included.
    std::vector<ZoneHash> inForce() const;

    /// The time since when each evacuated zone is evacuated at this VM, by name.
    std::map<std::string, Instant> sinceByName() const;

    /// For other VMs.
    EvacuatedZones report(Instant now) const;

    /// The evacuations that began or ended since the last call.
    std::vector<EvacuationEvent> takeEvents() { return std::exchange(m_events, {}); }

    /// The names of requests that were ignored since the last call, each once: no zone of the deployment has the name,
    /// or more than EvacuatedZones::s_maxZones are evacuated.
    std::vector<std::string> takeIgnored();

private:
    using Zones = std::set<ZoneHash>;

    /// Whether a request for a zone counts; records the name if it does not.
    bool accepts(const std::string& zone, const Zones& listed);

    /// Replaces the listed zones by those as of a newer revision.
    void replaceListed(Zones listed, StoreRevision revision, Instant now);
    void updateSince(Instant now);
    std::string nameOf(ZoneHash zone) const;

    std::map<ZoneHash, std::string> m_names; ///< of the deployment's zones, and of others that were requested
    bool m_areZonesKnown = false; ///< m_names holds all zones of the deployment
    StoreRevision m_revision;
    Zones m_listed;
    Zones m_retained;
    Deadline m_retainedUntil {};
    bool m_hasRetainedInEra = false; ///< a retention began in the era of m_revision; another VM's adds nothing
    std::map<ZoneHash, Instant> m_since; ///< of the zones in force
    std::vector<EvacuationEvent> m_events;
    std::set<std::string> m_ignored;
    std::vector<std::string> m_newlyIgnored;
};

} // namespace cuminrelay

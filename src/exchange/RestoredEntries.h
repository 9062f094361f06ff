#pragma once

#include "discovery/Discovery.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace cuminrelay {

/// The last write of a backend server's entry that this VM knows.
struct EntryVersion {
    std::uint64_t m_startedAtUnixMs = 0;
    std::uint64_t m_sequence = 0; ///< since that start

    friend constexpr auto operator<=>(EntryVersion, EntryVersion) = default;
};

EntryVersion entryVersionOf(const AnnouncedBackend& backend);

/// A backend server's entry, with the revision of its last change.
struct CachedBackend {
    AnnouncedBackend m_backend;
    StoreRevision m_revision;
};

/// A removed entry, with the revision of its removal.
struct RemovedBackend {
    StoreRevision m_revision;
    EntryVersion m_version; ///< {}: this VM never knew the entry
};

/// Decides which entries count after the store came back from an older copy, in which the newest writes are missing and
/// removed entries are back. Live backend servers write their entries again, which raises their sequence numbers.
///
/// - An entry that is older than the one known counts as the one known: a draining backend server goes on draining.
/// - An entry that had been removed counts once it was written again. Until then the backend server may be gone and its
///   address may have a new owner.
/// - A missing entry stays for WatchSchedule::s_restoreSettleTime. If a state confirmed as of then still lacks it, its
///   backend server is gone.
///
/// Memory: O(entries that differ from the copy).
class RestoredEntries {
public:
    using Known = std::map<BackendIdentity, CachedBackend>;
    using Removed = std::map<BackendIdentity, RemovedBackend>;

    /// Merges the first list of a new era with what was known before it. Replaces the decisions about earlier eras.
    BackendList merge(BackendList list, const Known& known, const Removed& removed, Instant now);

    /// Applies the decisions to a later list, or to changes, of the same era. Without effect before the first merge.
    BackendList filter(BackendList list, const Known& known, const Removed& removed);
    BackendChanges filter(BackendChanges changes, const Known& known);

    /// Removes and returns the backend servers whose entries stayed missing in a state that is confirmed as of this
    /// time. A VM that has lost the store and its peers keeps them: it would not learn of the entries that are written
    /// again.
    std::vector<BackendIdentity> takeGone(Instant confirmedAt);

    /// Whether an entry counts although the store does not hold it.
    bool isRetained(BackendIdentity identity) const { return m_retained.contains(identity); }

    std::size_t ignored() const { return m_ignored.size(); }
    std::size_t retained() const { return m_retained.size(); }

private:
    bool isIgnored(const AnnouncedBackend& backend);

    /// Replaces an entry that is older than the known one by that one.
    static void keepNewer(AnnouncedBackend& backend, const Known& known);

    bool m_hasMerged = false;
    std::map<BackendIdentity, EntryVersion> m_ignored; ///< entries of the copy that do not count unless written again
    std::map<BackendIdentity, Deadline> m_retained; ///< missing entries and when they cease to count
};

} // namespace cuminrelay

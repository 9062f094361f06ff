#pragma once

#include "base/Error.h"
#include "base/Time.h"
#include "configuration/ConfigurationHolder.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cuminrelay {

/// A simulated platform store: one object with versions, conditional writes and injected faults.
class ChangeStore {
public:
    explicit ChangeStore(Configuration first);

    /// Errors: Unavailable while the store is down.
    Outcome<SharedConfiguration> read(Instant now) const;

    /// expected: the version that has to be stored; nullopt for an unconditional write. Errors: Unavailable while the
    /// store is down; Conflict if another version is stored.
    Outcome<ConfigVersion> write(Configuration next, std::optional<ConfigVersion> expected, Instant now);

    /// Removes the newest versions, as a restore from an old backup does.
    void restoreOlder(std::size_t versions);

    void downUntil(Deadline end) { m_downUntil = end; }
    void staleUntil(Deadline end) { m_staleUntil = end; }

    bool isFaulty(Instant now) const { return now < m_downUntil || now < m_staleUntil; }
    bool isBelowHighestVersion() const { return m_versions.back()->m_version < m_highest; }
    bool wasRestored() const { return m_wasRestored; }
    const SharedConfiguration& current() const { return m_versions.back(); }

    /// The stored configuration with a version, or nullptr.
    SharedConfiguration find(ConfigVersion version) const;

    /// The highest version written up to a time.
    ConfigVersion highestWrittenBy(Instant when) const;

private:
    struct Write {
        Instant m_at {};
        ConfigVersion m_version;
    };

    std::vector<SharedConfiguration> m_versions; ///< oldest first
    std::vector<Write> m_writes;
    ConfigVersion m_highest;
    Deadline m_downUntil {};
    Deadline m_staleUntil {};
    bool m_wasRestored = false;
};

} // namespace cuminrelay

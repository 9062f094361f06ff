#pragma once

#include "base/Error.h"
#include "configuration/Model.h"

#include <deque>
#include <memory>
#include <vector>

namespace cuminrelay {

/// A configuration that several parts of a process share; never changed after it was built.
using SharedConfiguration = std::shared_ptr<const Configuration>;

/// Holds the highest configuration version that this process has seen and never goes back: not for a store that was
/// restored or lies, not for a peer that is behind. Keeps earlier versions, as bases for updates and because flows that
/// were placed under one may outlive it: a process that starts takes them one after the other, oldest first.
/// Memory: at most s_keptVersions configurations with s_keptBackendServers in all. One thread at a time.
class ConfigurationHolder {
public:
    ConfigurationHolder();

    /// Takes a configuration that is newer than the held one; true when it was taken, false when exactly this one is
    /// held already. Errors: Stale for a lower version, Conflict for another content at the held version; both leave
    /// what is held in place.
    Outcome<bool> offer(Configuration configuration);

    /// What is held; an empty configuration of version 0 at first. Never null.
    const SharedConfiguration& current() const { return m_kept.back(); }

    ConfigVersion version() const { return current()->m_version; }

    /// The configuration of a version, if it is still kept; else nullptr. An update against it is small; without it a
    /// peer gets the whole configuration.
    SharedConfiguration find(ConfigVersion version) const;

    /// What a process that holds the given version should take next: the lowest kept version above it, or nullptr when
    /// it is not behind.
    SharedConfiguration next(ConfigVersion known) const;

    /// All that a process that holds the given version should take, oldest first.
    std::vector<SharedConfiguration> after(ConfigVersion known) const;

private:
    static constexpr std::size_t s_keptVersions = 64;
    static constexpr std::size_t s_keptBackendServers = 20'000;
    static constexpr std::size_t s_leastVersions = 3;

    void dropOldest();

    std::deque<SharedConfiguration> m_kept; ///< oldest first
};

} // namespace cuminrelay

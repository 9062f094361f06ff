#pragma once

#include "base/Error.h"
#include "configuration/Model.h"

#include <deque>
#include <memory>
#include <vector>

namespace cuminrelay {

using SharedConfiguration = std::shared_ptr<const Configuration>;

/// Holds the highest configuration version received by this process. The version never decreases, even if the store was
/// restored or returns wrong data or a peer is outdated. Retains earlier versions as bases for updates, and because
/// flows may outlive the version under which they were placed: a starting process applies them in order, oldest first.
/// Memory: at most s_maximumVersions configurations with s_maximumBackendServers in total, but at least
/// s_minimumVersions configurations. Not thread-safe.
class ConfigurationHolder {
public:
    ConfigurationHolder();

    /// Accepts a configuration of a higher version; false when it equals the held one. Errors, which leave the held
    /// configuration in place: Stale for a lower version, Conflict for different content at the held version.
    Outcome<bool> offer(Configuration configuration);

    /// The held configuration, initially empty with version 0. Never null.
    const SharedConfiguration& current() const { return m_retained.back(); }

    ConfigVersion version() const { return current()->m_version; }

    /// The configuration of a version, or nullptr when it is not retained. It is the base of a small update for a peer,
    /// which otherwise gets the complete configuration.
    SharedConfiguration find(ConfigVersion version) const;

    /// The lowest retained version above the given one, which a process at that version applies next; or nullptr.
    SharedConfiguration next(ConfigVersion heldVersion) const;

    /// All retained versions above the given one, oldest first.
    std::vector<SharedConfiguration> after(ConfigVersion heldVersion) const;

private:
    static constexpr std::size_t s_maximumVersions = 64;
    static constexpr std::size_t s_maximumBackendServers = 20'000;
    static constexpr std::size_t s_minimumVersions = 3;

    void evictOldest();

    std::deque<SharedConfiguration> m_retained; ///< oldest first
};

} // namespace cuminrelay

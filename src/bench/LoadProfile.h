#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// The kinds of work that callers bring.
enum class WorkKind : std::uint8_t {
    Feed, ///< a short slot for the first answer, then a connection that stays
    ShortWork, ///< a form, a quote, a booking or a small upload
    Straggler, ///< an upload that holds its slot many times longer
};

/// The work that one service gets in ordinary times.
struct ServiceLoad {
    std::string m_service;
    std::size_t m_establishedFeeds = 0; ///< at the start
    double m_feedsPerSecond = 0;
    double m_feedSeconds = 0; ///< mean life of a feed
    double m_shortPerSecond = 0;
    double m_shortSlotSeconds = 0; ///< mean time of short work and of a feed's first answer in a slot
    double m_stragglersPerSecond = 0;
    double m_stragglerSlotSeconds = 0; ///< mean
};

/// A swing of demand: arrivals of feeds and short work grow by a factor within a rise, stay, and fall at once.
struct Crest {
    double m_factor = 1;
    Instant m_begins {};
    Instant m_reached {};
    Instant m_ends {};

    double factorAt(Instant now) const;
};

/// One piece of work as it arrives. The same seed gives the same work whatever the policies do with it.
struct Work {
    Instant m_arrives {};
    WorkKind m_kind = WorkKind::ShortWork;
    std::uint64_t m_flowHash = 0;
    double m_slotSeconds = 0;
    double m_lifeSeconds = 0; ///< of the connection after its slot; 0 for all but feeds
};

/// The load of each service of a fleet profile; empty for an unknown name.
std::vector<ServiceLoad> findServiceLoads(std::string_view profile);

/// All work of one service from the epoch to an end, in order of arrival. Without stragglers the rest is the same.
std::vector<Work> makeWork(
    const ServiceLoad& load, const Crest& crest, bool hasStragglers, Instant end, std::uint64_t seed);

} // namespace cuminrelay

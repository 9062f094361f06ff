#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

enum class WorkKind : std::uint8_t {
    Feed, ///< short slot time for the first answer, then a lasting connection
    ShortWork, ///< a form, a quote, a booking or a small upload
    Straggler, ///< upload that holds its slot many times longer than others
};

/// Normal load of one service.
struct ServiceLoad {
    std::string m_service;
    std::size_t m_establishedFeeds = 0; ///< arrive before the measurement starts
    double m_feedsPerSecond = 0;
    double m_feedSeconds = 0; ///< mean connection time of a feed
    double m_shortPerSecond = 0;
    double m_shortSlotSeconds = 0; ///< mean slot time of short work and of a feed's first answer
    double m_stragglersPerSecond = 0;
    double m_stragglerSlotSeconds = 0; ///< mean
};

/// Temporary increase of the arrival rate of feeds and short work: a linear rise to a factor, a plateau, a sudden end.
struct LoadSpike {
    double m_factor = 1;
    Instant m_startsAt {};
    Instant m_peakAt {};
    Instant m_endsAt {};

    double factorAt(Instant now) const;
};

/// One piece of work. The same seed gives the same work, independent of the policies.
struct Work {
    Instant m_arrivesAt {};
    WorkKind m_kind = WorkKind::ShortWork;
    std::uint64_t m_flowHash = 0;
    double m_slotSeconds = 0;
    double m_connectionSeconds = 0; ///< connection time after its slot; 0 except for feeds
};

/// Returns the load of each service of a fleet profile, or an empty list for an unknown name.
std::vector<ServiceLoad> findServiceLoads(std::string_view profile);

/// Returns the work of one service from the epoch to the end, in order of arrival. Stragglers do not affect other work.
std::vector<Work> makeWork(
    const ServiceLoad& load, const LoadSpike& loadSpike, bool hasStragglers, Instant end, std::uint64_t seed);

} // namespace cuminrelay

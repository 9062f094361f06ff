#pragma once

#include "admission/AdmissionPolicy.h"
#include "admission/ServiceLoadEstimate.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace cuminrelay {

/// Refuses new flows once the service's capacity is used: when its eligible backend servers have no free connection
/// left, or when a new flow may have to wait for a slot longer than the maximum wait.
///
/// The wait is estimated as a mean over the service. How far a single backend server may lie above it grows with the
/// slot time, stragglers included, so that services of long work keep shorter queues. A few own flows in quick
/// succession say little about what the other VMs admit, so that the queue may always hold the least share.
///
/// Between reports each entry VM takes what it admits itself for the even part of what all admit. So each admits its
/// share of the free capacity, and the excess of a crest is refused evenly over the VMs before the first report shows
/// the crest. A share that was not used lapses, because slots that idled cannot be used later.
///
/// Cost: O(backend servers of the service) for each new flow. Memory: 1.7 KB for each set of backend servers.
class ShareAdmission final : public AdmissionPolicy {
public:
    struct Parameters {
        Duration m_maximumWait = std::chrono::milliseconds { 1100 }; ///< for a slot, at nearly every backend server
        double m_spreadFactor = 4.5; ///< standard deviations that the wait at a backend server may lie above the mean
        double m_leastShare = 8; ///< own flows that are let in before the share counts as used
    };

    ShareAdmission() = default;
    explicit ShareAdmission(const Parameters& parameters)
        : m_parameters(parameters)
    {
    }

    Admission admit(
        std::span<const Endpoint> candidates, const BackendBoard& board, std::size_t ownerCount, Instant now) override;

private:
    ServiceLoadEstimate& estimateFor(std::span<const Endpoint> candidates);

    /// The mean wait up to which flows are admitted.
    double maximumMeanWait(const ServiceLoadEstimate& load, double scale) const;

    Parameters m_parameters;
    boost::unordered_flat_map<std::uint64_t, ServiceLoadEstimate> m_estimates; ///< by set of backend servers
};

} // namespace cuminrelay

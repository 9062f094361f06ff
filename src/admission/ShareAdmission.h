#pragma once

#include "admission/AdmissionPolicy.h"
#include "admission/ServiceLoadEstimate.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace cuminrelay {

/// Refuses new flows when the service's capacity is used up: its eligible backend servers have no free connection, or
/// a new flow may wait for a slot longer than the maximum wait.
///
/// The wait is estimated as a mean over the service. Its deviation at a single backend server grows with the slot time,
/// stragglers included, so that services with long work keep shorter queues. A few own flows in quick succession say
/// little about the flows that other VMs admit; the queue may therefore always hold m_minimumShare own flows.
///
/// Between reports, each entry VM assumes that the flows it admits are an even part of the flows that all VMs admit.
/// Each VM thus admits its share of the free capacity, and the excess of a load spike is refused evenly over the VMs
/// before the first report shows the spike. An unused share expires, because idle slot time cannot be used later.
///
/// Cost: O(backend servers of the service) per new flow. Memory: 1.7 KB per set of backend servers.
class ShareAdmission final : public AdmissionPolicy {
public:
    struct Parameters {
        Duration m_maximumWait = std::chrono::milliseconds { 1100 }; ///< for a slot, at nearly every backend server
        double m_spreadFactor = 4.5; ///< standard deviations by which the wait at a backend server may exceed the mean
        double m_minimumShare = 8; ///< own flows that are admitted before the share counts as used
    };

    ShareAdmission() = default;
    explicit ShareAdmission(const Parameters& parameters)
        : m_parameters(parameters)
    {
    }

    Admission admit(std::span<const Endpoint> candidates, const BackendStatusTable& backendStatuses,
        std::size_t ownerCount, Instant now) override;

private:
    ServiceLoadEstimate& estimateFor(std::span<const Endpoint> candidates);

    /// Returns the mean wait, in seconds, up to which flows are admitted.
    double maximumMeanWait(const ServiceLoadEstimate& load, double scale) const;

    Parameters m_parameters;
    boost::unordered_flat_map<std::uint64_t, ServiceLoadEstimate> m_estimates; ///< by set of backend servers
};

} // namespace cuminrelay

#pragma once

#include "admission/AdmissionPolicy.h"
#include "admission/ServiceLoadEstimate.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace cuminrelay {

/// Refuses new flows once the service's capacity is used: when its eligible backend servers have no free connection
/// left, or when a new flow would wait for a slot longer than the maximum wait.
///
/// Between reports each entry VM takes what it admits itself for the even part of what all admit. So each admits its
/// share of the free capacity, and the excess of a crest is refused evenly over the VMs before the first report shows
/// the crest. A share that was not used lapses, because slots that idled cannot be used later.
///
/// Cost: O(backend servers of the service) for each new flow. Memory: 1.7 KB for each set of backend servers.
class ShareAdmission final : public AdmissionPolicy {
public:
    struct Parameters {
        Duration m_maximumWait = std::chrono::milliseconds { 600 }; ///< for a slot, as a mean over the service
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

    Parameters m_parameters;
    boost::unordered_flat_map<std::uint64_t, ServiceLoadEstimate> m_estimates; ///< by set of backend servers
};

} // namespace cuminrelay

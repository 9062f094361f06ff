#pragma once

#include "backends/BackendStatusTable.h"
#include "base/Endpoint.h"
#include "base/Time.h"

#include <cstdint>
#include <span>

namespace cuminrelay {

/// Decision on a new flow. Packets of a refused flow reach no backend server.
enum class Admission : std::uint8_t {
    Admitted,
    QueueFull, ///< the reports show no eligible backend server, no free connection or too long a wait
    ShareUsed, ///< this VM has used its even share of the free capacity since the last reports
};

/// Limits the new flows of a service. Established flows are not checked.
class AdmissionPolicy {
public:
    AdmissionPolicy() = default;
    AdmissionPolicy(const AdmissionPolicy&) = delete;
    AdmissionPolicy& operator=(const AdmissionPolicy&) = delete;
    virtual ~AdmissionPolicy() = default;

    /// Decides on one new flow of a service. candidates: the backend servers of the service, sorted. ownerCount: the
    /// inverse of this VM's share of all flows, rounded, at least 1; with even shares, the number of entry VMs.
    virtual Admission admit(std::span<const Endpoint> candidates, const BackendStatusTable& backendStatuses,
        std::size_t ownerCount, Instant now)
        = 0;
};

} // namespace cuminrelay

#pragma once

#include "backends/BackendBoard.h"
#include "base/Endpoint.h"
#include "base/Time.h"

#include <cstdint>
#include <span>

namespace cuminrelay {

/// Whether a new flow is let in; a refusal is made before anything reaches a backend server.
enum class Admission : std::uint8_t {
    Admitted,
    QueueFull, ///< the service's free capacity is gone and waiting would miss deadlines
    ShareUsed, ///< this VM has used its even share of the free capacity since the last reports
};

/// Bounds the new flows of a service. Established flows never ask.
class AdmissionPolicy {
public:
    AdmissionPolicy() = default;
    AdmissionPolicy(const AdmissionPolicy&) = delete;
    AdmissionPolicy& operator=(const AdmissionPolicy&) = delete;
    virtual ~AdmissionPolicy() = default;

    /// Decides on one new flow for a service. candidates: the backend servers of the service, sorted. ownerCount: the
    /// inverse of this VM's share of all flows, rounded; at least 1. With even shares, the number of entry VMs.
    virtual Admission admit(
        std::span<const Endpoint> candidates, const BackendBoard& board, std::size_t ownerCount, Instant now)
        = 0;
};

} // namespace cuminrelay

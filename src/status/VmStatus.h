#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "configuration/Model.h"
#include "status/MetricsPage.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cuminrelay {

/// What an entry VM says of itself.
struct VmStatus {
    Endpoint m_metrics; ///< where it was asked
    std::string m_problem; ///< why nothing is known of it; empty: the rest holds
    ConfigVersion m_configVersion; ///< in force
    bool m_isReady = false; ///< takes callers' packets
    bool m_followsStore = false; ///< itself; otherwise a VM of its zone tells it
    double m_knowledgeAgeSeconds = 0; ///< since the store, or who follows it, was heard; negative: never
    std::uint64_t m_backendsReady = 0;
    std::uint64_t m_backendsOther = 0; ///< draining, lapsed, silent or dead
    std::uint64_t m_peers = 0;
    std::uint64_t m_flows = 0;
};

/// Reads a relay's page. A page of something else gives a status with a problem.
VmStatus statusFrom(Endpoint metrics, const MetricsPage& page);

/// Whether all VMs were reached, take packets and have at least the version in force.
bool isInForce(std::span<const VmStatus> vms, ConfigVersion version);

/// One row for each VM, and a line that names those that are behind the highest version.
std::string statusTable(std::span<const VmStatus> vms);

/// The same for programs: one JSON object.
std::string statusJson(std::span<const VmStatus> vms);

} // namespace cuminrelay

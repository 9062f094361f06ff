#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "configuration/Model.h"
#include "status/MetricsPage.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace cuminrelay {

/// Status of an entry VM, from its metrics page.
struct VmStatus {
    Endpoint m_metrics; ///< address of the metrics page
    std::string m_problem; ///< why the page could not be read; if empty, the other members are valid
    ConfigVersion m_configVersion; ///< in force
    bool m_isReady = false; ///< accepts callers' packets
    bool m_followsStore = false; ///< watches the store; otherwise a VM of its zone sends the updates
    double m_storeContactAgeSeconds = 0; ///< since the last contact with the store or that VM; negative: none yet
    std::uint64_t m_backendsReady = 0;
    std::uint64_t m_backendsOther = 0; ///< draining, lapsed, silent or dead
    std::uint64_t m_peers = 0;
    std::uint64_t m_flows = 0;
    bool m_isStoredConfigUnreadable = false; ///< the store holds a later configuration that this VM cannot read
    bool m_isSettingsFileUnusable = false; ///< the process would not start again with its settings file
    std::uint64_t m_storeEra = 0; ///< 0: the store does not number its eras
    std::map<std::string, double> m_evacuationAges; ///< seconds since this VM evacuated a zone, by name
};

/// Sets m_problem if the page is not from a relay process.
VmStatus statusFrom(Endpoint metrics, const MetricsPage& page);

/// True if all VMs answered, are ready and have at least the version in force.
bool isInForce(std::span<const VmStatus> vms, ConfigVersion version);

/// One row for each VM, a line that lists the VMs without the highest version, and lines for the evacuated zones, for
/// VMs whose settings file is unusable, and for VMs whose state is of an earlier era of the store.
std::string statusTable(std::span<const VmStatus> vms);

/// The same statuses as one JSON object.
std::string statusJson(std::span<const VmStatus> vms);

} // namespace cuminrelay

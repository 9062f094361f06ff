#pragma once

#include "backends/BackendStatusTable.h"
#include "backends/Backends.capnp.h"
#include "base/Error.h"
#include "base/Time.h"

#include <span>
#include <vector>

namespace cuminrelay {

/// Maximum number of reports per message; a message with more is malformed.
inline constexpr std::size_t c_maximumReportsInMessage = 16'384;

/// Encodes a report. The message holds its age at `now`, because the clocks of VMs are not comparable.
void writeBackendReport(const BackendReport& report, Instant now, wire::BackendReport::Builder out);

/// Decodes a report; its measurement time is `now` less its age. Errors: InvalidInput for an unsupported health value
/// or a missing endpoint.
Outcome<BackendReport> readBackendReport(wire::BackendReport::Reader in, Instant now);

/// Encodes reports. Precondition: reports and out have the same size.
void writeBackendReports(
    std::span<const BackendReport> reports, Instant now, capnp::List<wire::BackendReport>::Builder out);

/// Decodes reports. Errors: that of the first malformed report; InvalidInput above c_maximumReportsInMessage.
Outcome<std::vector<BackendReport>> readBackendReports(capnp::List<wire::BackendReport>::Reader in, Instant now);

} // namespace cuminrelay

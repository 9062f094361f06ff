#pragma once

#include "backends/BackendBoard.h"
#include "backends/Backends.capnp.h"
#include "base/Error.h"
#include "base/Time.h"

#include <span>
#include <vector>

namespace cuminrelay {

/// The most reports that one message may carry; more is taken as malformed.
inline constexpr std::size_t c_maximumReportsInMessage = 16'384;

/// Writes a report as Cap'n Proto. Instants do not travel between clocks: the message has the age at `now`.
void writeBackendReport(const BackendReport& report, Instant now, wire::BackendReport::Builder out);

/// Reads a report; it is taken to have been measured its age before `now`. Errors: InvalidInput for a health that this
/// version does not know, or no endpoint.
Outcome<BackendReport> readBackendReport(wire::BackendReport::Reader in, Instant now);

/// Writes as many reports as the list was initialised for; both must have the same size.
void writeBackendReports(
    std::span<const BackendReport> reports, Instant now, capnp::List<wire::BackendReport>::Builder out);

/// Reads a list of reports. Errors: as readBackendReport for the first bad one; InvalidInput for too many.
Outcome<std::vector<BackendReport>> readBackendReports(capnp::List<wire::BackendReport>::Reader in, Instant now);

} // namespace cuminrelay

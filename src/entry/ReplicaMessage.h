#pragma once

#include "base/Error.h"
#include "flows/FlowRecord.h"
#include "flows/FlowReplica.capnp.h"

#include <cstddef>

namespace cuminrelay {

/// Maximum number of records in a message; a message with more is malformed.
inline constexpr std::size_t c_maximumRecordsInMessage = 4096;

void writeReplicaBatch(const ReplicaBatch& batch, wire::ReplicaBatch::Builder out);

/// Errors: InvalidInput for too many records or buckets, or a bucket out of range.
Outcome<ReplicaBatch> readReplicaBatch(wire::ReplicaBatch::Reader in);

/// Network cost of exchanging the batch in bytes, including the answer and the TCP and IP headers.
std::size_t exchangeBytes(const ReplicaBatch& batch);

} // namespace cuminrelay

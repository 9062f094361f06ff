#pragma once

#include "base/Error.h"
#include "flows/FlowRecord.h"
#include "flows/FlowReplica.capnp.h"

#include <cstddef>

namespace cuminrelay {

/// The most records that one message may carry; more is taken as malformed.
inline constexpr std::size_t c_maximumRecordsInMessage = 4096;

/// Writes a batch as Cap'n Proto.
void writeReplicaBatch(const ReplicaBatch& batch, wire::ReplicaBatch::Builder out);

/// Reads a batch. Errors: InvalidInput for too many records or buckets, or a bucket that does not exist.
Outcome<ReplicaBatch> readReplicaBatch(wire::ReplicaBatch::Reader in);

/// What exchanging the batch costs on the network in bytes, the answer and the headers of TCP and IP included.
std::size_t exchangeBytes(const ReplicaBatch& batch);

} // namespace cuminrelay

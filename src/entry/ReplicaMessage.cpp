#include "entry/ReplicaMessage.h"

#include <boost/outcome/try.hpp>
#include <fmt/format.h>
#include <span>
#include <vector>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_recordBytes = 16;
    constexpr std::size_t c_bucketBytes = 2;
    constexpr std::size_t c_exchangeOverheadBytes = 512; // RPC frames of the call, its answer and its release; headers

    void writeBuckets(std::span<const Bucket> buckets, capnp::List<std::uint16_t>::Builder out)
    {
        for (unsigned i = 0; i < out.size(); ++i)
            out.set(i, buckets[i]);
    }

    Outcome<std::vector<Bucket>> readBuckets(capnp::List<std::uint16_t>::Reader in)
    {
        if (in.size() > c_bucketCount)
            return Error { ErrorKind::InvalidInput,
                fmt::format("{} buckets in a batch; at most {} are allowed", in.size(), c_bucketCount) };
        std::vector<Bucket> buckets;
        buckets.reserve(in.size());
        for (const std::uint16_t bucket : in) {
            if (bucket >= c_bucketCount)
                return Error { ErrorKind::InvalidInput,
                    fmt::format("bucket {} is out of range; expected less than {}", bucket, c_bucketCount) };
            buckets.push_back(bucket);
        }
        return buckets;
    }

    FlowRecord readRecord(wire::FlowRecord::Reader in)
    {
        const Endpoint backend = Endpoint::fromPacked(in.getBackend());
        return { FlowHash { in.getFlow() }, backend, backend == Endpoint {} };
    }

} // namespace

void writeReplicaBatch(const ReplicaBatch& batch, wire::ReplicaBatch::Builder out)
{
    capnp::List<wire::FlowRecord>::Builder records = out.initRecords(static_cast<unsigned>(batch.m_records.size()));
    for (unsigned i = 0; i < records.size(); ++i) {
        const FlowRecord& record = batch.m_records[i];
        records[i].setFlow(record.m_flow.m_value);
        records[i].setBackend(record.m_ended ? 0 : record.m_backend.packed());
    }
    writeBuckets(batch.m_synchronized, out.initSettled(static_cast<unsigned>(batch.m_synchronized.size())));
    out.setSettledBase(batch.m_synchronizedBase.m_number);
    writeBuckets(batch.m_handedOver, out.initHandedOver(static_cast<unsigned>(batch.m_handedOver.size())));
    out.setHandedOverBase(batch.m_handedOverBase.m_number);
    writeBuckets(batch.m_requested, out.initWanted(static_cast<unsigned>(batch.m_requested.size())));
}

Outcome<ReplicaBatch> readReplicaBatch(wire::ReplicaBatch::Reader in)
{
    if (in.getRecords().size() > c_maximumRecordsInMessage)
        return Error { ErrorKind::InvalidInput,
            fmt::format(
                "{} records in a batch; at most {} are allowed", in.getRecords().size(), c_maximumRecordsInMessage) };
    ReplicaBatch batch;
    batch.m_records.reserve(in.getRecords().size());
    for (const wire::FlowRecord::Reader record : in.getRecords())
        batch.m_records.push_back(readRecord(record));
    BOOST_OUTCOME_TRY(batch.m_synchronized, readBuckets(in.getSettled()));
    batch.m_synchronizedBase = { in.getSettledBase() };
    BOOST_OUTCOME_TRY(batch.m_handedOver, readBuckets(in.getHandedOver()));
    batch.m_handedOverBase = { in.getHandedOverBase() };
    BOOST_OUTCOME_TRY(batch.m_requested, readBuckets(in.getWanted()));
    return batch;
}

std::size_t exchangeBytes(const ReplicaBatch& batch)
{
    const std::size_t buckets = batch.m_synchronized.size() + batch.m_handedOver.size() + batch.m_requested.size();
    return c_exchangeOverheadBytes + batch.m_records.size() * c_recordBytes + buckets * c_bucketBytes;
}

} // namespace cuminrelay

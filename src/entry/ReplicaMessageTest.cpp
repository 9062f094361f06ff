#include "entry/ReplicaMessage.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    Outcome<ReplicaBatch> encodeAndDecode(const ReplicaBatch& batch)
    {
        capnp::MallocMessageBuilder message;
        wire::ReplicaBatch::Builder builder = message.initRoot<wire::ReplicaBatch>();
        writeReplicaBatch(batch, builder);
        return readReplicaBatch(builder.asReader());
    }

    rc::Gen<std::vector<Bucket>> anyBuckets()
    {
        return rc::gen::container<std::vector<Bucket>>(rc::gen::inRange<Bucket>(0, c_bucketCount));
    }

    FlowRecord anyRecord()
    {
        FlowRecord record;
        record.m_flow.m_value = *rc::gen::arbitrary<std::uint64_t>();
        record.m_ended = *rc::gen::arbitrary<bool>();
        if (!record.m_ended)
            record.m_backend = { *rc::gen::arbitrary<std::uint32_t>(), *rc::gen::inRange<std::uint16_t>(1, 65535) };
        return record;
    }

    RC_GTEST_PROP(
        ReplicaMessage, decodingReturnsTheEncodedBatch, (std::uint64_t synchronizedBase, std::uint64_t handedOverBase))
    {
        ReplicaBatch batch;
        const std::size_t records = *rc::gen::inRange<std::size_t>(0, 20);
        for (std::size_t i = 0; i < records; ++i)
            batch.m_records.push_back(anyRecord());
        batch.m_synchronized = *anyBuckets();
        batch.m_synchronizedBase = { synchronizedBase };
        batch.m_handedOver = *anyBuckets();
        batch.m_handedOverBase = { handedOverBase };
        batch.m_requested = *anyBuckets();
        const Outcome<ReplicaBatch> read = encodeAndDecode(batch);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read.value() == batch);
    }

    TEST(ReplicaMessage, outOfRangeBucketsAreRefused)
    {
        ReplicaBatch batch;
        batch.m_requested = { 0, c_bucketCount };
        const Outcome<ReplicaBatch> read = encodeAndDecode(batch);
        ASSERT_FALSE(read.has_value());
        EXPECT_EQ(read.error().m_kind, ErrorKind::InvalidInput);
    }

    TEST(ReplicaMessage, tooManyRecordsAreRefused)
    {
        ReplicaBatch batch;
        batch.m_records.resize(c_maximumRecordsInMessage + 1, FlowRecord { { 1 }, { 1, 2 }, false });
        EXPECT_FALSE(encodeAndDecode(batch).has_value());
        batch.m_records.pop_back();
        EXPECT_TRUE(encodeAndDecode(batch).has_value());
    }

    TEST(ReplicaMessage, tooManyBucketsAreRefused)
    {
        ReplicaBatch batch;
        batch.m_synchronized.resize(c_bucketCount + 1);
        EXPECT_FALSE(encodeAndDecode(batch).has_value());
    }

    TEST(ReplicaMessage, exchangeBytesCoverTheEncodedBatch)
    {
        ReplicaBatch batch;
        batch.m_records.resize(256, FlowRecord { { 1 }, { 1, 2 }, false });
        batch.m_synchronized.resize(300);
        capnp::MallocMessageBuilder message;
        writeReplicaBatch(batch, message.initRoot<wire::ReplicaBatch>());
        EXPECT_GE(exchangeBytes(batch), capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word));
    }

} // namespace
} // namespace cuminrelay

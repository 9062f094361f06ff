#include "exchange/StoreUpdateMessage.h"

#include <capnp/any.h>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <gtest/gtest.h>
#include <kj/io.h>
#include <limits>
#include <string>

namespace cuminrelay {
namespace {

    /// An update with this many backend servers without content.
    std::string encodeEmptyBackends(unsigned count)
    {
        capnp::MallocMessageBuilder builder;
        capnp::AnyPointer::Builder root = builder.getRoot<capnp::AnyPointer>();
        root.initAsAnyStruct(0, 1).getPointerSection()[0].initAsListOfAnyStruct(0, 0, count);
        kj::VectorOutputStream packed;
        capnp::writePackedMessage(packed, builder);
        const kj::ArrayPtr<kj::byte> bytes = packed.getArray();
        return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
    }

    // A message of a few bytes decoded to more than a million backend servers, which used up the memory of the VM.
    TEST(StoreUpdateMessageTest, moreEmptyElementsThanBytesAreRefused)
    {
        EXPECT_TRUE(decodeStoreUpdate(encodeEmptyBackends(2), {}).has_value());
        const Outcome<StoreUpdate> update = decodeStoreUpdate(encodeEmptyBackends(1'000'000), {});
        ASSERT_FALSE(update.has_value());
        EXPECT_EQ(update.error().m_kind, ErrorKind::InvalidInput);
    }

    // VMs that get the declarations from another VM would keep no budget.
    TEST(StoreUpdateMessageTest, warmupsAreDecodedAndOddRatesAreRefused)
    {
        const Selector selector { { { "app", SelectorOperator::Equals, { "feeds" } } } };
        StoreUpdate update;
        DeclarationUpdate& declarations = update.m_declarations.emplace();
        declarations.m_otherFields.m_warmups = { { selector, std::chrono::milliseconds { 2'500 }, 7.25 } };
        const Outcome<StoreUpdate> decoded = decodeStoreUpdate(encodeStoreUpdate(update, {}), {});
        ASSERT_TRUE(decoded.has_value()) << decoded.error().m_message;
        EXPECT_EQ(decoded.value().m_declarations->m_otherFields.m_warmups, declarations.m_otherFields.m_warmups);
        for (const double rate : { -1.0, 1e300, std::numeric_limits<double>::quiet_NaN() }) {
            declarations.m_otherFields.m_warmups[0].m_requestsPerSecond = rate;
            EXPECT_FALSE(decodeStoreUpdate(encodeStoreUpdate(update, {}), {}).has_value()) << rate;
        }
    }

    // The limits leave room for the largest deployment that the design provides for.
    TEST(StoreUpdateMessageTest, anUpdateOfTheLargestDeploymentIsDecoded)
    {
        StoreUpdate update;
        update.m_isComplete = true;
        for (unsigned i = 1; i <= 3'500; ++i) {
            AnnouncedBackend& backend = update.m_backends.emplace_back();
            backend.m_identity = { i };
            backend.m_startedAtUnixMs = 1;
            backend.m_server.m_slots = 1;
            backend.m_server.m_tunnel = { i, 8080 };
            for (unsigned label = 0; label < 5; ++label)
                backend.m_server.m_labels.emplace(std::to_string(label), "v");
        }
        DeclarationUpdate& declarations = update.m_declarations.emplace();
        for (unsigned i = 0; i < 600; ++i)
            declarations.m_changed.emplace_back().m_name = std::to_string(i);
        const Outcome<StoreUpdate> decoded = decodeStoreUpdate(encodeStoreUpdate(update, {}), {});
        ASSERT_TRUE(decoded.has_value()) << decoded.error().m_message;
        EXPECT_EQ(decoded.value().m_backends.size(), 3'500u);
        EXPECT_EQ(decoded.value().m_declarations->m_changed.size(), 600u);
    }

} // namespace
} // namespace cuminrelay

#include "configuration/ConfigurationMessage.h"

#include "configuration/GeneratorsTest.h"

#include <capnp/message.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    /// A later version of the same object: its history continues that of base.
    Configuration laterVersionOf(const Configuration& base, std::size_t edits)
    {
        Configuration next = test::someConfiguration(base.m_version.m_number + edits);
        next.m_history = base.m_history;
        for (std::size_t i = 1; i <= edits; ++i)
            next.m_history.push_back(test::someEditRecord(base.m_version.m_number + i));
        if (next.m_history.size() > c_maximumHistory)
            next.m_history.erase(next.m_history.begin(), next.m_history.end() - c_maximumHistory);
        return next;
    }

    RC_GTEST_PROP(ConfigurationMessage, updateAppliedToItsBaseYieldsTheTarget, ())
    {
        const Configuration base = test::someConfiguration(4);
        const Configuration target = test::someConfiguration(5);
        capnp::MallocMessageBuilder message;
        wire::ConfigurationUpdate::Builder update = message.initRoot<wire::ConfigurationUpdate>();
        writeUpdate(base, target, update);
        const Outcome<Configuration> applied = applyUpdate(base, update.asReader());
        RC_ASSERT(applied.has_value());
        RC_ASSERT(applied.value() == target);
    }

    RC_GTEST_PROP(ConfigurationMessage, updateBetweenVersionsIsADifference, ())
    {
        const Configuration base = test::someConfiguration(4);
        const Configuration target = laterVersionOf(base, *rc::gen::inRange<std::size_t>(0, 4));
        capnp::MallocMessageBuilder message;
        wire::ConfigurationUpdate::Builder update = message.initRoot<wire::ConfigurationUpdate>();
        writeUpdate(base, target, update);
        RC_ASSERT(update.getBase() == 4U);
        RC_ASSERT(update.getNewEdits().size() == target.m_history.size() - base.m_history.size());
        RC_ASSERT(applyUpdate(base, update.asReader()).value() == target);
        RC_ASSERT(applyUpdate(Configuration {}, update.asReader()).error().m_kind == ErrorKind::Stale);
    }

    RC_GTEST_PROP(ConfigurationMessage, completeUpdateNeedsNoBase, ())
    {
        const Configuration other = test::someConfiguration(3);
        const Configuration target = test::someConfiguration(5);
        capnp::MallocMessageBuilder message;
        wire::ConfigurationUpdate::Builder update = message.initRoot<wire::ConfigurationUpdate>();
        writeUpdate(Configuration {}, target, update);
        RC_ASSERT(update.getBase() == 0U);
        RC_ASSERT(applyUpdate(other, update.asReader()).value() == target);
    }

    TEST(ConfigurationMessage, fullHistoryRemovesTheOldestEdit)
    {
        Configuration base;
        base.m_version = { c_maximumHistory };
        for (std::size_t i = 1; i <= c_maximumHistory; ++i)
            base.m_history.push_back({ "edit-" + std::to_string(i), "aiko", "", { i }, 0, {} });
        Configuration target = base;
        target.m_version = { c_maximumHistory + 1 };
        target.m_history.erase(target.m_history.begin());
        target.m_history.push_back({ "edit-last", "ben", "", target.m_version, 0, {} });
        capnp::MallocMessageBuilder message;
        wire::ConfigurationUpdate::Builder update = message.initRoot<wire::ConfigurationUpdate>();
        writeUpdate(base, target, update);
        EXPECT_EQ(update.getNewEdits().size(), 1U);
        EXPECT_EQ(applyUpdate(base, update.asReader()).value(), target);
    }

    TEST(ConfigurationMessage, invalidContentIsRefused)
    {
        capnp::MallocMessageBuilder message;
        wire::ConfigurationUpdate::Builder update = message.initRoot<wire::ConfigurationUpdate>();
        update.setVersion(1);
        wire::Service::Builder service = update.initChangedServices(1)[0];
        service.setName("agenda");
        service.setAddress(Endpoint { 1, 1 }.packed());
        service.setProtocol(6);
        wire::Requirement::Builder requirement = service.initRequirements(1)[0];
        requirement.setKey("app");
        requirement.setOperator(200);
        EXPECT_EQ(applyUpdate({}, update.asReader()).error().m_kind, ErrorKind::InvalidInput);
        requirement.setOperator(static_cast<std::uint8_t>(SelectorOperator::Exists));
        EXPECT_TRUE(applyUpdate({}, update.asReader()).has_value());
        service.setProtocol(1);
        EXPECT_EQ(applyUpdate({}, update.asReader()).error().m_kind, ErrorKind::InvalidInput);
    }

} // namespace
} // namespace cuminrelay

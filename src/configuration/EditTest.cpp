#include "configuration/Edit.h"

#include "configuration/Check.h"
#include "configuration/GeneratorsTest.h"
#include "configuration/Lookup.h"
#include "configuration/Selector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    BackendServer host(std::string name, std::uint32_t number, Labels labels)
    {
        return { std::move(name), "furano-c", { number, 5555 }, { number, 80 }, 2000, 2, false, std::move(labels) };
    }

    Service service(std::string name, std::uint16_t port, std::string_view selector)
    {
        return { std::move(name), { 1000, port }, Protocol::Tcp, parseSelector(selector).value(), {} };
    }

    /// Version 5, with two hosts for kanteisha and one for chosa-bako.
    Configuration sample()
    {
        Configuration configuration;
        configuration.m_version = { 5 };
        configuration.m_zones = { "furano-c" };
        configuration.m_backendServers = { host("c-1", 3, { { "app", "chosa-bako" } }),
            host("k-1", 1, { { "app", "kanteisha" } }), host("k-2", 2, { { "app", "kanteisha" } }) };
        configuration.m_services
            = { service("chosa-bako", 1, "app=chosa-bako"), service("kanteisha", 2, "app=kanteisha") };
        return configuration;
    }

    Edit edit(std::string id, std::string author, ConfigVersion base, std::shared_ptr<const Change> change)
    {
        return { std::move(id), std::move(author), "the command that was run", 0, base, false, { std::move(change) } };
    }

    std::shared_ptr<const Change> labelOfHost(
        std::string name, std::string key, std::optional<std::string> expected, std::optional<std::string> value)
    {
        return std::make_shared<LabelChange>(
            LabelTarget::Host, std::move(name), std::move(key), std::move(expected), std::move(value));
    }

    TEST(Edit, changesAndRecordsHistory)
    {
        const Outcome<EditResult> result
            = applyEdit(sample(), edit("e1", "aiko", { 5 }, labelOfHost("k-1", "tier", {}, "gold")));
        ASSERT_TRUE(result.has_value()) << result.error().m_message;
        EXPECT_EQ(result.value().m_kind, EditResult::Kind::Changed);
        const Configuration& next = result.value().m_configuration;
        EXPECT_EQ(next.m_version.m_number, 6U);
        EXPECT_EQ(findBackendServer(next.m_backendServers, "k-1")->m_labels.at("tier"), "gold");
        ASSERT_EQ(next.m_history.size(), 1U);
        EXPECT_EQ(next.m_history[0].m_touched.front(), "host/k-1/label/tier");
        EXPECT_EQ(next.m_history[0].m_version.m_number, 6U);
    }

    TEST(Edit, repeatedEditIsAlreadyApplied)
    {
        const Edit first = edit("e1", "aiko", { 5 }, labelOfHost("k-1", "tier", {}, "gold"));
        const Configuration after = applyEdit(sample(), first).value().m_configuration;
        const EditResult repeated = applyEdit(after, first).value();
        EXPECT_EQ(repeated.m_kind, EditResult::Kind::AlreadyApplied);
        EXPECT_EQ(repeated.m_version.m_number, 6U);
        EXPECT_EQ(repeated.m_configuration, after);
    }

    TEST(Edit, disjointEditsFromOneBaseAreBothKept)
    {
        const Configuration first
            = applyEdit(sample(), edit("e1", "aiko", { 5 }, labelOfHost("k-1", "tier", {}, "gold")))
                  .value()
                  .m_configuration;
        const Configuration second = applyEdit(first, edit("e2", "ben", { 5 }, labelOfHost("k-1", "canary", {}, "yes")))
                                         .value()
                                         .m_configuration;
        const Labels expected { { "app", "kanteisha" }, { "canary", "yes" }, { "tier", "gold" } };
        EXPECT_EQ(findBackendServer(second.m_backendServers, "k-1")->m_labels, expected);
        EXPECT_EQ(second.m_version.m_number, 7U);
    }

    TEST(Edit, conflictNamesAuthorVersionAndCommand)
    {
        const Configuration first
            = applyEdit(sample(), edit("e1", "aiko", { 5 }, labelOfHost("k-1", "tier", {}, "gold")))
                  .value()
                  .m_configuration;
        const Outcome<EditResult> second
            = applyEdit(first, edit("e2", "ben", { 5 }, labelOfHost("k-1", "tier", {}, "silver")));
        ASSERT_FALSE(second.has_value());
        EXPECT_EQ(second.error().m_kind, ErrorKind::Conflict);
        for (const char* const expectedText : { "label \"tier\" of host/k-1 is \"gold\", not absent",
                 "by aiko at version 6", "cuminrelayctl get host k-1" })
            EXPECT_NE(second.error().m_message.find(expectedText), std::string::npos) << second.error().m_message;
    }

    TEST(Edit, revertedChangeIsStillAConflict)
    {
        Configuration configuration = sample();
        configuration = applyEdit(configuration, edit("e1", "aiko", { 5 }, labelOfHost("k-1", "tier", {}, "gold")))
                            .value()
                            .m_configuration;
        configuration = applyEdit(configuration, edit("e2", "aiko", { 6 }, labelOfHost("k-1", "tier", "gold", {})))
                            .value()
                            .m_configuration;
        const Outcome<EditResult> staleEdit
            = applyEdit(configuration, edit("e3", "ben", { 5 }, labelOfHost("k-1", "tier", {}, "silver")));
        ASSERT_FALSE(staleEdit.has_value());
        EXPECT_NE(staleEdit.error().m_message.find("was changed after version 5"), std::string::npos);
    }

    TEST(Edit, sameChangeByTwoOperatorsIsNoConflict)
    {
        const Configuration first
            = applyEdit(sample(), edit("e1", "aiko", { 5 }, std::make_shared<DrainingChange>("k-1", false, true)))
                  .value()
                  .m_configuration;
        const EditResult second
            = applyEdit(first, edit("e2", "ben", { 5 }, std::make_shared<DrainingChange>("k-1", false, true))).value();
        EXPECT_EQ(second.m_kind, EditResult::Kind::Unchanged);
        EXPECT_EQ(second.m_configuration, first);
    }

    TEST(Edit, editOfARemovedHostNamesTheAuthorOfTheRemoval)
    {
        const Configuration first = applyEdit(
            sample(), edit("e1", "aiko", { 5 }, std::make_shared<HostRemoval>(sample().m_backendServers[1])))
                                        .value()
                                        .m_configuration;
        const Outcome<EditResult> second
            = applyEdit(first, edit("e2", "ben", { 5 }, labelOfHost("k-1", "tier", {}, "gold")));
        ASSERT_FALSE(second.has_value());
        EXPECT_EQ(second.error().m_kind, ErrorKind::NotFound);
        EXPECT_NE(second.error().m_message.find("by aiko at version 6"), std::string::npos) << second.error().m_message;
    }

    TEST(Edit, removalOfAChangedHostIsAConflict)
    {
        const Configuration first
            = applyEdit(sample(), edit("e1", "aiko", { 5 }, labelOfHost("k-1", "tier", {}, "gold")))
                  .value()
                  .m_configuration;
        const Outcome<EditResult> second
            = applyEdit(first, edit("e2", "ben", { 5 }, std::make_shared<HostRemoval>(sample().m_backendServers[1])));
        ASSERT_FALSE(second.has_value());
        EXPECT_EQ(second.error().m_kind, ErrorKind::Conflict);
    }

    TEST(Edit, serviceWithoutHostsIsRefusedUnlessForced)
    {
        const Selector before = parseSelector("app=kanteisha").value();
        const Selector after = parseSelector("app=kantiesha").value();
        Edit typo = edit("e1", "aiko", { 5 }, std::make_shared<SelectorChange>("kanteisha", before, after));
        const Outcome<EditResult> refused = applyEdit(sample(), typo);
        ASSERT_FALSE(refused.has_value());
        EXPECT_EQ(refused.error().m_kind, ErrorKind::InvalidInput);
        EXPECT_NE(refused.error().m_message.find("would match no host"), std::string::npos);
        typo.m_forced = true;
        const Outcome<EditResult> forced = applyEdit(sample(), typo);
        ASSERT_TRUE(forced.has_value());
        const Outcome<EditResult> unrelated = applyEdit(
            forced.value().m_configuration, edit("e2", "ben", { 6 }, labelOfHost("c-1", "tier", {}, "gold")));
        EXPECT_TRUE(unrelated.has_value())
            << "an unrelated edit is accepted although the held configuration has a fault";
    }

    TEST(Edit, drainingOrRelabellingTheLastHostIsRefusedUnlessForced)
    {
        Edit drain = edit("e1", "aiko", { 5 }, std::make_shared<DrainingChange>("c-1", false, true));
        EXPECT_EQ(applyEdit(sample(), drain).error().m_kind, ErrorKind::InvalidInput);
        drain.m_forced = true;
        EXPECT_TRUE(applyEdit(sample(), drain).has_value());
        EXPECT_FALSE(
            applyEdit(sample(), edit("e2", "aiko", { 5 }, labelOfHost("c-1", "app", "chosa-bako", {}))).has_value());
    }

    TEST(Edit, sharedAddressIsRefusedUnlessForced)
    {
        Edit addition
            = edit("e1", "aiko", { 5 }, std::make_shared<ServiceAddition>(service("other", 2, "app=kanteisha")));
        const Outcome<EditResult> refused = applyEdit(sample(), addition);
        ASSERT_FALSE(refused.has_value());
        EXPECT_NE(refused.error().m_message.find("\"kanteisha\", \"other\" would share address 0.0.3.232:2"),
            std::string::npos)
            << refused.error().m_message;
        addition.m_forced = true;
        EXPECT_TRUE(applyEdit(sample(), addition).has_value());
    }

    TEST(Edit, changesOfAnEditAreAtomic)
    {
        Edit both = edit("e1", "aiko", { 5 }, labelOfHost("k-1", "tier", {}, "gold"));
        both.m_changes.push_back(labelOfHost("k-9", "tier", {}, "gold"));
        EXPECT_EQ(applyEdit(sample(), both).error().m_kind, ErrorKind::NotFound);
    }

    TEST(Edit, historyAndTouchedPathsAreBounded)
    {
        Configuration configuration = sample();
        for (std::size_t i = 0; i < c_maximumHistory + 10; ++i) {
            const bool draining = i % 2 != 0;
            configuration = applyEdit(configuration,
                edit("e" + std::to_string(i), "aiko", configuration.m_version,
                    std::make_shared<DrainingChange>("k-1", draining, !draining)))
                                .value()
                                .m_configuration;
        }
        EXPECT_EQ(configuration.m_history.size(), c_maximumHistory);
        EXPECT_EQ(configuration.m_history.back().m_version, configuration.m_version);
        const Outcome<EditResult> staleEdit
            = applyEdit(configuration, edit("old", "ben", { 5 }, labelOfHost("k-2", "tier", {}, "gold")));
        ASSERT_FALSE(staleEdit.has_value()) << "the history does not reach back to the base of the edit";
        EXPECT_EQ(staleEdit.error().m_kind, ErrorKind::Conflict);

        Edit many = edit("many", "aiko", configuration.m_version, nullptr);
        many.m_changes.clear();
        for (int i = 0; i < 100; ++i)
            many.m_changes.push_back(labelOfHost("k-2", "key" + std::to_string(i), {}, "x"));
        const Configuration after = applyEdit(configuration, many).value().m_configuration;
        EXPECT_EQ(after.m_history.back().m_touched, std::vector<std::string> { "*" });
        EXPECT_EQ(lastEditTouching(after, "host/c-1/draining", {})->m_id, "many");
    }

    /// A configuration with at least one host and one service.
    Configuration someEditableConfiguration()
    {
        Configuration configuration = test::someConfiguration(10);
        if (configuration.m_backendServers.empty())
            configuration.m_backendServers.push_back(test::someBackendServer(1));
        if (configuration.m_services.empty())
            configuration.m_services.push_back(test::someService(1));
        return configuration;
    }

    /// A change whose expected value matches the configuration.
    std::shared_ptr<const Change> someChange(const Configuration& configuration)
    {
        const BackendServer backend = *rc::gen::elementOf(configuration.m_backendServers);
        const Service target = *rc::gen::elementOf(configuration.m_services);
        const auto labelOf = [](const Labels& labels, const std::string& key) {
            const auto found = labels.find(key);
            return found != labels.end() ? std::optional { found->second } : std::nullopt;
        };
        const std::string key = *test::labelKey();
        const std::optional<std::string> value
            = *rc::gen::arbitrary<bool>() ? std::optional { *test::labelValue() } : std::nullopt;
        BackendServer fields = backend;
        fields.m_slots = *rc::gen::inRange<std::uint16_t>(1, 4);
        Service moved = target;
        moved.m_address.m_port = *rc::gen::inRange<std::uint16_t>(1, 9);
        switch (*rc::gen::inRange(0, 10)) {
        case 0:
            return labelOfHost(backend.m_name, key, labelOf(backend.m_labels, key), value);
        case 1:
            return std::make_shared<LabelChange>(
                LabelTarget::Service, target.m_name, key, labelOf(target.m_labels, key), value);
        case 2:
            return std::make_shared<SelectorChange>(target.m_name, target.m_selector, test::someSelector());
        case 3:
            return std::make_shared<DrainingChange>(backend.m_name, backend.m_draining, !backend.m_draining);
        case 4:
            return std::make_shared<HostFieldsChange>(backend, fields);
        case 5:
            return std::make_shared<ServiceAddressChange>(target, moved);
        case 6:
            return std::make_shared<HostAddition>(test::someBackendServer(*rc::gen::inRange(20U, 22U)));
        case 7:
            return std::make_shared<HostRemoval>(backend);
        case 8:
            return std::make_shared<ZoneChange>("khomas-d", true);
        default:
            return std::make_shared<ServiceRemoval>(target);
        }
    }

    RC_GTEST_PROP(Edit, acceptedEditIsNeverOverwritten, ())
    {
        Configuration base = someEditableConfiguration();
        Edit first = edit("first", "aiko", base.m_version, someChange(base));
        Edit second = edit("second", "ben", base.m_version, someChange(base));
        first.m_forced = second.m_forced = true;
        const Outcome<EditResult> afterFirst = applyEdit(base, first);
        if (!afterFirst) {
            RC_ASSERT(afterFirst.error().m_kind != ErrorKind::Conflict);
            return;
        }
        if (afterFirst.value().m_kind == EditResult::Kind::Unchanged)
            return; // the first edit made no change that the second could undo
        const Outcome<EditResult> afterBoth = applyEdit(afterFirst.value().m_configuration, second);
        if (!afterBoth)
            return;
        Configuration result = afterBoth.value().m_configuration;
        RC_ASSERT(checkConfiguration(result).has_value());
        for (const Edit& applied : { first, second }) {
            const Outcome<bool> repeated = applied.m_changes.front()->apply(result);
            RC_ASSERT(repeated.has_value());
            RC_ASSERT(!repeated.value());
        }
    }

    RC_GTEST_PROP(Edit, editsOfDisjointPathsCommute, ())
    {
        const Configuration base = someEditableConfiguration();
        Edit first = edit("first", "aiko", base.m_version, someChange(base));
        Edit second = edit("second", "ben", base.m_version, someChange(base));
        first.m_forced = second.m_forced = true;
        const std::string firstPath = first.m_changes.front()->path();
        const std::string secondPath = second.m_changes.front()->path();
        RC_PRE(firstPath.substr(0, secondPath.size()) != secondPath
            && secondPath.substr(0, firstPath.size()) != firstPath);
        RC_PRE(applyEdit(base, first).has_value() && applyEdit(base, second).has_value());
        const Outcome<EditResult> firstThenSecond = applyEdit(applyEdit(base, first).value().m_configuration, second);
        const Outcome<EditResult> secondThenFirst = applyEdit(applyEdit(base, second).value().m_configuration, first);
        RC_ASSERT(firstThenSecond.has_value() == secondThenFirst.has_value());
        if (!firstThenSecond)
            return;
        RC_ASSERT(firstThenSecond.value().m_configuration.m_backendServers
            == secondThenFirst.value().m_configuration.m_backendServers);
        RC_ASSERT(
            firstThenSecond.value().m_configuration.m_services == secondThenFirst.value().m_configuration.m_services);
    }

} // namespace
} // namespace cuminrelay

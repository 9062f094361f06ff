#include "operators/EditCommands.h"

#include "configuration/Lookup.h"
#include "configuration/Selector.h"
#include "operators/Declarations.h"
#include "operators/EditSession.h"
#include "operators/Fleet.h"
#include "settings/NearestName.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>
#include <utility>

namespace cuminrelay::operators {

namespace asio = boost::asio;

namespace {

    Error badInput(std::string message)
    {
        return { ErrorKind::InvalidInput, std::move(message) };
    }

    template <typename Element>
    Error notFoundError(std::string_view kind, std::string_view name, const std::vector<Element>& elements)
    {
        std::vector<std::string> names;
        names.reserve(elements.size());
        for (const Element& element : elements)
            names.push_back(element.m_name);
        const std::string_view nearest = nearestName(name, names);
        const std::string hint = nearest.empty() ? std::string { "run \"cuminrelayctl get\" for the list" }
                                                 : fmt::format("did you mean \"{}\"?", nearest);
        return { ErrorKind::NotFound, fmt::format("there is no {} \"{}\"; {}", kind, name, hint) };
    }

    /// Argument "key=value" to set a label, or "key-" to remove it.
    struct LabelArgument {
        std::string m_key;
        std::optional<std::string> m_value;
    };

    Outcome<LabelArgument> parseLabelArgument(std::string_view argument)
    {
        const std::size_t equals = argument.find('=');
        LabelArgument result;
        if (equals != std::string_view::npos) {
            result.m_key = argument.substr(0, equals);
            result.m_value = argument.substr(equals + 1);
        } else if (argument.ends_with('-')) {
            result.m_key = argument.substr(0, argument.size() - 1);
        } else {
            return badInput(
                fmt::format("found \"{}\"; allowed: key=value to set a label, key- to remove it", argument));
        }
        if (const Outcome<void> checked = checkLabelKey(result.m_key); !checked)
            return checked.error();
        if (const Outcome<void> checked = checkLabelValue(result.m_value.value_or("")); !checked)
            return checked.error();
        return result;
    }

    class LabelPlan final : public ChangePlan {
    public:
        LabelPlan(LabelTarget target, std::string name, std::vector<LabelArgument> arguments)
            : m_target(target)
            , m_name(std::move(name))
            , m_arguments(std::move(arguments))
        {
        }

        Outcome<ChangeList> plan(const Configuration& configuration) const override
        {
            const BackendServer* const host = findBackendServer(configuration.m_backendServers, m_name);
            const Service* const service = findService(configuration.m_services, m_name);
            if (m_target == LabelTarget::Host && !host)
                return notFoundError("host", m_name, configuration.m_backendServers);
            if (m_target == LabelTarget::Service && !service)
                return notFoundError("service", m_name, configuration.m_services);
            const Labels& labels = m_target == LabelTarget::Host ? host->m_labels : service->m_labels;
            ChangeList changes;
            for (const LabelArgument& argument : m_arguments) {
                const auto found = labels.find(argument.m_key);
                const std::optional<std::string> before
                    = found != labels.end() ? std::optional { found->second } : std::nullopt;
                if (before != argument.m_value) {
                    changes.push_back(
                        std::make_shared<LabelChange>(m_target, m_name, argument.m_key, before, argument.m_value));
                }
            }
            return changes;
        }

    private:
        LabelTarget m_target;
        std::string m_name;
        std::vector<LabelArgument> m_arguments;
    };

    class SelectPlan final : public ChangePlan {
    public:
        SelectPlan(std::string service, Selector selector)
            : m_service(std::move(service))
            , m_selector(std::move(selector))
        {
        }

        Outcome<ChangeList> plan(const Configuration& configuration) const override
        {
            const Service* const service = findService(configuration.m_services, m_service);
            if (!service)
                return notFoundError("service", m_service, configuration.m_services);
            if (service->m_selector == m_selector)
                return ChangeList {};
            return ChangeList { std::make_shared<SelectorChange>(m_service, service->m_selector, m_selector) };
        }

    private:
        std::string m_service;
        Selector m_selector;
    };

    class DrainPlan final : public ChangePlan {
    public:
        DrainPlan(std::vector<std::string> hosts, bool draining)
            : m_hosts(std::move(hosts))
            , m_draining(draining)
        {
        }

        Outcome<ChangeList> plan(const Configuration& configuration) const override
        {
            ChangeList changes;
            for (const std::string& name : m_hosts) {
                const BackendServer* const host = findBackendServer(configuration.m_backendServers, name);
                if (!host)
                    return notFoundError("host", name, configuration.m_backendServers);
                if (host->m_draining != m_draining)
                    changes.push_back(std::make_shared<DrainingChange>(name, host->m_draining, m_draining));
            }
            return changes;
        }

    private:
        std::vector<std::string> m_hosts;
        bool m_draining;
    };

    class ApplyPlan final : public ChangePlan {
    public:
        explicit ApplyPlan(Declarations declarations)
            : m_declarations(std::move(declarations))
        {
        }

        Outcome<ChangeList> plan(const Configuration& configuration) const override
        {
            return changesTo(m_declarations, configuration);
        }

    private:
        Declarations m_declarations;
    };

    boost::json::array describe(const ChangeList& changes)
    {
        boost::json::array lines;
        for (const std::shared_ptr<const Change>& change : changes)
            lines.emplace_back(change->describe());
        return lines;
    }

    std::string changeLines(const ChangeList& changes)
    {
        std::string text;
        for (const std::shared_ptr<const Change>& change : changes)
            text += change->describe() + '\n';
        return text;
    }

    CommandResult report(const CommandContext& context, const EditOutcome& outcome)
    {
        const std::uint64_t version = outcome.m_version.m_number;
        boost::json::object object;
        object["changed"] = outcome.m_changed;
        object["version"] = version;
        object["edit_id"] = context.m_editId;
        object["changes"] = describe(outcome.m_changes);
        if (!outcome.m_changed) {
            return { CommandStatus::Success, std::move(object),
                fmt::format("nothing to change; version {} has this state already\n", version) };
        }
        return { CommandStatus::Success, std::move(object),
            fmt::format("{}accepted as version {}; run \"cuminrelayctl wait {}\" to wait until it is in force\n",
                changeLines(outcome.m_changes), version, version) };
    }

    asio::awaitable<Outcome<CommandResult>> runAndReport(CommandContext& context, const ChangePlan& plan)
    {
        const Outcome<EditOutcome> outcome = co_await runEdit(context, plan);
        if (!outcome)
            co_return outcome.error();
        co_return report(context, outcome.value());
    }

} // namespace

VerbHelp LabelCommand::help() const
{
    return { "label", "host|service NAME KEY=VALUE... KEY-...", "set labels, or remove them with a trailing '-'",
        "cuminrelayctl label host kanteisha-03 tier=gold canary-", { VerbOption::Force, VerbOption::Base } };
}

asio::awaitable<Outcome<CommandResult>> LabelCommand::run(CommandContext& context) const
{
    const std::vector<std::string>& arguments = context.m_options.m_arguments;
    if (arguments.size() < 3 || (arguments[0] != "host" && arguments[0] != "service"))
        co_return badInput("label: expected host|service, a name, and at least one KEY=VALUE or KEY-");
    std::vector<LabelArgument> labels;
    for (std::size_t i = 2; i < arguments.size(); ++i) {
        Outcome<LabelArgument> label = parseLabelArgument(arguments[i]);
        if (!label)
            co_return label.error();
        labels.push_back(std::move(label.value()));
    }
    const LabelTarget target = arguments[0] == "host" ? LabelTarget::Host : LabelTarget::Service;
    const LabelPlan plan { target, arguments[1], std::move(labels) };
    co_return co_await runAndReport(context, plan);
}

VerbHelp SelectCommand::help() const
{
    return { "select", "SERVICE SELECTOR", "set the label selector of the hosts that serve a service",
        "cuminrelayctl select agenda 'app=agenda,tier in (gold,silver),!canary'",
        { VerbOption::Force, VerbOption::Base } };
}

asio::awaitable<Outcome<CommandResult>> SelectCommand::run(CommandContext& context) const
{
    const std::vector<std::string>& arguments = context.m_options.m_arguments;
    if (arguments.size() != 2)
        co_return badInput("select: expected a service and a selector (quoted, if it has spaces)");
    Outcome<Selector> selector = parseSelector(arguments[1]);
    if (!selector)
        co_return selector.error();
    const SelectPlan plan { arguments[0], std::move(selector.value()) };
    co_return co_await runAndReport(context, plan);
}

VerbHelp DrainCommand::help() const
{
    if (m_draining) {
        return { "drain", "HOST...", "stop new flows to hosts; established flows stay",
            "cuminrelayctl drain kanteisha-03", { VerbOption::Force, VerbOption::Base } };
    }
    return { "undrain", "HOST...", "allow new flows to drained hosts again", "cuminrelayctl undrain kanteisha-03",
        { VerbOption::Base } };
}

asio::awaitable<Outcome<CommandResult>> DrainCommand::run(CommandContext& context) const
{
    if (context.m_options.m_arguments.empty())
        co_return badInput(fmt::format("{}: expected at least one host", help().m_name));
    const DrainPlan plan { context.m_options.m_arguments, m_draining };
    co_return co_await runAndReport(context, plan);
}

VerbHelp DiffCommand::help() const
{
    return { "diff", "-f FILE", "show what apply would change; exit status 1 if there are changes",
        "cuminrelayctl diff -f shirakaba.json", { VerbOption::File } };
}

asio::awaitable<Outcome<CommandResult>> DiffCommand::run(CommandContext& context) const
{
    const Outcome<Declarations> declarations = loadDeclarations(context.m_options.m_file);
    if (!declarations)
        co_return declarations.error();
    Outcome<Configuration> configuration = co_await readConfiguration(context.m_platform, context.m_deadline);
    if (!configuration && configuration.error().m_kind == ErrorKind::NotFound)
        configuration = Configuration {};
    if (!configuration)
        co_return configuration.error();
    const std::uint64_t version = configuration.value().m_version.m_number;
    const ChangeList changes = changesTo(declarations.value(), configuration.value());
    boost::json::object object;
    object["version"] = version;
    object["changes"] = describe(changes);
    if (changes.empty()) {
        co_return CommandResult { CommandStatus::Success, std::move(object),
            fmt::format("no difference from version {}\n", version) };
    }
    co_return CommandResult { CommandStatus::NotAchieved, std::move(object),
        fmt::format("{}{} changes to version {}; run \"cuminrelayctl apply -f {} --base {}\" to apply exactly these\n",
            changeLines(changes), changes.size(), version, context.m_options.m_file, version) };
}

VerbHelp CheckCommand::help() const
{
    return { "check", "-f FILE",
        "check a declarations file as a complete configuration, without access to the platform",
        "cuminrelayctl check -f shirakaba.json", { VerbOption::File, VerbOption::Force } };
}

asio::awaitable<Outcome<CommandResult>> CheckCommand::run(CommandContext& context) const
{
    const Outcome<Declarations> declarations = loadDeclarations(context.m_options.m_file);
    if (!declarations)
        co_return declarations.error();
    Edit edit;
    edit.m_id = context.m_editId;
    edit.m_forced = context.m_options.m_forced;
    edit.m_changes = changesTo(declarations.value(), {});
    const Outcome<EditResult> result = applyEdit({}, edit);
    if (!result)
        co_return result.error();
    const std::size_t hosts = result.value().m_configuration.m_backendServers.size();
    const std::size_t services = result.value().m_configuration.m_services.size();
    boost::json::object object { { "hosts", hosts }, { "services", services } };
    co_return CommandResult { CommandStatus::Success, std::move(object),
        fmt::format("{}: valid; {} hosts, {} services\n", context.m_options.m_file, hosts, services) };
}

VerbHelp ApplyCommand::help() const
{
    return { "apply", "-f FILE",
        "bring the configuration to the state that the file declares; everything else stays unchanged",
        "cuminrelayctl apply -f shirakaba.json --base 41", { VerbOption::File, VerbOption::Force, VerbOption::Base } };
}

asio::awaitable<Outcome<CommandResult>> ApplyCommand::run(CommandContext& context) const
{
    Outcome<Declarations> declarations = loadDeclarations(context.m_options.m_file);
    if (!declarations)
        co_return declarations.error();
    const ApplyPlan plan { std::move(declarations.value()) };
    co_return co_await runAndReport(context, plan);
}

} // namespace cuminrelay::operators

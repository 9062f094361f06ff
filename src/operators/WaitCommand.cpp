#include "operators/WaitCommand.h"

#include "operators/Fleet.h"
#include "operators/Table.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace cuminrelay::operators {

namespace asio = boost::asio;

namespace {

    /// Limited because the VM list and other zones may change meanwhile.
    constexpr Duration c_maximumWatchTime = std::chrono::seconds { 5 };
    constexpr Duration c_pauseAfterFailure = std::chrono::milliseconds { 500 };

    constexpr Duration c_finalReadTimeout = std::chrono::seconds { 2 }; ///< after the deadline, to list the missing VMs

    Outcome<std::optional<std::uint64_t>> parseVersion(const std::vector<std::string>& arguments)
    {
        if (arguments.empty())
            return std::optional<std::uint64_t> {};
        std::uint64_t version = 0;
        const char* const end = arguments[0].data() + arguments[0].size();
        const std::from_chars_result parsed = std::from_chars(arguments[0].data(), end, version);
        if (arguments.size() > 1 || parsed.ec != std::errc {} || parsed.ptr != end) {
            return Error { ErrorKind::InvalidInput,
                fmt::format(
                    "wait: found \"{}\"; allowed: one version number, or nothing for the newest", arguments[0]) };
        }
        return std::optional { version };
    }

    /// Suspends until the zone's status is written again, for at most c_maximumWatchTime.
    asio::awaitable<void> waitForStatusUpdate(CommandContext& context, const Fleet& fleet, std::string zone)
    {
        const auto lastStatus = std::ranges::find(fleet.m_zones, zone, &ZoneStatus::m_zone);
        const std::uint64_t version = lastStatus != fleet.m_zones.end() ? lastStatus->m_objectVersion : 0;
        const Deadline until = std::min(context.m_deadline, context.m_clock.now() + c_maximumWatchTime);
        const Outcome<StoredObject> statusUpdate
            = co_await context.m_platform.watch("status", std::move(zone), version, until);
        if (statusUpdate)
            co_return;
        asio::steady_timer timer { co_await asio::this_coro::executor };
        timer.expires_after(c_pauseAfterFailure);
        boost::system::error_code canceled;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, canceled));
    }

    CommandResult inForceResult(const Fleet& fleet, ConfigVersion version)
    {
        const std::ptrdiff_t live = std::ranges::count(fleet.m_vms, MemberState::Active, &Member::m_state);
        if (live == 0) {
            boost::json::object noLiveVms { { "version", version.m_number }, { "in_force", false },
                { "missing", boost::json::array {} } };
            return { CommandStatus::NotAchieved, std::move(noLiveVms), "the VM list contains no live entry VM\n" };
        }
        boost::json::object object { { "version", version.m_number }, { "in_force", true },
            { "missing", boost::json::array {} } };
        return { CommandStatus::Success, std::move(object),
            fmt::format("version {} is in force on all {} live entry VMs\n", version.m_number, live) };
    }

    CommandResult notInForceResult(std::span<const LaggingMember> lagging, ConfigVersion version)
    {
        Table table { { "MISSING", "ZONE", "REASON" } };
        boost::json::array missing;
        for (const LaggingMember& member : lagging) {
            table.addRow({ member.m_name, member.m_zone, member.m_reason });
            missing.emplace_back(boost::json::object {
                { "name", member.m_name }, { "zone", member.m_zone }, { "reason", member.m_reason } });
        }
        boost::json::object object { { "version", version.m_number }, { "in_force", false },
            { "missing", std::move(missing) } };
        return { CommandStatus::NotAchieved, std::move(object),
            fmt::format(
                "version {} is not in force on {} entry VMs\n{}", version.m_number, lagging.size(), table.text()) };
    }

} // namespace

VerbHelp WaitCommand::help() const
{
    return { "wait", "[VERSION]", "wait until a version is in force on every live entry VM; lists the missing ones",
        "cuminrelayctl wait 42 --timeout 30", {} };
}

asio::awaitable<Outcome<CommandResult>> WaitCommand::run(CommandContext& context) const
{
    const Outcome<std::optional<std::uint64_t>> requested = parseVersion(context.m_options.m_arguments);
    if (!requested)
        co_return requested.error();
    std::optional<ConfigVersion> version;
    if (requested.value())
        version = ConfigVersion { *requested.value() };
    std::vector<LaggingMember> lagging;
    while (true) {
        const Outcome<Fleet> fleet = co_await readFleet(context.m_platform, context.m_deadline + c_finalReadTimeout);
        if (!fleet && (fleet.error().m_kind != ErrorKind::Unavailable || lagging.empty()))
            co_return fleet.error();
        if (!fleet)
            co_return notInForceResult(lagging, *version);
        if (!version)
            version = fleet.value().m_configuration.m_version;
        lagging = laggingMembers(fleet.value(), *version);
        if (lagging.empty())
            co_return inForceResult(fleet.value(), *version);
        if (context.m_clock.now() >= context.m_deadline)
            co_return notInForceResult(lagging, *version);
        co_await waitForStatusUpdate(context, fleet.value(), lagging.front().m_zone);
    }
}

} // namespace cuminrelay::operators

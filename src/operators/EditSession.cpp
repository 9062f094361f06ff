#include "operators/EditSession.h"

#include "configuration/ConfigurationJson.h"
#include "operators/Fleet.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace cuminrelay::operators {

namespace asio = boost::asio;

namespace {

    constexpr unsigned c_maximumWrites = 20;
    constexpr unsigned c_maximumReads = 5;
    constexpr Duration c_backOffStep = std::chrono::milliseconds { 20 };
    constexpr std::int64_t c_msPerSecond = 1000;

    /// As readConfiguration; returns an empty configuration if the object does not exist.
    asio::awaitable<Outcome<Configuration>> readOrEmpty(PlatformClient& platform, Deadline deadline)
    {
        Outcome<Configuration> configuration = co_await readConfiguration(platform, deadline);
        if (!configuration && configuration.error().m_kind == ErrorKind::NotFound)
            co_return Configuration {};
        co_return configuration;
    }

    /// Gives a concurrent writer time to finish, and lagging reads time to catch up.
    asio::awaitable<void> backOff(unsigned attempt)
    {
        asio::steady_timer timer { co_await asio::this_coro::executor };
        timer.expires_after(c_backOffStep * attempt);
        boost::system::error_code canceled;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, canceled));
    }

    /// Returns an entry VM with a higher version than the store; nothing if none has, or if a status is unreadable.
    asio::awaitable<std::optional<MemberStatus>> readMemberAhead(
        PlatformClient& platform, const Configuration& current, Deadline deadline)
    {
        const Outcome<std::vector<Member>> vms = co_await platform.listMembers(deadline);
        std::vector<std::string> zones = zoneNames(current, vms ? vms.value() : std::vector<Member> {});
        const Outcome<std::vector<ZoneStatus>> statuses
            = co_await readZoneStatuses(platform, std::move(zones), deadline);
        co_return statuses ? findMemberAhead(statuses.value(), current.m_version) : std::nullopt;
    }

    /// Reads the base of an edit. Errors: as readOrEmpty; Conflict if an entry VM has a higher version than the store,
    /// because entry VMs would ignore the edit; not with --force.
    asio::awaitable<Outcome<Configuration>> readForEdit(const CommandContext& context)
    {
        std::optional<MemberStatus> ahead;
        Outcome<Configuration> current = Configuration {};
        // A lagging read also gives a version below the one in force; read again.
        for (unsigned attempt = 1; attempt <= c_maximumReads; ++attempt) {
            current = co_await readOrEmpty(context.m_platform, context.m_deadline);
            if (!current || context.m_options.m_forced)
                co_return current;
            ahead = co_await readMemberAhead(context.m_platform, current.value(), context.m_deadline);
            if (!ahead)
                co_return current;
            co_await backOff(attempt);
        }
        co_return Error { ErrorKind::Conflict,
            fmt::format("the store holds version {}, but {} has {} in force: the store went back, and entry VMs would "
                        "ignore this edit; see \"The store was restored\" on the operators' page, or give --force",
                current.value().m_version.m_number, ahead->m_name, ahead->m_configVersion.m_number) };
    }

    /// After a write with an unknown outcome, any later failure is reported as OutcomeUnknown.
    Error finalError(Error error, bool outcomeUnknown, const Edit& edit)
    {
        if (!outcomeUnknown)
            return error;
        return { ErrorKind::OutcomeUnknown,
            fmt::format(
                "it is unknown whether the edit took effect: {}; run \"cuminrelayctl history --id {}\" once the "
                "platform answers",
                error.m_message, edit.m_id) };
    }

    Edit makeEdit(const CommandContext& context, const Configuration& base, ChangeList changes)
    {
        return {
            .m_id = context.m_editId,
            .m_author = context.m_author,
            .m_summary = context.m_commandLine,
            .m_unixSeconds = context.m_unixMs / c_msPerSecond,
            .m_base = { context.m_options.m_base.value_or(base.m_version.m_number) },
            .m_forced = context.m_options.m_forced,
            .m_changes = std::move(changes),
        };
    }

    /// Writes next if the preceding version is stored. Errors: as PlatformClient::write; InvalidInput if too large.
    asio::awaitable<Outcome<std::uint64_t>> writeResult(CommandContext& context, const Configuration& next)
    {
        std::string text = formatConfiguration(next);
        if (text.size() > c_maximumConfigurationBytes) {
            co_return Error { ErrorKind::InvalidInput,
                fmt::format("the configuration would have {} bytes; allowed: at most {}", text.size(),
                    c_maximumConfigurationBytes) };
        }
        const std::uint64_t expected = next.m_version.m_number - 1;
        co_return co_await context.m_platform.write("config", "current", expected, std::move(text), context.m_deadline);
    }

} // namespace

asio::awaitable<Outcome<EditOutcome>> runEdit(CommandContext& context, const ChangePlan& plan)
{
    Outcome<Configuration> current = co_await readForEdit(context);
    if (!current)
        co_return current.error();
    Outcome<ChangeList> changes = plan.plan(current.value());
    if (!changes)
        co_return changes.error();
    const Edit edit = makeEdit(context, current.value(), std::move(changes.value()));

    Error lastError;
    bool outcomeUnknown = false;
    for (unsigned attempt = 1; attempt <= c_maximumWrites; ++attempt) {
        const Outcome<EditResult> result = applyEdit(current.value(), edit);
        if (!result)
            co_return result.error();
        if (result.value().m_kind != EditResult::Kind::Changed) {
            const bool changed = result.value().m_kind == EditResult::Kind::AlreadyApplied;
            co_return EditOutcome { changed, result.value().m_version, edit.m_changes };
        }
        const Outcome<std::uint64_t> written = co_await writeResult(context, result.value().m_configuration);
        if (written)
            co_return EditOutcome { true, { written.value() }, edit.m_changes };
        lastError = written.error();
        outcomeUnknown = outcomeUnknown || lastError.m_kind == ErrorKind::OutcomeUnknown;
        if (lastError.m_kind != ErrorKind::Conflict && lastError.m_kind != ErrorKind::OutcomeUnknown)
            break;
        co_await backOff(attempt);
        if (context.m_clock.now() >= context.m_deadline)
            break;
        current = co_await readOrEmpty(context.m_platform, context.m_deadline);
        if (!current)
            co_return finalError(current.error(), outcomeUnknown, edit);
    }
    // After a write with an unknown outcome, "nothing was changed" could be false.
    if (lastError.m_kind == ErrorKind::Conflict && !outcomeUnknown) {
        lastError = { ErrorKind::Unavailable,
            fmt::format("the store refused {} writes based on its latest reads: others write all the time, or its "
                        "reads lag; nothing was changed, run the command again",
                c_maximumWrites) };
    }
    co_return finalError(std::move(lastError), outcomeUnknown, edit);
}

} // namespace cuminrelay::operators

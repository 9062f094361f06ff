#include "configuration/Edit.h"

#include "configuration/Check.h"
#include "configuration/Lookup.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_maximumTouchedPaths = 32;
    constexpr std::size_t c_maximumSummaryBytes = 200;
    constexpr std::string_view c_anyPath = "*";

    bool contains(std::string_view outer, std::string_view inner)
    {
        return outer == c_anyPath || outer == inner
            || (inner.starts_with(outer) && inner.substr(outer.size()).starts_with('/'));
    }

    bool touches(const EditRecord& record, std::string_view path)
    {
        return std::ranges::any_of(record.m_touched,
            [path](const std::string& touched) { return contains(touched, path) || contains(path, touched); });
    }

    /// The object of a path as command line arguments: "host kanteisha-03" for "host/kanteisha-03/label/tier".
    std::string objectOf(std::string_view path)
    {
        const std::size_t kindEnd = path.find('/');
        const std::size_t nameEnd = path.find('/', kindEnd + 1);
        return fmt::format("{} {}", path.substr(0, kindEnd), path.substr(kindEnd + 1, nameEnd - kindEnd - 1));
    }

    std::string describeChange(const EditRecord* record)
    {
        if (!record)
            return {};
        return fmt::format(
            "; changed by {} at version {} ({})", record->m_author, record->m_version.m_number, record->m_summary);
    }

    std::string suggestRetry(std::string_view path)
    {
        return fmt::format("; run \"cuminrelayctl get {}\" and repeat the edit if it is still wanted", objectOf(path));
    }

    /// Whether the history contains all edits after the version, so that no record of a path means no change.
    bool historyCovers(const Configuration& configuration, ConfigVersion version)
    {
        return configuration.m_history.size() < c_maximumHistory
            || configuration.m_history.front().m_version.m_number <= version.m_number + 1;
    }

    /// Rejects a change to a path that another edit touched after the edit's base version.
    Outcome<void> checkUnchangedSinceBase(const Configuration& current, const Edit& edit, const Change& change)
    {
        const std::string path = change.path();
        const EditRecord* const record = lastEditTouching(current, path, edit.m_base);
        if (record) {
            return Error { ErrorKind::Conflict,
                fmt::format("{} was changed after version {}, the base of this edit{}{}", path, edit.m_base.m_number,
                    describeChange(record), suggestRetry(path)) };
        }
        if (!historyCovers(current, edit.m_base)) {
            return Error { ErrorKind::Conflict,
                fmt::format("{}: version {}, the base of this edit, is older than the history{}", path,
                    edit.m_base.m_number, suggestRetry(path)) };
        }
        return boost::outcome_v2::success();
    }

    Error addLastChange(const Configuration& current, const Change& change, Error error)
    {
        if (error.m_kind != ErrorKind::Conflict && error.m_kind != ErrorKind::NotFound)
            return error;
        const std::string path = change.path();
        error.m_message += describeChange(lastEditTouching(current, path, {}));
        if (error.m_kind == ErrorKind::Conflict)
            error.m_message += suggestRetry(path);
        return error;
    }

    void appendHistory(Configuration& configuration, const Edit& edit, std::vector<std::string> touched)
    {
        if (touched.size() > c_maximumTouchedPaths)
            touched = { std::string { c_anyPath } };
        configuration.m_history.push_back({
            .m_id = edit.m_id,
            .m_author = edit.m_author,
            .m_summary = edit.m_summary.substr(0, c_maximumSummaryBytes),
            .m_version = configuration.m_version,
            .m_unixSeconds = edit.m_unixSeconds,
            .m_touched = std::move(touched),
        });
        if (configuration.m_history.size() > c_maximumHistory)
            configuration.m_history.erase(configuration.m_history.begin());
    }

} // namespace

Outcome<EditResult> applyEdit(const Configuration& current, const Edit& edit)
{
    if (const EditRecord* const record = findEdit(current.m_history, edit.m_id))
        return EditResult { EditResult::Kind::AlreadyApplied, current, record->m_version };

    Configuration next = current;
    std::vector<std::string> touched;
    for (const std::shared_ptr<const Change>& change : edit.m_changes) {
        const Outcome<bool> changed = change->apply(next);
        if (!changed)
            return addLastChange(current, *change, changed.error());
        if (!changed.value())
            continue;
        if (const Outcome<void> checked = checkUnchangedSinceBase(current, edit, *change); !checked)
            return checked.error();
        touched.push_back(change->path());
    }
    if (touched.empty())
        return EditResult { EditResult::Kind::Unchanged, current, current.m_version };

    if (const Outcome<void> checked = checkConfiguration(next); !checked)
        return checked.error();
    if (!edit.m_forced) {
        if (const Outcome<void> checked = checkChange(current, next); !checked)
            return checked.error();
    }
    ++next.m_version.m_number;
    appendHistory(next, edit, std::move(touched));
    const ConfigVersion version = next.m_version;
    return EditResult { EditResult::Kind::Changed, std::move(next), version };
}

const EditRecord* lastEditTouching(
    const Configuration& configuration, std::string_view path, ConfigVersion sinceVersion)
{
    const auto found = std::find_if(configuration.m_history.rbegin(), configuration.m_history.rend(),
        [path](const EditRecord& record) { return touches(record, path); });
    return found != configuration.m_history.rend() && found->m_version > sinceVersion ? &*found : nullptr;
}

} // namespace cuminrelay

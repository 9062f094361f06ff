#include "bench/ChangeDesign.h"

namespace cuminrelay {

Outcome<EditResult> VersionedChanges::edit(const Configuration& read, const Edit& edit) const
{
    return applyEdit(read, edit);
}

std::optional<ConfigVersion> VersionedChanges::expectedVersion(const EditResult& result) const
{
    return ConfigVersion { result.m_configuration.m_version.m_number - 1 };
}

SharedConfiguration VersionedChanges::install(ConfigurationHolder& held, const SharedConfiguration& offered) const
{
    (void)held.offer(*offered);
    return held.current();
}

Outcome<EditResult> LatestWinsChanges::edit(const Configuration& read, const Edit& edit) const
{
    EditResult result { EditResult::Kind::Changed, read, {} };
    for (const std::shared_ptr<const Change>& change : edit.m_changes) {
        const Outcome<bool> changed = change->apply(result.m_configuration);
        if (!changed && changed.error().m_kind == ErrorKind::NotFound)
            return changed.error();
    }
    result.m_configuration.m_history.push_back(
        { edit.m_id, edit.m_author, edit.m_summary, read.m_version, edit.m_unixSeconds, {} });
    return result;
}

SharedConfiguration LatestWinsChanges::install(ConfigurationHolder&, const SharedConfiguration& offered) const
{
    return offered;
}

} // namespace cuminrelay

#pragma once

#include "base/Error.h"
#include "configuration/Changes.h"
#include "configuration/Model.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminrelay {

/// An operator's request: changes that are applied atomically.
struct Edit {
    std::string m_id; ///< unique; identifies the edit in the history when the answer to its write was lost
    std::string m_author;
    std::string m_summary; ///< one line: the command that the operator ran
    std::int64_t m_unixSeconds = 0;
    ConfigVersion m_base; ///< version on which the edit is based
    bool m_forced = false; ///< skips checkChange
    ChangeList m_changes;
};

struct EditResult {
    enum class Kind : std::uint8_t {
        Changed, ///< m_configuration is to be written, with If-Version m_configuration.m_version - 1
        Unchanged, ///< all new values were present already
        AlreadyApplied, ///< the history contains this edit: an earlier write took effect
    };

    Kind m_kind = Kind::Unchanged;
    Configuration m_configuration; ///< after the edit
    ConfigVersion m_version; ///< version that contains the edit's changes
};

/// Applies an edit to the current configuration, which may be newer than the edit's base. Changes since the base at
/// other paths are kept; those at the same paths are a conflict. Errors: Conflict with the author and version of the
/// other change and the next command to run; NotFound; InvalidInput from checkConfiguration or checkChange.
Outcome<EditResult> applyEdit(const Configuration& current, const Edit& edit);

/// The newest edit that touched the path, a path within it or a path that contains it; nullptr if none is newer than
/// sinceVersion.
const EditRecord* lastEditTouching(
    const Configuration& configuration, std::string_view path, ConfigVersion sinceVersion);

} // namespace cuminrelay

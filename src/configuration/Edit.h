#pragma once

#include "base/Error.h"
#include "configuration/Changes.h"
#include "configuration/Model.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminrelay {

/// What an operator asks for: changes that are made together or not at all.
struct Edit {
    std::string m_id; ///< unique; recognised in the history when the answer to the write was lost
    std::string m_author;
    std::string m_summary; ///< one line; what the operator ran
    std::int64_t m_unixSeconds = 0;
    ConfigVersion m_base; ///< the version that the operator looked at
    bool m_forced = false; ///< skips checkChange
    ChangeList m_changes;
};

/// What became of an edit.
struct EditResult {
    enum class Kind : std::uint8_t {
        Changed, ///< m_configuration is to be written with If-Version m_configuration.m_version - 1
        Unchanged, ///< everything was so already
        AlreadyApplied, ///< this very edit is in the history: an earlier write of it took effect
    };

    Kind m_kind = Kind::Unchanged;
    Configuration m_configuration; ///< after the edit
    ConfigVersion m_version; ///< that holds the edit's changes
};

/// Applies an edit to the current configuration, which may be newer than the edit's base: changes to other things are
/// kept, changes to the same things are a conflict. Errors: Conflict naming who changed it, at which version, and what
/// to run next; NotFound; InvalidInput when the result would be invalid, or harmful and not forced.
Outcome<EditResult> applyEdit(const Configuration& current, const Edit& edit);

/// The newest edit after a version that touched the path, something in it, or something around it; or nullptr.
const EditRecord* lastEditTouching(const Configuration& configuration, std::string_view path, ConfigVersion after);

} // namespace cuminrelay

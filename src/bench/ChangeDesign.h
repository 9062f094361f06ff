#pragma once

#include "configuration/ConfigurationHolder.h"
#include "configuration/Edit.h"

#include <optional>

namespace cuminrelay {

/// Decides how edits are written and which configurations an entry process installs.
class ChangeDesign {
public:
    ChangeDesign() = default;
    ChangeDesign(const ChangeDesign&) = delete;
    ChangeDesign& operator=(const ChangeDesign&) = delete;
    virtual ~ChangeDesign() = default;

    /// Applies an operator's edit to the configuration read. A result of kind Changed is to be written. Errors: those
    /// of applyEdit.
    virtual Outcome<EditResult> edit(const Configuration& read, const Edit& edit) const = 0;

    /// The stored version that the write of the result requires; nullopt for an unconditional write.
    virtual std::optional<ConfigVersion> expectedVersion(const EditResult& result) const = 0;

    /// Offers a configuration to the holder of an entry process. Returns the configuration then in force.
    virtual SharedConfiguration install(ConfigurationHolder& held, const SharedConfiguration& offered) const = 0;

    /// True if each answer of the store is installed directly in the entry process.
    virtual bool installsEachAnswer() const = 0;
};

/// The production design: idempotent edits with a version check, and versions that only increase.
class VersionedChanges final : public ChangeDesign {
public:
    Outcome<EditResult> edit(const Configuration& read, const Edit& edit) const override;
    std::optional<ConfigVersion> expectedVersion(const EditResult& result) const override;
    SharedConfiguration install(ConfigurationHolder& held, const SharedConfiguration& offered) const override;
    bool installsEachAnswer() const override { return false; }
};

/// A baseline: the last write and the latest answer of the store win.
class LatestWinsChanges final : public ChangeDesign {
public:
    Outcome<EditResult> edit(const Configuration& read, const Edit& edit) const override;
    std::optional<ConfigVersion> expectedVersion(const EditResult&) const override { return std::nullopt; }
    SharedConfiguration install(ConfigurationHolder& held, const SharedConfiguration& offered) const override;
    bool installsEachAnswer() const override { return true; }
};

} // namespace cuminrelay

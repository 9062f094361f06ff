#pragma once

#include "configuration/ConfigurationHolder.h"
#include "configuration/Edit.h"

#include <optional>

namespace cuminrelay {

/// How edits are written and which configurations a VM takes.
class ChangeDesign {
public:
    ChangeDesign() = default;
    ChangeDesign(const ChangeDesign&) = delete;
    ChangeDesign& operator=(const ChangeDesign&) = delete;
    virtual ~ChangeDesign() = default;

    /// What an operator writes for an edit of what it read.
    virtual Outcome<EditResult> edit(const Configuration& read, const Edit& edit) const = 0;

    /// The version that must be stored still when the result is written; nothing for an unconditional write.
    virtual std::optional<ConfigVersion> expectedVersion(const EditResult& result) const = 0;

    /// What is in force in an entry process once it was offered a configuration. held: what the process has taken.
    virtual SharedConfiguration install(ConfigurationHolder& held, const SharedConfiguration& offered) const = 0;

    /// Whether each answer of the store goes straight to the entry process.
    virtual bool installsEachAnswer() const = 0;
};

/// The product: edits under a version check that can be applied again, and versions that only grow.
class VersionedChanges final : public ChangeDesign {
public:
    Outcome<EditResult> edit(const Configuration& read, const Edit& edit) const override;
    std::optional<ConfigVersion> expectedVersion(const EditResult& result) const override;
    SharedConfiguration install(ConfigurationHolder& held, const SharedConfiguration& offered) const override;
    bool installsEachAnswer() const override { return false; }
};

/// A baseline: the last writer wins, and so does the latest answer of the store.
class LatestWinsChanges final : public ChangeDesign {
public:
    Outcome<EditResult> edit(const Configuration& read, const Edit& edit) const override;
    std::optional<ConfigVersion> expectedVersion(const EditResult&) const override { return std::nullopt; }
    SharedConfiguration install(ConfigurationHolder& held, const SharedConfiguration& offered) const override;
    bool installsEachAnswer() const override { return true; }
};

} // namespace cuminrelay

#pragma once

#include "configuration/Edit.h"
#include "operators/Command.h"

#include <boost/asio/awaitable.hpp>

namespace cuminrelay::operators {

/// Computes the changes of an edit from the stored configuration.
class ChangePlan {
public:
    ChangePlan() = default;
    ChangePlan(const ChangePlan&) = delete;
    ChangePlan& operator=(const ChangePlan&) = delete;
    virtual ~ChangePlan() = default;

    /// Errors: InvalidInput, NotFound.
    virtual Outcome<ChangeList> plan(const Configuration& configuration) const = 0;
};

struct EditOutcome {
    bool m_changed = false;
    ConfigVersion m_version; ///< contains the requested state
    ChangeList m_changes;
};

/// Reads the configuration, plans the changes and writes the result, conditional on the version that was read. After a
/// concurrent write or a lost answer, reads again and writes the same changes. An edit that took effect is recognised
/// by its id. Errors: as plan and PlatformClient; Conflict if another edit changed the same objects, or if an entry VM
/// has a higher version than the store.
boost::asio::awaitable<Outcome<EditOutcome>> runEdit(CommandContext& context, const ChangePlan& plan);

} // namespace cuminrelay::operators

#pragma once

#include "configuration/Edit.h"
#include "operators/Command.h"

#include <boost/asio/awaitable.hpp>

namespace cuminrelay::operators {

/// Makes the changes of an edit from the configuration that is stored when the operator runs it.
class ChangePlan {
public:
    ChangePlan() = default;
    ChangePlan(const ChangePlan&) = delete;
    ChangePlan& operator=(const ChangePlan&) = delete;
    virtual ~ChangePlan() = default;

    /// Errors: InvalidInput, NotFound.
    virtual Outcome<ChangeList> plan(const Configuration& configuration) const = 0;
};

/// What an edit did.
struct EditOutcome {
    bool m_changed = false;
    ConfigVersion m_version; ///< that holds what was asked for
    ChangeList m_changes;
};

/// Reads the configuration, plans the changes and writes the result, conditional on the version that was read. When
/// somebody else wrote meanwhile, or the answer to the write was lost, reads again and goes on from there: the edit is
/// recognised by its id if it did take effect, and conflicts if somebody changed the same things.
boost::asio::awaitable<Outcome<EditOutcome>> runEdit(CommandContext& context, const ChangePlan& plan);

} // namespace cuminrelay::operators

#pragma once

#include "affinity/TokenRouter.h"
#include "exchange/ExchangePeers.h"
#include "exchange/LoadMessage.h"

#include <vector>

namespace cuminrelay {

/// A message to send at once, outside the schedule of load messages.
struct ContestedFlowsNotice {
    std::vector<Endpoint> m_targets;
    std::vector<ContestedFlowReport> m_flows; ///< at most c_maxNoticedFlows
    std::vector<FlowHash> m_questions; ///< at most c_maxQuestions
};

/// Keeps what the VMs know of contested flows in step: decides what one VM tells or asks the others at once, beside the
/// flows that load messages list, and when it may have missed what the others told.
class ContestedFlowsExchange {
public:
    /// The references must outlive this object.
    ContestedFlowsExchange(TokenRouter& router, ExchangePeers& peers);

    /// Applies what a message of another VM says of contested flows. Call after ExchangePeers::recordMessage.
    void apply(const LoadMessage& message, Endpoint sender, Instant now);

    /// Returns what to send now. Call after the router's decisions and before their packets are sent on, after each
    /// message of another VM, and in each tick.
    std::vector<ContestedFlowsNotice> takeNotices(Instant now);

    /// Call at the start and at least every 100 ms.
    void tick(Instant now);

private:
    TokenRouter& m_router;
    ExchangePeers& m_peers;
    std::vector<ContestedFlowsNotice> m_answers; ///< to other VMs' questions
};

} // namespace cuminrelay

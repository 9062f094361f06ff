#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

#include <chrono>
#include <optional>

namespace cuminrelay {

/// Decides on which connection a store update is requested from another VM, and how long the answer may take. Open
/// connections may go silent without a sign while new ones work. A request on the kept connection therefore has little
/// time and is then repeated on a new one.
class FetchSchedule {
public:
    struct Attempt {
        bool m_isOnKeptConnection = false;
        Deadline m_connectBy {}; ///< of a new connection
        Deadline m_answerBy {}; ///< the answer has to begin by then
    };

    /// The first attempt of a fetch. hasConnection: the connection kept last is open.
    Attempt begin(Endpoint peer, bool hasConnection, Instant now) const;

    /// The attempt after a failed one; nullopt if the fetch has failed.
    static std::optional<Attempt> next(const Attempt& failed, Instant now);

    /// When an answer that begins now has to be complete.
    static Deadline completeBy(Instant now);

    /// Records that the connection to a peer is kept.
    void keepConnection(Endpoint peer, Instant now);

private:
    Endpoint m_keptPeer;
    Deadline m_keptUntil {};
};

} // namespace cuminrelay

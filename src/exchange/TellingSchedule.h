#pragma once

#include "base/BytePacer.h"
#include "base/Time.h"
#include "exchange/LoadMessage.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cuminrelay {

/// Of what a VM may spend for control, 20 KB a second, the most for load messages; the rest is for news.
inline constexpr std::uint64_t c_exchangeBytesPerSecond = 16'000;

/// What each message costs besides its own bytes: the headers of IPv4 and UDP.
inline constexpr std::size_t c_datagramHeaderBytes = 28;

/// Decides when an entry VM tells others of the work at the backend servers: whenever it has changed, as far as the
/// budget of bytes allows, and from time to time when it has not, so that the others know that it still holds. That a
/// backend server was found dead or is back waits for no budget.
class TellingSchedule {
public:
    explicit TellingSchedule(std::uint64_t bytesPerSecond)
        : m_pacer(bytesPerSecond)
    {
    }

    bool isDue(std::span<const BackendLoadReport> loads, std::span<const BackendToken> dead, Instant now) const;

    /// This was told, with so many bytes over all messages; unchanged, it is told again at repeatAt.
    void noteTold(std::span<const BackendLoadReport> loads, std::span<const BackendToken> dead, std::size_t bytes,
        Instant now, Deadline repeatAt);

    /// Something else was sent to the same others.
    void noteSent(std::size_t bytes, Instant now) { m_pacer.charge(bytes, now); }

private:
    BytePacer m_pacer;
    std::vector<BackendLoadReport> m_loads;
    std::vector<BackendToken> m_dead;
    Deadline m_repeatAt {};
};

} // namespace cuminrelay

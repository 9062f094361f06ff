#pragma once

#include "base/Time.h"

#include <cstdint>

namespace cuminrelay {

/// A backend server's answer to a request, as seen by one entry VM.
struct ObservedAnswer {
    Duration m_time {}; ///< from the request to the answer's acknowledgment
    std::uint32_t m_load = 0; ///< other requests at the backend server when the request was sent, as far as known
    std::uint16_t m_slots = 1; ///< requests that the backend server processes concurrently
};

/// Returns the time of an answer less the expected wait for a slot.
Duration workTimeOf(const ObservedAnswer& answer);

/// Mean work time of the requests of a service, against which its backend servers are compared.
class AnswerBaseline {
public:
    /// isTypical: the backend server is steady. Other answers count little, so that the mean follows the steady backend
    /// servers, and still follows a service whose requests all become longer.
    void record(const ObservedAnswer& answer, bool isTypical);

    /// Returns the mean; zero while there are too few answers for a comparison.
    Duration mean() const;

private:
    float m_meanUs = 0;
    float m_weight = 0; ///< answers in the mean, up to a limit
};

} // namespace cuminrelay

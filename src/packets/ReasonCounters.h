#pragma once

#include "observe/Metrics.h"
#include "packets/Packet.h"

#include <array>
#include <string_view>

namespace cuminrelay {

/// One counter for each reason, looked up once so that counting a packet costs one addition.
class ReasonCounters {
public:
    ReasonCounters(Metrics& metrics, std::string_view name)
    {
        for (std::size_t i = 0; i < m_counters.size(); ++i)
            m_counters[i] = &metrics.counter(name, reasonName(static_cast<Reason>(i)));
    }

    void add(Reason reason) { m_counters[static_cast<std::size_t>(reason)]->add(); }

private:
    std::array<Counter*, static_cast<std::size_t>(Reason::Count)> m_counters {};
};

} // namespace cuminrelay

#include "pace/AnswerBaseline.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    /// Answers that the mean covers.
    constexpr float c_maxWeight = 64;

    /// Answers before the mean is used.
    constexpr float c_minWeight = 6;

    constexpr float c_untypicalWeight = 0.1F;

    /// Limits what a single answer that was delayed elsewhere changes, as a multiple of the mean.
    constexpr float c_maxRatio = 5;

} // namespace

Duration workTimeOf(const ObservedAnswer& answer)
{
    const std::int64_t slots = std::max<std::int64_t>(answer.m_slots, 1);
    const std::int64_t waiting = std::max<std::int64_t>(std::int64_t { answer.m_load } + 1 - slots, 0);
    return answer.m_time * slots / (slots + waiting);
}

void AnswerBaseline::record(const ObservedAnswer& answer, bool isTypical)
{
    const float weight = isTypical ? 1 : c_untypicalWeight;
    float work = static_cast<float>(workTimeOf(answer).count());
    if (m_weight >= c_minWeight)
        work = std::min(work, c_maxRatio * m_meanUs);
    m_weight = std::min(m_weight + weight, c_maxWeight);
    m_meanUs += (work - m_meanUs) * weight / m_weight;
}

Duration AnswerBaseline::mean() const
{
    return m_weight < c_minWeight ? Duration {} : Duration { static_cast<Duration::rep>(m_meanUs) };
}

} // namespace cuminrelay

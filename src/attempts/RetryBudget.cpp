#include "attempts/RetryBudget.h"

#include <algorithm>

namespace cuminrelay {

RetryBudget::RetryBudget(const Parameters& parameters)
    : m_parameters(parameters)
    , m_tokens(parameters.m_capacity)
{
}

void RetryBudget::deposit()
{
    m_tokens = std::min(m_parameters.m_capacity, m_tokens + m_parameters.m_ratio);
}

bool RetryBudget::withdraw()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace cuminrelay

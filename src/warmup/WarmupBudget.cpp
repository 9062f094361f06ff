#include "warmup/WarmupBudget.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace cuminrelay {

namespace {

    /// Limits the interval between permits for rates close to 0.
    constexpr double c_maxIntervalSeconds = 86'400;

    /// This VM takes over the share of a forgotten one only s_takeoverDelay later. To keep the forgotten one for as
    /// long has the same effect and needs no further state.
    constexpr Duration c_memberRetention = WarmupBudget::s_memberTimeout + WarmupBudget::s_takeoverDelay;

    /// Rounds up, so that a rate is not exceeded by rounding.
    Duration intervalOf(std::uint32_t openers, double rate)
    {
        const double seconds = std::min(openers / rate, c_maxIntervalSeconds);
        return Duration { static_cast<Duration::rep>(std::ceil(seconds * Duration::period::den)) };
    }

} // namespace

WarmupBudget::WarmupBudget(Endpoint self, WarmupBounds bounds, Instant startedAt)
    : m_self(self)
    , m_bounds(bounds)
    , m_opensFrom(startedAt + s_takeoverDelay)
    , m_opensAloneFrom(startedAt + s_memberTimeout + s_takeoverDelay)
    , m_lastHeardAt(startedAt)
{
}

void WarmupBudget::updateMembers(std::span<const ZoneMember> heardOf, Instant now)
{
    const Instant previousContact = m_lastHeardAt;
    for (const ZoneMember& member : heardOf)
        m_lastHeardAt = std::max(m_lastHeardAt, member.m_heardAt);
    // After it was cut off or paused, this VM knows as little of the others as after its start.
    if (m_lastHeardAt - previousContact >= s_takeoverDelay)
        m_opensFrom = std::max(m_opensFrom, now + s_takeoverDelay);
    const auto isForgotten
        = [this](const ZoneMember& member) { return m_lastHeardAt - member.m_heardAt >= c_memberRetention; };
    bool hasChanged = std::erase_if(m_members, isForgotten) > 0;
    for (const ZoneMember& member : heardOf) {
        if (member.m_vm == m_self || isForgotten(member))
            continue;
        const auto position = std::ranges::lower_bound(m_members, member.m_vm, {}, &ZoneMember::m_vm);
        if (position != m_members.end() && position->m_vm == member.m_vm) {
            position->m_heardAt = std::max(position->m_heardAt, member.m_heardAt);
            continue;
        }
        m_members.insert(position, member);
        hasChanged = true;
    }
    if (hasChanged)
        ++m_generation;
}

bool WarmupBudget::mayOpen(const ColdBackend& backend, WarmupPermits& permits, Instant now) const
{
    if (backend.m_rate <= 0)
        return true;
    if (!backend.m_isInLocalZone || now < permits.m_nextAt || now < m_opensFrom)
        return false;
    if (m_members.empty() && now < m_opensAloneFrom)
        return false;
    updateShare(backend, permits);
    return permits.m_isOpener;
}

void WarmupBudget::recordOpening(const ColdBackend& backend, WarmupPermits& permits, Instant now) const
{
    if (backend.m_rate <= 0)
        return;
    updateShare(backend, permits);
    permits.m_nextAt = now + intervalOf(permits.m_openers, pacedRate(backend.m_rate));
}

void WarmupBudget::updateShare(const ColdBackend& backend, WarmupPermits& permits) const
{
    if (permits.m_membersGeneration == m_generation && permits.m_rate == backend.m_rate)
        return;
    permits.m_membersGeneration = m_generation;
    permits.m_rate = backend.m_rate;
    permits.m_openers = openersAt(backend.m_rate);
    const std::uint64_t own = hashPair(m_self.packed(), backend.m_identity);
    const auto isBefore
        = [&](const ZoneMember& member) { return hashPair(member.m_vm.packed(), backend.m_identity) > own; };
    permits.m_isOpener = std::ranges::count_if(m_members, isBefore) < static_cast<std::ptrdiff_t>(permits.m_openers);
}

double WarmupBudget::pacedRate(double rate) const
{
    return std::min(m_bounds.m_overage, 1.0) * rate;
}

std::uint32_t WarmupBudget::openersAt(double rate) const
{
    const double wanted = std::floor((m_bounds.m_overage * rate - pacedRate(rate) + m_bounds.m_slack) / 2);
    return static_cast<std::uint32_t>(std::clamp(wanted, 1.0, static_cast<double>(members())));
}

} // namespace cuminrelay

#include "pace/ServiceModelTest.h"

#include <algorithm>
#include <utility>

namespace cuminrelay {

namespace {

    using std::chrono::milliseconds;

    constexpr std::uint64_t c_vmSeed = 1'000'000;
    constexpr double c_usPerS = 1e6;
    constexpr double c_meanWorkUs = 30'000;
    constexpr std::size_t c_slots = 2;
    constexpr std::size_t c_queue = 8;
    constexpr Duration c_refusalTime = milliseconds { 1 };
    constexpr Duration c_retransmissionDelay = milliseconds { 200 };
    constexpr Duration c_reportInterval = milliseconds { 900 };
    constexpr Duration c_reportDelay = milliseconds { 100 };
    constexpr Duration c_lateAfter = milliseconds { 150 };
    constexpr Duration c_meanProbeDelay = milliseconds { 500 };

    /// Flows are compared with the fair share over this time.
    constexpr std::size_t c_windowBins = 5;

    /// The share that counts as fair, as a part of the one by speed.
    constexpr double c_fairPart = 0.8;

    Duration inMicroseconds(double us)
    {
        return Duration { static_cast<Duration::rep>(us) };
    }

} // namespace

ServiceModel::ServiceModel(const ModelCase& modelCase, ModelPolicy policy, const ModelSite& site, std::uint64_t seed)
    : m_case(modelCase)
    , m_policy(policy)
    , m_arrivalsPerUs(site.m_answersPerS * site.m_vms * s_servers / c_usPerS)
    , m_random(seed)
    , m_vmRandom(seed + c_vmSeed)
    , m_vms(static_cast<std::size_t>(site.m_vms))
{
    std::uniform_real_distribution<double> speed { 0.7, 1.7 };
    for (Server& server : m_servers)
        server.m_speed = speed(m_random);
}

void ServiceModel::schedule(Instant at, std::function<void()> apply)
{
    m_events.push({ at, ++m_eventNumber, std::move(apply) });
}

void ServiceModel::run()
{
    std::uniform_int_distribution<Duration::rep> phase { 0, c_reportInterval.count() };
    for (int vm = 0; vm < static_cast<int>(m_vms.size()); ++vm)
        schedule(m_now + Duration { phase(m_vmRandom) }, [this, vm] { report(vm); });
    schedule(m_returnAt, [this] { comeBack(); });
    schedule(m_now, [this] { arrive(); });
    while (m_events.top().m_at < m_endAt) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.m_at;
        event.m_apply();
    }
    for (int server = 0; server < m_case.m_servers; ++server)
        m_result.m_longestGap = std::max(m_result.m_longestGap, m_endAt - m_servers[server].m_placedAt);
}

double ServiceModel::slowness(int server) const
{
    const bool isSlow = isAffected(server) && m_now >= m_returnAt && m_now < m_returnAt + m_case.m_slowFor;
    return isSlow ? m_case.m_slowness : 1;
}

void ServiceModel::arrive()
{
    schedule(m_now + inMicroseconds(std::exponential_distribution<double> { m_arrivalsPerUs }(m_random)),
        [this] { arrive(); });
    if (m_now >= m_returnAt) {
        double affected = 0;
        double all = 0;
        for (int server = 0; server < s_servers; ++server) {
            const double speed = m_servers[server].m_speed / slowness(server);
            affected += isAffected(server) ? speed : 0;
            all += speed;
        }
        m_fair[static_cast<std::size_t>((m_now - m_returnAt) / s_binWidth)] += affected / all;
    }
    std::exponential_distribution<double> work { 1 / c_meanWorkUs };
    const Caller caller { m_now, m_random(), work(m_random) };
    open(static_cast<int>(m_random() % m_vms.size()), caller);
}

FlowCandidate ServiceModel::candidate(int vm, int server) const
{
    const Vm& placing = m_vms[vm];
    FlowCandidate candidate;
    candidate.m_slots = c_slots;
    candidate.m_activeRequests = m_reportedSum[server] - placing.m_reported[server] + placing.m_active[server];
    const bool isPermanent = m_case.m_before == ModelCase::Before::Serving;
    const Pace known { slowness(server), 0, isPermanent ? PaceReason::Slow : PaceReason::Starting };
    if (m_policy == ModelPolicy::Learned)
        applyPace(placing.m_pace[server].pace(m_now), candidate);
    else if (m_policy == ModelPolicy::Known)
        applyPace(known, candidate);
    else if (m_policy == ModelPolicy::ConstantFactor && isAffected(server) && m_now >= m_returnAt
        && m_now < m_returnAt + m_case.m_announced)
        candidate.m_workFactor = c_warmupFactor;
    return candidate;
}

void ServiceModel::open(int vm, const Caller& caller)
{
    std::vector<int> eligible;
    std::vector<FlowCandidate> candidates;
    for (int server = 0; server < s_servers; ++server) {
        const bool isAbsent = isBefore(server) && m_case.m_before == ModelCase::Before::Absent;
        if (isAbsent || m_vms[vm].m_isUnresponsive[server])
            continue;
        eligible.push_back(server);
        candidates.push_back(candidate(vm, server));
    }
    const int chosen = eligible[m_placement.choose(candidates, { false, caller.m_draw })];
    recordFlow(chosen);
    const std::uint32_t load = candidate(vm, chosen).m_activeRequests;
    ++m_vms[vm].m_active[chosen];
    if (isBefore(chosen) && m_case.m_before == ModelCase::Before::Unanswering) {
        schedule(m_now + c_retransmissionDelay, [this, vm, chosen, caller] { missAnswer(vm, chosen, caller); });
        return;
    }
    Server& server = m_servers[chosen];
    std::erase_if(server.m_ends, [this](Instant end) { return end <= m_now; });
    const bool isFailing = isBefore(chosen) && m_case.m_before == ModelCase::Before::Failing;
    const bool isServed = !isFailing && server.m_ends.size() < c_slots + c_queue;
    Instant end = m_now + c_refusalTime;
    if (isServed) {
        Instant& freeAt = *std::ranges::min_element(server.m_freeAt);
        freeAt = std::max(freeAt, m_now) + inMicroseconds(caller.m_workUs * slowness(chosen) / server.m_speed);
        server.m_ends.push_back(freeAt);
        end = freeAt;
    }
    schedule(end, [this, vm, chosen, sentAt = m_now, caller, load, isServed] {
        answer(vm, chosen, sentAt, caller, load, isServed);
    });
}

void ServiceModel::recordFlow(int server)
{
    if (!isAffected(server) || m_now < m_returnAt)
        return;
    if (m_case.m_before == ModelCase::Before::Serving)
        countCarried(server);
    Instant& placedAt = m_servers[server].m_placedAt;
    m_result.m_longestGap = std::max(m_result.m_longestGap, m_now - placedAt);
    placedAt = m_now;
}

void ServiceModel::countCarried(int server)
{
    if (isAffected(server) && m_now >= m_returnAt)
        m_carried[static_cast<std::size_t>((m_now - m_returnAt) / s_binWidth)] += 1;
}

void ServiceModel::answer(int vm, int server, Instant sentAt, const Caller& caller, std::uint32_t load, bool isServed)
{
    Vm& observer = m_vms[vm];
    --observer.m_active[server];
    const ObservedAnswer observed { m_now - sentAt, load, c_slots };
    observer.m_pace[server].recordAnswer(observed, observer.m_baseline.mean(), m_now);
    observer.m_baseline.record(observed, observer.m_pace[server].pace(m_now).m_reason == PaceReason::Steady);
    if (isServed && m_case.m_before != ModelCase::Before::Serving)
        countCarried(server);
    finish(caller, isServed);
}

void ServiceModel::missAnswer(int vm, int server, Caller caller)
{
    Vm& observer = m_vms[vm];
    --observer.m_active[server];
    observer.m_pace[server].recordMissingAnswer(m_now);
    if (isBefore(server) && !observer.m_isUnresponsive[server]) {
        observer.m_isUnresponsive[server] = true;
        std::uniform_int_distribution<Duration::rep> delay { 0, 2 * c_meanProbeDelay.count() };
        schedule(m_returnAt + Duration { delay(m_vmRandom) }, [this, vm, server] {
            if (!m_vms[vm].m_isUnresponsive[server])
                return;
            m_vms[vm].m_isUnresponsive[server] = false;
            m_vms[vm].m_pace[server].recordRecovery(m_now);
        });
    }
    caller.m_draw += 1;
    open(vm, caller);
}

void ServiceModel::report(int vm)
{
    schedule(m_now + c_reportInterval, [this, vm] { report(vm); });
    schedule(m_now + c_reportDelay, [this, vm, active = m_vms[vm].m_active] {
        for (std::size_t server = 0; server < active.size(); ++server)
            m_reportedSum[server] += active[server] - m_vms[vm].m_reported[server];
        m_vms[vm].m_reported = active;
    });
}

void ServiceModel::comeBack()
{
    for (int server = 0; server < m_case.m_servers; ++server) {
        m_servers[server].m_placedAt = m_now;
        for (Vm& vm : m_vms) {
            if (m_case.m_isStart) {
                vm.m_isUnresponsive[server] = false;
                vm.m_pace[server].recordStart(m_now + m_case.m_announced, m_now);
            } else if (m_case.m_before == ModelCase::Before::Absent)
                vm.m_pace[server].recordRecovery(m_now);
        }
    }
}

void ServiceModel::finish(const Caller& caller, bool isServed)
{
    if (caller.m_sentAt < m_returnAt)
        return;
    const Duration wait = m_now - caller.m_sentAt;
    ++m_result.m_callers;
    m_result.m_longestWait = std::max(m_result.m_longestWait, wait);
    m_result.m_late += !isServed || wait > c_lateAfter ? 1 : 0;
}

ModelResult runModel(const ModelCase& modelCase, ModelPolicy policy, const ModelSite& site)
{
    ModelResult sum;
    std::vector<double> carried(ServiceModel::s_bins);
    std::vector<double> fair(ServiceModel::s_bins);
    for (int seed = 1; seed <= site.m_seeds; ++seed) {
        ServiceModel model { modelCase, policy, site, static_cast<std::uint64_t>(seed) };
        model.run();
        sum.m_longestWait = std::max(sum.m_longestWait, model.m_result.m_longestWait);
        sum.m_longestGap = std::max(sum.m_longestGap, model.m_result.m_longestGap);
        sum.m_late += model.m_result.m_late;
        sum.m_callers += model.m_result.m_callers;
        for (std::size_t bin = 0; bin < carried.size(); ++bin) {
            carried[bin] += model.m_carried[bin];
            fair[bin] += model.m_fair[bin];
        }
    }
    // A server that served before has too many flows at first, others too few.
    const bool isTooMany = modelCase.m_before == ModelCase::Before::Serving;
    sum.m_untilFairShare = ServiceModel::s_end - ServiceModel::s_returnAt;
    for (std::size_t end = c_windowBins; end <= carried.size(); ++end) {
        double carriedInWindow = 0;
        double fairInWindow = 0;
        for (std::size_t bin = end - c_windowBins; bin < end; ++bin) {
            carriedInWindow += carried[bin];
            fairInWindow += fair[bin];
        }
        const bool isFair
            = isTooMany ? carriedInWindow <= fairInWindow / c_fairPart : carriedInWindow >= fairInWindow * c_fairPart;
        if (isFair) {
            sum.m_untilFairShare = static_cast<Duration::rep>(end) * ServiceModel::s_binWidth;
            break;
        }
    }
    return sum;
}

} // namespace cuminrelay

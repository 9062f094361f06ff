#include "bench/LoadProfile.h"

#include "base/Hash.h"
#include "bench/Random.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    // Established feeds arrive within this time of the start.
    constexpr double c_establishSeconds = 8;

    Duration secondsToDuration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    /// Generates the arrivals of one kind. Each kind has its own random source, so that no kind affects another.
    class WorkSource {
    public:
        WorkSource(WorkKind kind, std::uint64_t seed, std::vector<Work>& work)
            : m_kind(kind)
            , m_random(hashPair(seed, static_cast<std::uint64_t>(kind)))
            , m_work(work)
        {
        }

        void addEstablishedFeeds(const ServiceLoad& load)
        {
            for (std::size_t i = 0; i < load.m_establishedFeeds; ++i)
                add(Instant { secondsToDuration(c_establishSeconds * m_random.fraction()) }, 0, load.m_feedSeconds);
        }

        /// Adds Poisson arrivals at a mean rate that the load spike raises: drawn at the peak rate, then thinned.
        void addArrivals(
            double perSecond, double slotSeconds, double connectionSeconds, const LoadSpike& loadSpike, Instant end)
        {
            if (perSecond <= 0)
                return;
            Instant now {};
            while (true) {
                now += secondsToDuration(m_random.exponentialSeconds(perSecond * loadSpike.m_factor));
                if (now >= end)
                    return;
                if (m_random.chance(loadSpike.factorAt(now) / loadSpike.m_factor))
                    add(now, slotSeconds, connectionSeconds);
            }
        }

    private:
        void add(Instant now, double meanSlotSeconds, double meanConnectionSeconds)
        {
            Work work;
            work.m_arrivesAt = now;
            work.m_kind = m_kind;
            work.m_flowHash = hashPair(m_random.below(UINT64_MAX), static_cast<std::uint64_t>(m_kind));
            if (meanSlotSeconds > 0)
                work.m_slotSeconds = m_random.exponentialSeconds(1 / meanSlotSeconds);
            if (meanConnectionSeconds > 0)
                work.m_connectionSeconds = m_random.exponentialSeconds(1 / meanConnectionSeconds);
            m_work.push_back(work);
        }

        WorkKind m_kind;
        Random m_random;
        std::vector<Work>& m_work;
    };

} // namespace

double LoadSpike::factorAt(Instant now) const
{
    if (now < m_startsAt || now >= m_endsAt)
        return 1;
    if (now >= m_peakAt)
        return m_factor;
    const double elapsed = static_cast<double>((now - m_startsAt).count());
    return 1 + (m_factor - 1) * elapsed / static_cast<double>((m_peakAt - m_startsAt).count());
}

std::vector<ServiceLoad> findServiceLoads(std::string_view profile)
{
    if (profile == "shirakaba") {
        return { ServiceLoad { .m_service = "kanteisha",
                     .m_establishedFeeds = 12'000,
                     .m_feedsPerSecond = 20,
                     .m_feedSeconds = 3600,
                     .m_shortPerSecond = 1500,
                     .m_shortSlotSeconds = 0.005 },
            ServiceLoad { .m_service = "chosa-bako",
                .m_shortPerSecond = 40,
                .m_shortSlotSeconds = 0.05,
                .m_stragglersPerSecond = 0.05,
                .m_stragglerSlotSeconds = 20 } };
    }
    if (profile == "kalahari") {
        return { ServiceLoad { .m_service = "agenda",
                     .m_establishedFeeds = 10'000,
                     .m_feedsPerSecond = 60,
                     .m_feedSeconds = 1800,
                     .m_shortPerSecond = 1500,
                     .m_shortSlotSeconds = 0.005 },
            ServiceLoad { .m_service = "abstracts",
                .m_shortPerSecond = 30,
                .m_shortSlotSeconds = 0.06,
                .m_stragglersPerSecond = 0.05,
                .m_stragglerSlotSeconds = 20 } };
    }
    return {};
}

std::vector<Work> makeWork(
    const ServiceLoad& load, const LoadSpike& loadSpike, bool hasStragglers, Instant end, std::uint64_t seed)
{
    std::vector<Work> work;
    WorkSource feeds(WorkKind::Feed, seed, work);
    feeds.addEstablishedFeeds(load);
    feeds.addArrivals(load.m_feedsPerSecond, load.m_shortSlotSeconds, load.m_feedSeconds, loadSpike, end);
    WorkSource shortWork(WorkKind::ShortWork, seed, work);
    shortWork.addArrivals(load.m_shortPerSecond, load.m_shortSlotSeconds, 0, loadSpike, end);
    if (hasStragglers) {
        WorkSource stragglers(WorkKind::Straggler, seed, work);
        stragglers.addArrivals(load.m_stragglersPerSecond, load.m_stragglerSlotSeconds, 0, {}, end);
    }
    std::stable_sort(work.begin(), work.end(),
        [](const Work& one, const Work& other) { return one.m_arrivesAt < other.m_arrivesAt; });
    return work;
}

} // namespace cuminrelay

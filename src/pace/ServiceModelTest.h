#pragma once

#include "base/Time.h"
#include "pace/AnswerBaseline.h"
#include "pace/PaceTracker.h"
#include "placement/LeastWorkPlacement.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace cuminrelay {

enum class ModelPolicy : std::uint8_t {
    NoRamp,
    ConstantFactor, ///< c_warmupFactor during an announced warm-up
    Learned, ///< PaceTracker
    Known, ///< the factor is the server's true one at each moment
};

/// A fault of some servers of the service; times from the start of the run.
struct ModelCase {
    enum class Before : std::uint8_t { Absent, Unanswering, Failing, Serving };

    std::string m_name;
    int m_servers = 1; ///< affected ones, the first of the service
    Before m_before = Before::Absent; ///< what they do in the time before they return
    bool m_isStart = true; ///< return as started servers, otherwise as recovered ones
    Duration m_announced {}; ///< warm-up announced
    double m_slowness = 1; ///< factor by which work takes longer after the return
    Duration m_slowFor {};
};

/// The entry VMs of a deployment, and what each of them sees of the service.
struct ModelSite {
    std::string m_name;
    int m_vms = 8;
    double m_answersPerS = 4; ///< of one server, at one VM
    int m_seeds = 1; ///< runs
};

struct ModelResult {
    Duration m_untilFairShare {}; ///< after the return
    Duration m_longestWait {};
    std::size_t m_late = 0; ///< callers answered late or not at all
    std::size_t m_callers = 0;
    Duration m_longestGap {}; ///< longest time without a new flow at an affected server after the return
};

/// Queue model of the servers of one service and of the entry VMs that place its flows, on a virtual clock. Each server
/// has 2 slots and a queue of 8, and sheds beyond it. VMs know each other's load as of up to a second before.
class ServiceModel {
public:
    static constexpr int s_servers = 12;
    static constexpr Duration s_returnAt = std::chrono::seconds { 4 };
    static constexpr Duration s_end = std::chrono::seconds { 9 };
    static constexpr Duration s_binWidth = std::chrono::milliseconds { 100 };
    static constexpr std::size_t s_bins = (s_end - s_returnAt) / s_binWidth;

    ServiceModel(const ModelCase& modelCase, ModelPolicy policy, const ModelSite& site, std::uint64_t seed);

    void run();

    std::vector<double> m_carried
        = std::vector<double>(s_bins); ///< flows that the affected servers answered, or were given if they had too many
    std::vector<double> m_fair = std::vector<double>(s_bins); ///< the affected servers' share by speed of all flows
    ModelResult m_result;

private:
    struct Server {
        double m_speed = 1;
        std::vector<Instant> m_ends; ///< of the requests that it has accepted
        std::array<Instant, 2> m_freeAt {};
        Instant m_placedAt {};
    };

    struct Vm {
        std::vector<std::uint32_t> m_active = std::vector<std::uint32_t>(s_servers);
        std::vector<std::uint32_t> m_reported = std::vector<std::uint32_t>(s_servers); ///< as other VMs know it
        std::vector<bool> m_isUnresponsive = std::vector<bool>(s_servers);
        std::vector<PaceTracker> m_pace = std::vector<PaceTracker>(s_servers);
        AnswerBaseline m_baseline;
    };

    /// Drawn when the caller arrives, so that all policies serve the same callers.
    struct Caller {
        Instant m_sentAt;
        std::uint64_t m_draw = 0;
        double m_workUs = 0; ///< at a server of speed 1
    };

    struct Event {
        Instant m_at;
        std::uint64_t m_number = 0;
        std::function<void()> m_apply;

        friend bool operator<(const Event& left, const Event& right)
        {
            return std::pair { left.m_at, left.m_number } > std::pair { right.m_at, right.m_number };
        }
    };

    void schedule(Instant at, std::function<void()> apply);
    bool isAffected(int server) const { return server < m_case.m_servers; }
    bool isBefore(int server) const { return isAffected(server) && m_now < m_returnAt; }
    double slowness(int server) const;
    FlowCandidate candidate(int vm, int server) const;
    void arrive();
    void open(int vm, const Caller& caller);
    void answer(int vm, int server, Instant sentAt, const Caller& caller, std::uint32_t load, bool isServed);
    void missAnswer(int vm, int server, Caller caller);
    void report(int vm);
    void comeBack();
    void finish(const Caller& caller, bool isServed);
    void recordFlow(int server);
    void countCarried(int server);

    const ModelCase& m_case;
    ModelPolicy m_policy;
    double m_arrivalsPerUs;
    std::mt19937_64 m_random; ///< speeds and callers
    std::mt19937_64 m_vmRandom; ///< times of reports and probes
    Instant m_now { std::chrono::seconds { 100 } };
    Instant m_returnAt = m_now + s_returnAt;
    Deadline m_endAt = m_now + s_end;
    std::vector<Server> m_servers = std::vector<Server>(s_servers);
    std::vector<Vm> m_vms;
    std::vector<std::uint32_t> m_reportedSum = std::vector<std::uint32_t>(s_servers);
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventNumber = 0;
    LeastWorkPlacement m_placement;
};

/// Sums the runs of the site's seeds; m_untilFairShare is that of their mean.
ModelResult runModel(const ModelCase& modelCase, ModelPolicy policy, const ModelSite& site);

} // namespace cuminrelay

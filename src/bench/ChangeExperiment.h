#pragma once

#include "bench/ChangeDesign.h"
#include "bench/ChangeStore.h"
#include "bench/FleetDesign.h"
#include "bench/Random.h"
#include "bench/Timeline.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// A fault of the platform, the network or the control process of one VM.
enum class ChangeFault : std::uint8_t {
    None,
    PlatformDown, ///< for 3 s
    PlatformSlow, ///< each call takes one second longer, for 4 s
    LoseWriteAnswer, ///< for 500 ms; the writes take effect
    StaleRead, ///< reads return the previous version, for 2 s
    RestoreStore, ///< the store loses its newest two versions
    LagVmList, ///< the list omits a VM and contains a failed one, for 8 s
    KillControl, ///< restarted without state after 500 ms
    PauseControl, ///< for 3 s
    PartitionZones, ///< partition between the VM's zone and the other zones, for 6 s
    PartitionPlatform, ///< partition between the VM's zone and the platform, for 6 s
    PartitionBoth,
    UnevenUpdates, ///< installing takes up to 1.5 s on each VM that owns flows, for 4 s
    OperatorRace, ///< a third operator edits the same label
    Count,
};

std::string_view changeFaultName(ChangeFault fault);

/// The steps of a configuration change, a join and a drain at which a fault can be injected.
enum class ChangeStep : std::uint8_t {
    Read, ///< an operator's read is in transit
    Decide,
    Write, ///< in transit, without effect yet
    Answer, ///< in effect, the answer is in transit
    Watched, ///< a zone reader has received the version
    Fetched, ///< a VM has fetched the version from a peer
    Installed, ///< in the first entry process
    Everywhere, ///< in force on all VMs
    JoinStarts,
    JoinReceivesHeartbeats,
    JoinFetchesVersions, ///< fetched the versions that its peers keep
    JoinConverged,
    JoinOwns,
    DrainDeclared,
    DrainInForce, ///< on all VMs
    DrainLastNewWork,
    DrainLastFlowEnded,
    Count,
};

std::string_view changeStepName(ChangeStep step);

/// True if a step comes later than another in the same change, join or drain.
bool isLaterStep(ChangeStep step, ChangeStep than);

struct ChangeFaultInjection {
    ChangeFault m_fault = ChangeFault::None;
    ChangeStep m_step = ChangeStep::Read;
};

struct ChangeExperimentSettings {
    std::uint64_t m_seed = 1;
    std::vector<ChangeFaultInjection> m_injections; ///< injected one after the other
    std::shared_ptr<const ChangeDesign> m_design;
};

/// Outcomes of the edits and versions of one run.
struct ChangeExperimentResult {
    std::size_t m_injected = 0; ///< faults injected
    std::uint64_t m_edits = 0;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_unknown = 0;
    std::uint64_t m_unavailable = 0;
    std::uint64_t m_lostByStore = 0; ///< accepted edits missing from a restored store

    // Violated invariants.
    std::uint64_t m_versionDecreases = 0; ///< an entry process installed a lower version
    std::uint64_t m_lostEdits = 0; ///< accepted, but not in the store's history
    std::uint64_t m_duplicateEdits = 0; ///< more than once in the store's history
    std::uint64_t m_refusedButWritten = 0; ///< reported as without effect, but in the store's history
    std::uint64_t m_overwritten = 0; ///< an accepted edit replaced a value that its operator had not read
    std::uint64_t m_disjointRefused = 0; ///< conflicts of edits whose label no other edit changed
    std::uint64_t m_unnamedConflicts = 0; ///< conflict errors without the author of the other edit
    std::uint64_t m_late = 0; ///< versions not in force on a VM within 4 s
    std::uint64_t m_workAfterDrain = 0; ///< new work for a backend server from 3 s after its drain began

    std::uint64_t violations() const;
};

/// Simulates operators, the platform's store and the control and entry processes of a small fleet on a virtual clock,
/// and injects faults at chosen steps of a change, a join and a drain. ControlState, Membership, ConfigurationHolder
/// and the edits are those of production; network, store and tasks are simulated.
class ChangeExperiment final {
public:
    explicit ChangeExperiment(ChangeExperimentSettings settings);
    ~ChangeExperiment();

    ChangeExperimentResult run();

private:
    struct Vm;
    struct EditRun;

    using ReadDone = std::function<void(const Outcome<SharedConfiguration>&)>;
    using WriteDone = std::function<void(const Outcome<ConfigVersion>&)>;

    void startControl(VmIndex vm);
    void killVm(VmIndex vm);
    void startVm(VmIndex vm);
    bool isControlRunning(VmIndex vm) const;
    bool reaches(VmIndex from, VmIndex to) const;
    bool reachesPlatform(VmIndex vm) const;
    std::vector<Member> listedMembers() const;

    void tickRepeatedly(VmIndex vm);
    void heartbeatRepeatedly(VmIndex vm);
    void heartbeat(VmIndex from, VmIndex to);
    void fetch(VmIndex from, VmIndex to, ConfigVersion offered);
    void applyFetched(VmIndex from, const SharedConfiguration& configuration);
    void watchRepeatedly(VmIndex vm);
    void applyWatched(VmIndex vm, const Outcome<SharedConfiguration>& answer);
    void listRepeatedly(VmIndex vm);
    void processChanges(VmIndex vm);
    void installNext(VmIndex vm);
    void install(VmIndex vm, const SharedConfiguration& configuration);
    void updateEntryStatus(VmIndex vm);
    void checkJoin(VmIndex vm);

    void read(ReadDone done);
    void write(Configuration next, std::optional<ConfigVersion> expected, WriteDone done);
    void scheduleEdits();
    void startEdit(std::string_view author, std::string_view key, VmIndex faultTarget);
    void startDrain(VmIndex faultTarget);
    void beginEdit(const std::shared_ptr<EditRun>& edit);
    void decide(const std::shared_ptr<EditRun>& edit, const Configuration& read);
    void finishWrite(const std::shared_ptr<EditRun>& edit, const Outcome<ConfigVersion>& written);
    void readForEdit(const std::shared_ptr<EditRun>& edit);
    void fail(EditRun& edit, const Error& error);

    void workRepeatedly(VmIndex vm);
    void placeWork(VmIndex vm);
    void sampleRepeatedly();
    void checkLateness(VmIndex vm);
    bool isBlocked(VmIndex vm) const;
    void checkProgress();
    void checkDrainProgress(bool inForceEverywhere);

    void reachStep(ChangeStep step, VmIndex vm);
    void injectFault(ChangeFault fault, VmIndex vm);
    void injectPlatformFault(ChangeFault fault);
    void injectVmFault(ChangeFault fault, VmIndex vm);
    void summarize();
    void summarize(const EditRun& edit);

    ChangeExperimentSettings m_settings;
    Random m_random;
    Timeline m_timeline;
    std::vector<Vm> m_vms;
    std::unique_ptr<ChangeStore> m_store;
    std::vector<std::shared_ptr<EditRun>> m_edits;
    ChangeExperimentResult m_result;

    std::string m_latestKey; ///< label of the newest edit
    ConfigVersion m_inForceOnAll; ///< highest version in force on all VMs
    std::uint64_t m_firstSequence = 0;
    std::uint64_t m_openWork = 0; ///< flows on the draining backend server
    Instant m_drainStartedAt = Instant::max();
    bool m_isDrainFinished = false;
    Deadline m_platformSlowUntil {};
    Deadline m_answerLossEnds {};
    Deadline m_listLagEnds {};
    Deadline m_slowInstallsUntil {};
    std::map<std::string, Deadline, std::less<>> m_zonePartitionEnds;
    std::map<std::string, Deadline, std::less<>> m_platformPartitionEnds;
};

} // namespace cuminrelay

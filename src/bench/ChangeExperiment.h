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

/// What strikes the platform, the network or the control process of one VM.
enum class ChangeFault : std::uint8_t {
    None,
    PlatformDown, ///< for 3 s
    PlatformSlow, ///< each call takes a second longer, for 4 s
    LoseWriteAnswer, ///< of the writes in the next 500 ms, after they took effect
    StaleRead, ///< reads answer with the version before the current, for 2 s
    RestoreStore, ///< the store goes back by two versions
    LagVmList, ///< the list omits a VM and names a dead one, for 8 s
    KillControl, ///< started again with nothing after 500 ms
    PauseControl, ///< for 3 s
    CutZones, ///< the VM's zone from the other zones, for 6 s
    CutPlatform, ///< the VM's zone from the platform, for 6 s
    CutBoth,
    UnevenUpdates, ///< installing takes up to 1.5 s on each VM that owns flows, for 4 s
    OperatorRace, ///< a third operator edits the same label
    Count,
};

std::string_view changeFaultName(ChangeFault fault);

/// The steps of a configuration change, of a join and of a drain at which a fault can strike.
enum class ChangeStep : std::uint8_t {
    Read, ///< an operator's read is on its way
    Decide,
    Write, ///< on its way, without effect yet
    Answer, ///< in effect, the answer is on its way
    Watched, ///< a zone reader has it
    Told, ///< a peer has it from a VM
    Installed, ///< in the first entry process
    Everywhere, ///< in force on all VMs
    JoinStarts,
    JoinHearsPeers,
    JoinTakesKept, ///< versions, from its peers
    JoinSettled,
    JoinOwns,
    DrainDeclared,
    DrainInForce, ///< on all VMs
    DrainLastNewWork,
    DrainLastFlowEnded,
    Count,
};

std::string_view changeStepName(ChangeStep step);

/// Whether a step belongs to the same change, join or drain as another, and comes later.
bool isLaterStep(ChangeStep step, ChangeStep than);

struct ChangeStrike {
    ChangeFault m_fault = ChangeFault::None;
    ChangeStep m_step = ChangeStep::Read;
};

struct ChangeExperimentSettings {
    std::uint64_t m_seed = 1;
    std::vector<ChangeStrike> m_strikes; ///< each comes after the one before
    std::shared_ptr<const ChangeDesign> m_design;
};

/// What became of the edits and versions of one run.
struct ChangeExperimentResult {
    std::size_t m_struck = 0; ///< strikes that found their step
    std::uint64_t m_edits = 0;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_unknown = 0;
    std::uint64_t m_unavailable = 0;
    std::uint64_t m_lostByStore = 0; ///< accepted edits that a restored store does not hold any more

    // Broken promises.
    std::uint64_t m_wentBack = 0; ///< an entry process took a lower version
    std::uint64_t m_lostEdits = 0; ///< accepted, and not in the store's history
    std::uint64_t m_doubledEdits = 0; ///< more than once in the store's history
    std::uint64_t m_refusedButWritten = 0; ///< reported as without effect, and in the store's history
    std::uint64_t m_overwritten = 0; ///< an accepted edit replaced a value that its operator had not seen
    std::uint64_t m_disjointRefused = 0; ///< a conflict for an edit of something that nobody else touched
    std::uint64_t m_unnamedConflicts = 0; ///< errors that do not say who changed the thing
    std::uint64_t m_late = 0; ///< versions not in force on a VM within 4 s
    std::uint64_t m_workAfterDrain = 0; ///< new work for a backend server 3 s after it began to drain

    std::uint64_t violations() const;
};

/// Plays operators, the platform's store and the control and entry processes of a small fleet on a virtual clock, while
/// faults strike at chosen steps of a change, a join and a drain. ControlState, Membership, ConfigurationHolder and the
/// edits are the real ones; network, store and tasks are models.
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
    bool runs(VmIndex vm) const;
    bool reaches(VmIndex from, VmIndex to) const;
    bool reachesPlatform(VmIndex vm) const;
    std::vector<Member> listedMembers() const;

    void tickRepeatedly(VmIndex vm);
    void beatRepeatedly(VmIndex vm);
    void beat(VmIndex from, VmIndex to);
    void fetch(VmIndex from, VmIndex to, ConfigVersion offered);
    void takeFetched(VmIndex from, const SharedConfiguration& configuration);
    void watchRepeatedly(VmIndex vm);
    void takeWatched(VmIndex vm, const Outcome<SharedConfiguration>& answer);
    void listRepeatedly(VmIndex vm);
    void dispatch(VmIndex vm);
    void installNext(VmIndex vm);
    void install(VmIndex vm, const SharedConfiguration& configuration);
    void noteEntryStatus(VmIndex vm);
    void checkJoin(VmIndex vm);

    void read(ReadDone done);
    void write(Configuration next, std::optional<ConfigVersion> expected, WriteDone done);
    void planEdits();
    void startEdit(std::string_view author, std::string_view key, VmIndex near);
    void startDrain(VmIndex near);
    void beginEdit(const std::shared_ptr<EditRun>& edit);
    void decide(const std::shared_ptr<EditRun>& edit, const Configuration& read);
    void finishWrite(const std::shared_ptr<EditRun>& edit, const Outcome<ConfigVersion>& written);
    void readAgain(const std::shared_ptr<EditRun>& edit);
    void fail(EditRun& edit, const Error& error);

    void workRepeatedly(VmIndex vm);
    void placeWork(VmIndex vm);
    void sampleRepeatedly();
    void sample(VmIndex vm);
    bool isCovered(VmIndex vm) const;
    void noteProgress();
    void noteDrainProgress(bool inForceEverywhere);

    void reach(ChangeStep step, VmIndex vm);
    void strike(ChangeFault fault, VmIndex vm);
    void strikePlatform(ChangeFault fault);
    void strikeVm(ChangeFault fault, VmIndex vm);
    void summarize();
    void summarize(const EditRun& edit);

    ChangeExperimentSettings m_settings;
    Random m_random;
    Timeline m_timeline;
    std::vector<Vm> m_vms;
    std::unique_ptr<ChangeStore> m_store;
    std::vector<std::shared_ptr<EditRun>> m_edits;
    ChangeExperimentResult m_result;

    std::string m_racedKey; ///< the label that the newest edit changes
    ConfigVersion m_everywhere; ///< in force on all VMs
    std::uint64_t m_sequences = 0;
    std::uint64_t m_openWork = 0; ///< on the backend server that drains
    Instant m_drainedAt = Instant::max();
    bool m_drainIsOver = false;
    Deadline m_slowUntil {};
    Deadline m_answerLossEnds {};
    Deadline m_listLagEnds {};
    Deadline m_unevenUntil {};
    std::map<std::string, Deadline, std::less<>> m_zoneCutEnds;
    std::map<std::string, Deadline, std::less<>> m_platformCutEnds;
};

} // namespace cuminrelay

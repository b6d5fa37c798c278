#include "base/hash.h"
#include "bundle/bundlecodec.h"
#include "bundle/rolloutsteps.h"
#include "bundle/testbundles.h"

#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

using namespace clementinefall;
using namespace clementinefall::bundle;

namespace {

/// Faults injected into the model, to verify that the checker detects them.
struct Faults {
    bool adoptWithoutVersionCheck = false;
    bool platformIgnoresConditions = false;
};

const std::string* intern(std::string text)
{
    static std::set<std::string> texts;
    return &*texts.insert(std::move(text)).first;
}

/// Model of the platform. Keeps all versions of each object, so that a read can return an older version.
struct Platform {
    std::map<std::string, std::vector<const std::string*>> objects;

    StoredObject read(const std::string& key, std::size_t lag) const
    {
        const auto found = this->objects.find(key);
        const std::size_t count = found == this->objects.end() ? 0 : found->second.size();
        const std::size_t version = count - std::min(lag, count);
        return { key, version, version == 0 ? std::string() : *found->second[version - 1] };
    }

    bool write(const ConditionalWrite& write, const Faults& faults)
    {
        auto& values = this->objects[write.key];
        if (values.size() != write.ifVersion && !faults.platformIgnoresConditions)
            return false;
        values.push_back(intern(write.value));
        return true;
    }
};

/// A command of an operator script. `kind` is a label for the outcome text.
struct Command {
    std::string kind;
    std::uint64_t version = 0;
    std::function<Result<CommandPlan>(const RolloutObjects&, const StoredObject& previous)> plan;
};

enum class Phase : std::uint8_t { Plan, Write, ReadBack };

struct OperatorState {
    std::size_t command = 0;
    Phase phase = Phase::Plan;
    std::vector<ConditionalWrite> writes;
    std::size_t nextWrite = 0;
    WriteProgress progress;
    std::vector<std::string> results;
};

/// State of the whole model. Most steps change only an instance, so states share the platform and the operators,
/// together with their keys.
struct ModelState {
    std::shared_ptr<const Platform> platform = std::make_shared<const Platform>();
    const std::string* platformKey = nullptr;
    const std::string* operatorsKey = nullptr;
    std::shared_ptr<std::array<OperatorState, 2>> operators = std::make_shared<std::array<OperatorState, 2>>();
    std::array<const AdoptionState*, 3> instances {}; ///< Interned by the explorer.
    bool canLoseResponse = true;
    std::optional<ConditionalWrite> delayed; ///< A write without response that the platform may still apply.
    std::string path; ///< Steps that led to this state.
};

constexpr std::array<const char*, 3> instanceZones { "sur-a", "sur-a", "sur-b" };

/// Visits every state that is reachable by interleaving the steps of operators, platform and instances, and checks the
/// invariants in each of them.
class Explorer {
public:
    Explorer(std::array<std::vector<Command>, 2> operatorScripts, std::vector<std::string> roots, Faults injectedFaults)
        : scripts(std::move(operatorScripts))
        , trustedRoots(std::move(roots))
        , faults(injectedFaults)
    {
    }

    void run(ModelState start, const AdoptionState& initialAdoption)
    {
        start.instances.fill(this->internState(initialAdoption));
        this->updateOperatorsKey(start);
        this->updatePlatformKey(start);
        this->add(std::move(start));
        while (!this->unexplored.empty() && this->violation.empty()) {
            const ModelState model = std::move(this->unexplored.back());
            this->unexplored.pop_back();
            this->expand(model);
        }
    }

    std::string violation;
    std::size_t states = 0;
    std::set<std::string> outcomes; ///< Results of all commands in each final state.

private:
    void add(ModelState model)
    {
        if (this->visited.insert(keyOf(model)).second) {
            ++this->states;
            this->unexplored.push_back(std::move(model));
        }
    }

    void addOperatorStep(ModelState model)
    {
        updateOperatorsKey(model);
        this->add(std::move(model));
    }

    void require(bool holds, const ModelState& model, std::string_view what)
    {
        if (!holds && this->violation.empty())
            this->violation = fmt::format("{} after {}", what, model.path);
    }

    static std::uint64_t keyOf(const ModelState& model)
    {
        std::array<const void*, 5> parts { model.platformKey, model.operatorsKey, model.instances[0],
            model.instances[1], model.instances[2] };
        // The first two instances are in the same zone, so states that differ only in their order are equivalent.
        std::sort(parts.begin() + 2, parts.begin() + 4);
        return hash64({ reinterpret_cast<const char*>(parts.data()), sizeof(parts) });
    }

    const AdoptionState* internState(const AdoptionState& state)
    {
        std::string key = fmt::format("{} {} {} {} {}", state.acceptedVersion, state.acceptedDigest,
            state.stagedVersion, state.stagedDigest, state.rolloutRevision);
        return &this->internedStates.emplace(std::move(key), state).first->second;
    }

    static void updatePlatformKey(ModelState& model)
    {
        std::string key;
        for (const auto& [name, values] : model.platform->objects) {
            for (const std::string* value : values)
                key += fmt::format("{} ", fmt::ptr(value));
            key += name;
        }
        model.platformKey = intern(std::move(key));
    }

    static void updateOperatorsKey(ModelState& model)
    {
        std::string key = fmt::format("{} ", model.canLoseResponse);
        for (const OperatorState& operatorState : *model.operators) {
            key += fmt::format("|{} {} {} {} {} {} {}", operatorState.command, static_cast<int>(operatorState.phase),
                operatorState.nextWrite, operatorState.progress.isInDoubt, operatorState.progress.hasConflict,
                operatorState.progress.calls, fmt::join(operatorState.results, ","));
            for (const ConditionalWrite& write : operatorState.writes)
                key += fmt::format(" {} {}", write.ifVersion, fmt::ptr(intern(write.value)));
        }
        if (model.delayed)
            key += fmt::format("|{} {}", model.delayed->ifVersion, fmt::ptr(intern(model.delayed->value)));
        model.operatorsKey = intern(std::move(key));
    }

    bool writeTo(ModelState& model, const ConditionalWrite& write)
    {
        Platform platform = *model.platform;
        const bool applied = platform.write(write, this->faults);
        model.platform = std::make_shared<const Platform>(std::move(platform));
        updatePlatformKey(model);
        this->checkPlatform(model);
        return applied;
    }

    void expand(const ModelState& model)
    {
        for (std::size_t i = 0; i < model.operators->size(); ++i)
            this->stepOperator(model, i);
        if (model.delayed) {
            ModelState next = this->after(model, "d");
            next.delayed.reset();
            this->writeTo(next, *model.delayed);
            this->addOperatorStep(std::move(next));
        }
        for (std::size_t i = 0; i < model.instances.size(); ++i) {
            for (std::size_t lag = 0; lag < 3; ++lag) {
                ModelState next = this->after(model, fmt::format("i{}-{}", i, lag));
                this->adoptFromPlatform(next, i, lag);
                this->add(std::move(next));
            }
        }
        this->checkFinal(model);
    }

    static ModelState after(const ModelState& model, const std::string& step)
    {
        ModelState next = model;
        next.path += step + " ";
        return next;
    }

    static ModelState afterOperator(const ModelState& model, const std::string& step)
    {
        ModelState next = after(model, step);
        next.operators = std::make_shared<std::array<OperatorState, 2>>(*model.operators);
        return next;
    }

    void stepOperator(const ModelState& model, std::size_t index)
    {
        const OperatorState& operatorState = (*model.operators)[index];
        if (operatorState.command == this->scripts[index].size())
            return;
        if (operatorState.phase == Phase::Plan) {
            this->plan(model, index, 0);
            this->plan(model, index, 1);
        }
        if (operatorState.phase == Phase::ReadBack) {
            this->readBack(model, index, 0);
            this->readBack(model, index, 1);
        }
        if (operatorState.phase == Phase::Write)
            this->write(model, index);
    }

    void plan(const ModelState& model, std::size_t index, std::size_t lag)
    {
        ModelState next = this->afterOperator(model, fmt::format("p{}-{}", index, lag));
        OperatorState& operatorState = (*next.operators)[index];
        const Command& command = this->scripts[index][operatorState.command];
        const auto read = [&model, lag](const std::string& key) { return model.platform->read(key, lag); };
        RolloutObjects objects { read(std::string(acceptedKey)), read(std::string(rolloutKey)),
            read(bundleKey(command.version)), read(signOffsKey(command.version)), {} };
        const auto policy = policyKey(objects.accepted);
        if (valueOf(policy))
            objects.policy = model.platform->read(*valueOf(policy), 0);
        const auto& planned
            = this->planOnce(index, operatorState.command, objects, read(bundleKey(command.version - 1)));
        if (!isOk(planned)) {
            this->finish(operatorState, fmt::format("{}", number(errorOf(planned).code)));
        } else if (valueOf(planned).writes.empty()) {
            this->finish(operatorState, "done");
        } else {
            operatorState.writes = valueOf(planned).writes;
            operatorState.nextWrite = 0;
            operatorState.progress = { operatorState.writes[0], false, false, 0 };
            operatorState.phase = Phase::Write;
        }
        this->addOperatorStep(std::move(next));
    }

    /// Caches plans by their inputs, because planning verifies signatures and dominates the run time.
    const Result<CommandPlan>& planOnce(
        std::size_t index, std::size_t command, const RolloutObjects& objects, const StoredObject& previous)
    {
        std::string key = fmt::format("{} {}", index, command);
        for (const StoredObject* object :
            { &objects.accepted, &objects.rollout, &objects.bundle, &objects.signOffs, &objects.policy, &previous })
            key += fmt::format(" {} {}", object->version, fmt::ptr(intern(object->value)));
        const auto found = this->plans.find(key);
        if (found != this->plans.end())
            return found->second;
        return this->plans.emplace(key, this->scripts[index][command].plan(objects, previous)).first->second;
    }

    static void finish(OperatorState& operatorState, const std::string& result)
    {
        operatorState.results.push_back(result);
        ++operatorState.command;
        operatorState.phase = Phase::Plan;
        operatorState.writes.clear();
        operatorState.nextWrite = 0;
        operatorState.progress = {};
    }

    void write(const ModelState& model, std::size_t index)
    {
        const ConditionalWrite& request = (*model.operators)[index].progress.write;
        ModelState next = this->afterOperator(model, fmt::format("w{}", index));
        const bool applied = this->writeTo(next, request);
        this->applyStep(next, index,
            afterWrite((*next.operators)[index].progress, applied ? WriteResponse::Applied : WriteResponse::Conflict));
        this->addOperatorStep(std::move(next));
        if (!model.canLoseResponse)
            return;
        for (const char* lossKind : { "applied", "dropped", "delayed" }) {
            ModelState lost = this->afterOperator(model, fmt::format("w{}-lost-{}", index, lossKind));
            lost.canLoseResponse = false;
            if (lossKind == std::string_view("applied"))
                this->writeTo(lost, request);
            if (lossKind == std::string_view("delayed"))
                lost.delayed = request;
            this->applyStep(lost, index, afterWrite((*lost.operators)[index].progress, WriteResponse::Lost));
            this->addOperatorStep(std::move(lost));
        }
    }

    void readBack(const ModelState& model, std::size_t index, std::size_t lag)
    {
        ModelState next = this->afterOperator(model, fmt::format("r{}-{}", index, lag));
        WriteProgress& progress = (*next.operators)[index].progress;
        this->applyStep(next, index, afterReadBack(progress, next.platform->read(progress.write.key, lag)));
        this->addOperatorStep(std::move(next));
    }

    void applyStep(ModelState& model, std::size_t index, NextWriteStep step)
    {
        OperatorState& operatorState = (*model.operators)[index];
        const bool isDecisive = operatorState.nextWrite == 0;
        if (step == NextWriteStep::Write)
            operatorState.phase = Phase::Write;
        if (step == NextWriteStep::ReadBack)
            operatorState.phase = Phase::ReadBack;
        if (step == NextWriteStep::GiveUp && isDecisive)
            this->finish(operatorState, "unknown");
        if (step == NextWriteStep::Conflict && isDecisive)
            this->finish(operatorState, fmt::format("{}", number(ResultCode::AdminConflict)));
        const bool isOver = step == NextWriteStep::GiveUp || step == NextWriteStep::Conflict;
        if (step == NextWriteStep::Done || (isOver && !isDecisive))
            this->nextWrite(operatorState);
    }

    void nextWrite(OperatorState& operatorState)
    {
        if (++operatorState.nextWrite == operatorState.writes.size()) {
            this->finish(operatorState, "done");
            return;
        }
        operatorState.progress = { operatorState.writes[operatorState.nextWrite], false, false, 0 };
        operatorState.phase = Phase::Write;
    }

    void adoptFromPlatform(ModelState& model, std::size_t index, std::size_t lag)
    {
        const AdoptionState* before = model.instances[index];
        const AdoptionInput key { model.platformKey, lag, instanceZones[index], before };
        auto found = this->adoptionCache.find(key);
        if (found == this->adoptionCache.end())
            found = this->adoptionCache.emplace(key, this->internState(this->adopt(*before, index, model, lag))).first;
        model.instances[index] = found->second;
        this->require(found->second->acceptedVersion >= before->acceptedVersion, model,
            "the accepted version of an instance decreased");
    }

    AdoptionState adopt(const AdoptionState& state, std::size_t index, const ModelState& model, std::size_t lag) const
    {
        const auto read = [&model, lag](const std::string& key) { return model.platform->read(key, lag); };
        const StoredObject accepted = read(std::string(acceptedKey));
        const StoredObject rollout = read(std::string(rolloutKey));
        const AdoptionSettings settings { instanceZones[index], this->trustedRoots };
        const auto result = readRolloutView(accepted, rollout, read);
        RolloutView view = valueOf(result);
        addPolicyChain(view, state.acceptedVersion, read);
        AdoptionState next = state;
        if (view.accepted) {
            const bool skipsCheck = this->faults.adoptWithoutVersionCheck
                && view.accepted->content.bundle->version != state.acceptedVersion;
            next = adoptBundle(skipsCheck ? AdoptionState {} : next, *view.accepted, settings).state;
        }
        if (view.staged)
            return adoptBundle(next, *view.staged, settings).state;
        return endStaging(next, view.rolloutRevision).state;
    }

    const std::vector<AcceptedRecord>& acceptedHistory(const ModelState& model)
    {
        auto& history = this->histories[model.platformKey];
        if (!history.empty())
            return history;
        for (const std::string* value : model.platform->objects.at(std::string(acceptedKey))) {
            const auto record = readAccepted({ std::string(acceptedKey), 1, *value });
            history.push_back(valueOf(record));
        }
        return history;
    }

    void checkPlatform(const ModelState& model)
    {
        const auto& history = this->acceptedHistory(model);
        for (std::size_t i = 1; i < history.size(); ++i) {
            this->require(
                history[i].version >= history[i - 1].version, model, "the accepted version on the platform decreased");
            if (history[i].version == history[i - 1].version)
                this->require(
                    history[i].digest == history[i - 1].digest, model, "two bundles were accepted for one version");
            else
                this->require(
                    !history[i - 1].isWithdrawn(history[i].version), model, "a withdrawn version was accepted");
        }
    }

    /// Checks that the results reported to the operators match the platform, and that every instance adopts the
    /// accepted bundle.
    void checkFinal(const ModelState& model)
    {
        for (std::size_t i = 0; i < model.operators->size(); ++i) {
            if ((*model.operators)[i].command != this->scripts[i].size() || model.delayed)
                return;
        }
        const auto& history = this->acceptedHistory(model);
        const bool isNew = this->checkedResults.emplace(model.platformKey, model.operatorsKey).second;
        std::string outcome;
        for (std::size_t i = 0; i < model.operators->size(); ++i) {
            for (std::size_t k = 0; isNew && k < this->scripts[i].size(); ++k)
                this->checkResult(model, history, i, k, outcome);
        }
        if (isNew)
            this->outcomes.insert(outcome);
        ModelState settled = model;
        for (std::size_t i = 0; i < settled.instances.size(); ++i) {
            this->adoptFromPlatform(settled, i, 0);
            this->require(settled.instances[i]->acceptedDigest == history.back().digest, model,
                "an instance did not adopt the accepted bundle");
            this->require(!history.back().isWithdrawn(settled.instances[i]->stagedVersion), model,
                "a withdrawn bundle stayed in force");
        }
    }

    void checkResult(const ModelState& model, const std::vector<AcceptedRecord>& history, std::size_t operatorIndex,
        std::size_t index, std::string& outcome)
    {
        const Command& command = this->scripts[operatorIndex][index];
        const std::string& result = (*model.operators)[operatorIndex].results[index];
        outcome += fmt::format("{} {}={}; ", command.kind, command.version, result);
        const std::string operationId = fmt::format("{}-{}", operatorIndex, index);
        std::size_t acceptances = 0;
        bool isAcceptedByCommand = false;
        for (std::size_t i = 1; i < history.size(); ++i) {
            if (history[i].version != command.version || history[i - 1].version == command.version)
                continue;
            ++acceptances;
            isAcceptedByCommand = history[i].operations.back() == operationId;
        }
        if (command.kind == "accept")
            this->require(result == "unknown" || (result == "done") == isAcceptedByCommand, model,
                "the reported result of an accept is wrong");
        if (command.kind == "withdraw" && result == "done")
            this->require(acceptances == 0, model, "a version was accepted after its withdrawal");
        this->require(acceptances <= 1, model, "a version was accepted twice");
    }

    std::array<std::vector<Command>, 2> scripts;
    std::vector<std::string> trustedRoots;
    Faults faults;
    std::vector<ModelState> unexplored;
    std::unordered_set<std::uint64_t> visited;
    std::unordered_map<std::string, Result<CommandPlan>> plans;
    std::unordered_map<const std::string*, std::vector<AcceptedRecord>> histories;
    std::set<std::pair<const std::string*, const std::string*>> checkedResults;
    using AdoptionInput = std::tuple<const std::string*, std::size_t, std::string_view, const AdoptionState*>;
    std::map<AdoptionInput, const AdoptionState*> adoptionCache;
    std::map<std::string, AdoptionState> internedStates;
};

/// Scenarios of two operators. Version 1 is accepted at the start.
class Scenario {
public:
    Scenario()
    {
        const Bundle first = this->testOperators.bundle(1, "ida");
        this->put(bundleKey(1), serializeBundle(first));
        this->put(signOffsKey(1),
            serializeSignOffs({ 1, bundleDigest(first), { this->testOperators.sign("ana", first) }, {} }));
        this->put(std::string(acceptedKey),
            serializeAccepted({ 1, bundleDigest(first), "ida", { 1 }, { 1 }, {}, { "start" } }));
    }

    /// Both operators submit, sign and accept a version 2 with different content.
    Explorer sameVersion(Faults faults)
    {
        return this->explore(
            { this->submitSignAndAccept(0, "ida", "ana"), this->submitSignAndAccept(1, "eva", "ben") }, faults);
    }

    /// Versions 2 and 3 are signed; one operator stages and accepts 2, the other withdraws 2 and accepts 3.
    Explorer acceptAgainstWithdraw(Faults faults)
    {
        for (const std::uint64_t version : { 2U, 3U }) {
            const Bundle bundle = this->testOperators.bundle(version, "ida");
            this->put(bundleKey(version), serializeBundle(bundle));
            this->put(signOffsKey(version),
                serializeSignOffs({ version, bundleDigest(bundle), { this->testOperators.sign("ana", bundle) }, {} }));
        }
        // Unlike in the other scenario, the instances start with version 1 adopted.
        const auto firstBundle = std::make_shared<const Bundle>(this->testOperators.bundle(1, "ida"));
        this->initialAdoption = { 1, bundleDigest(*firstBundle), firstBundle, 0, "", nullptr, 0 };
        const Command stage { "stage", 2, [context = this->context(0, 0, "ida")](const auto& objects, const auto&) {
                                 return planStage(context, objects, { "sur-a" });
                             } };
        const Command withdraw { "withdraw", 2,
            [context = this->context(1, 0, "eva")](
                const auto& objects, const auto&) { return planWithdraw(context, objects, 2); } };
        return this->explore({ std::vector { stage, this->accept(0, 1, "ida", 2) },
                                 std::vector { withdraw, this->accept(1, 1, "eva", 3) } },
            faults);
    }

    Explorer explore(std::array<std::vector<Command>, 2> scripts, Faults faults)
    {
        Explorer explorer(std::move(scripts), this->roots(), faults);
        explorer.run(this->model, this->initialAdoption);
        return explorer;
    }

private:
    std::vector<std::string> roots() const { return { this->testOperators.keys.at("ana").publicKey }; }

    void put(const std::string& key, std::string value)
    {
        Platform platform = *this->model.platform;
        platform.objects[key] = { intern(std::move(value)) };
        this->model.platform = std::make_shared<const Platform>(std::move(platform));
    }

    CommandContext context(int operatorIndex, int command, const std::string& name) const
    {
        return { fmt::format("{}-{}", operatorIndex, command), name, this->roots() };
    }

    Command accept(int operatorIndex, int index, const std::string& name, std::uint64_t version) const
    {
        return { "accept", version,
            [context = this->context(operatorIndex, index, name)](
                const auto& objects, const auto&) { return planAccept(context, objects); } };
    }

    std::vector<Command> submitSignAndAccept(
        int operatorIndex, const std::string& author, const std::string& signer) const
    {
        const Bundle bundle = this->testOperators.bundle(2, author);
        const SignOff signOff = this->testOperators.sign(signer, bundle);
        const Command submit { "submit", 2,
            [context = this->context(operatorIndex, 0, author), bundle](
                const auto& objects, const auto& previous) { return planSubmit(context, objects, previous, bundle); } };
        const Command sign { "sign", 2,
            [context = this->context(operatorIndex, 1, signer), signOff](
                const auto& objects, const auto&) { return planSign(context, objects, signOff); } };
        return { submit, sign, this->accept(operatorIndex, 2, author, 2) };
    }

    TestOperators testOperators;
    ModelState model;
    AdoptionState initialAdoption;
};

} // namespace

TEST_CASE("All interleavings of two operators, three instances and one lost response")
{
    Scenario scenario;

    SECTION("of two bundles submitted as one version only one is accepted, and both operators get the correct result")
    {
        const Explorer explorer = scenario.sameVersion({});
        INFO(explorer.violation);
        CHECK(explorer.violation.empty());
        CHECK(explorer.outcomes.contains(
            "submit 2=done; sign 2=done; accept 2=done; submit 2=9001; sign 2=6009; accept 2=9001; "));
        CHECK(explorer.states > 10'000); // fewer states mean that not all interleavings are explored
    }

    SECTION("a version is never both accepted and withdrawn, whichever response is lost")
    {
        const Explorer explorer = scenario.acceptAgainstWithdraw({});
        INFO(explorer.violation);
        CHECK(explorer.violation.empty());
        CHECK(explorer.outcomes.contains("stage 2=done; accept 2=done; withdraw 2=9003; accept 3=done; "));
        CHECK(explorer.outcomes.contains("stage 2=done; accept 2=9003; withdraw 2=done; accept 3=done; "));
        CHECK(explorer.states > 10'000); // fewer states mean that not all interleavings are explored
    }

    SECTION("the checker detects an instance that adopts without the version check")
    {
        Faults faults;
        faults.adoptWithoutVersionCheck = true;
        CHECK(scenario.sameVersion(faults).violation.find("the accepted version of an instance decreased") == 0);
    }

    SECTION("the checker detects a platform that ignores the conditions of writes")
    {
        Faults faults;
        faults.platformIgnoresConditions = true;
        CHECK_FALSE(scenario.acceptAgainstWithdraw(faults).violation.empty());
    }
}

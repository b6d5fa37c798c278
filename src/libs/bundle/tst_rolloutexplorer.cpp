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

/// Planted faults, to show that the checker finds what it looks for.
struct Faults {
    bool adoptWithoutVersionCheck = false;
    bool platformIgnoresConditions = false;
};

const std::string* intern(std::string text)
{
    static std::set<std::string> texts;
    return &*texts.insert(std::move(text)).first;
}

/// Keeps all values of each object, so that a read can be stale by a number of versions.
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

/// Most steps are of instances and leave the platform and the operators alone, so worlds share both, with their keys.
struct World {
    std::shared_ptr<const Platform> platform = std::make_shared<const Platform>();
    const std::string* platformKey = nullptr;
    const std::string* operatorsKey = nullptr;
    std::shared_ptr<std::array<OperatorState, 2>> operators = std::make_shared<std::array<OperatorState, 2>>();
    std::array<const AdoptionState*, 3> instances {}; ///< Interned by the explorer.
    bool canLoseAnswer = true;
    std::optional<ConditionalWrite> delayed; ///< A lost write that the platform may still carry out.
    std::string path;
};

constexpr std::array<const char*, 3> instanceZones { "sur-a", "sur-a", "sur-b" };

class Explorer {
public:
    Explorer(std::array<std::vector<Command>, 2> operatorScripts, std::vector<std::string> roots, Faults plantedFaults)
        : scripts(std::move(operatorScripts))
        , trustedRoots(std::move(roots))
        , faults(plantedFaults)
    {
    }

    void run(World start, const AdoptionState& heldByAll)
    {
        start.instances.fill(this->internState(heldByAll));
        this->noteOperators(start);
        this->notePlatform(start);
        this->add(std::move(start));
        while (!this->open.empty() && this->violation.empty()) {
            const World world = std::move(this->open.back());
            this->open.pop_back();
            this->expand(world);
        }
    }

    std::string violation;
    std::size_t states = 0;
    std::set<std::string> outcomes; ///< Results of all commands in each final state.

private:
    void add(World world)
    {
        if (this->visited.insert(keyOf(world)).second) {
            ++this->states;
            this->open.push_back(std::move(world));
        }
    }

    void addOperatorStep(World world)
    {
        noteOperators(world);
        this->add(std::move(world));
    }

    void require(bool holds, const World& world, std::string_view what)
    {
        if (!holds && this->violation.empty())
            this->violation = fmt::format("{} after {}", what, world.path);
    }

    static std::uint64_t keyOf(const World& world)
    {
        std::array<const void*, 5> parts { world.platformKey, world.operatorsKey, world.instances[0],
            world.instances[1], world.instances[2] };
        // The first two instances are alike, so their order does not matter.
        std::sort(parts.begin() + 2, parts.begin() + 4);
        return hash64({ reinterpret_cast<const char*>(parts.data()), sizeof(parts) });
    }

    const AdoptionState* internState(const AdoptionState& state)
    {
        std::string key = fmt::format("{} {} {} {} {}", state.acceptedVersion, state.acceptedDigest,
            state.stagedVersion, state.stagedDigest, state.rolloutRevision);
        return &this->knownStates.emplace(std::move(key), state).first->second;
    }

    static void notePlatform(World& world)
    {
        std::string key;
        for (const auto& [name, values] : world.platform->objects) {
            for (const std::string* value : values)
                key += fmt::format("{} ", fmt::ptr(value));
            key += name;
        }
        world.platformKey = intern(std::move(key));
    }

    static void noteOperators(World& world)
    {
        std::string key = fmt::format("{} ", world.canLoseAnswer);
        for (const OperatorState& person : *world.operators) {
            key += fmt::format("|{} {} {} {} {} {} {}", person.command, static_cast<int>(person.phase),
                person.nextWrite, person.progress.isInDoubt, person.progress.hasConflict, person.progress.calls,
                fmt::join(person.results, ","));
            for (const ConditionalWrite& write : person.writes)
                key += fmt::format(" {} {}", write.ifVersion, fmt::ptr(intern(write.value)));
        }
        if (world.delayed)
            key += fmt::format("|{} {}", world.delayed->ifVersion, fmt::ptr(intern(world.delayed->value)));
        world.operatorsKey = intern(std::move(key));
    }

    bool writeTo(World& world, const ConditionalWrite& write)
    {
        Platform platform = *world.platform;
        const bool applied = platform.write(write, this->faults);
        world.platform = std::make_shared<const Platform>(std::move(platform));
        notePlatform(world);
        this->checkPlatform(world);
        return applied;
    }

    void expand(const World& world)
    {
        for (std::size_t i = 0; i < world.operators->size(); ++i)
            this->stepOperator(world, i);
        if (world.delayed) {
            World next = this->after(world, "d");
            next.delayed.reset();
            this->writeTo(next, *world.delayed);
            this->addOperatorStep(std::move(next));
        }
        for (std::size_t i = 0; i < world.instances.size(); ++i) {
            for (std::size_t lag = 0; lag < 3; ++lag) {
                World next = this->after(world, fmt::format("i{}-{}", i, lag));
                this->observe(next, i, lag);
                this->add(std::move(next));
            }
        }
        this->checkFinal(world);
    }

    static World after(const World& world, const std::string& step)
    {
        World next = world;
        next.path += step + " ";
        return next;
    }

    static World afterOperator(const World& world, const std::string& step)
    {
        World next = after(world, step);
        next.operators = std::make_shared<std::array<OperatorState, 2>>(*world.operators);
        return next;
    }

    void stepOperator(const World& world, std::size_t index)
    {
        const OperatorState& person = (*world.operators)[index];
        if (person.command == this->scripts[index].size())
            return;
        if (person.phase == Phase::Plan) {
            this->plan(world, index, 0);
            this->plan(world, index, 1);
        }
        if (person.phase == Phase::ReadBack) {
            this->readBack(world, index, 0);
            this->readBack(world, index, 1);
        }
        if (person.phase == Phase::Write)
            this->write(world, index);
    }

    void plan(const World& world, std::size_t index, std::size_t lag)
    {
        World next = this->afterOperator(world, fmt::format("p{}-{}", index, lag));
        OperatorState& person = (*next.operators)[index];
        const Command& command = this->scripts[index][person.command];
        const auto read = [&world, lag](const std::string& key) { return world.platform->read(key, lag); };
        RolloutObjects objects { read(std::string(acceptedKey)), read(std::string(rolloutKey)),
            read(bundleKey(command.version)), read(signOffsKey(command.version)), {} };
        const auto policy = policyKey(objects.accepted);
        if (valueOf(policy))
            objects.policy = world.platform->read(*valueOf(policy), 0);
        const auto& planned = this->planOnce(index, person.command, objects, read(bundleKey(command.version - 1)));
        if (!isOk(planned)) {
            this->finish(person, fmt::format("{}", number(errorOf(planned).code)));
        } else if (valueOf(planned).writes.empty()) {
            this->finish(person, "done");
        } else {
            person.writes = valueOf(planned).writes;
            person.nextWrite = 0;
            person.progress = { person.writes[0], false, false, 0 };
            person.phase = Phase::Write;
        }
        this->addOperatorStep(std::move(next));
    }

    /// Planning verifies signatures, which costs more than the rest; equal inputs give equal plans.
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

    static void finish(OperatorState& person, const std::string& result)
    {
        person.results.push_back(result);
        ++person.command;
        person.phase = Phase::Plan;
        person.writes.clear();
        person.nextWrite = 0;
        person.progress = {};
    }

    void write(const World& world, std::size_t index)
    {
        const ConditionalWrite& request = (*world.operators)[index].progress.write;
        World next = this->afterOperator(world, fmt::format("w{}", index));
        const bool applied = this->writeTo(next, request);
        this->follow(next, index,
            afterWrite((*next.operators)[index].progress, applied ? WriteAnswer::Applied : WriteAnswer::Conflict));
        this->addOperatorStep(std::move(next));
        if (!world.canLoseAnswer)
            return;
        for (const char* fate : { "applied", "dropped", "delayed" }) {
            World lost = this->afterOperator(world, fmt::format("w{}-lost-{}", index, fate));
            lost.canLoseAnswer = false;
            if (fate == std::string_view("applied"))
                this->writeTo(lost, request);
            if (fate == std::string_view("delayed"))
                lost.delayed = request;
            this->follow(lost, index, afterWrite((*lost.operators)[index].progress, WriteAnswer::Lost));
            this->addOperatorStep(std::move(lost));
        }
    }

    void readBack(const World& world, std::size_t index, std::size_t lag)
    {
        World next = this->afterOperator(world, fmt::format("r{}-{}", index, lag));
        WriteProgress& progress = (*next.operators)[index].progress;
        this->follow(next, index, afterReadBack(progress, next.platform->read(progress.write.key, lag)));
        this->addOperatorStep(std::move(next));
    }

    void follow(World& world, std::size_t index, NextWriteStep step)
    {
        OperatorState& person = (*world.operators)[index];
        const bool isDecisive = person.nextWrite == 0;
        if (step == NextWriteStep::Write)
            person.phase = Phase::Write;
        if (step == NextWriteStep::ReadBack)
            person.phase = Phase::ReadBack;
        if (step == NextWriteStep::GiveUp && isDecisive)
            this->finish(person, "unknown");
        if (step == NextWriteStep::Conflict && isDecisive)
            this->finish(person, fmt::format("{}", number(ResultCode::AdminConflict)));
        const bool isOver = step == NextWriteStep::GiveUp || step == NextWriteStep::Conflict;
        if (step == NextWriteStep::Done || (isOver && !isDecisive))
            this->nextWrite(person);
    }

    void nextWrite(OperatorState& person)
    {
        if (++person.nextWrite == person.writes.size()) {
            this->finish(person, "done");
            return;
        }
        person.progress = { person.writes[person.nextWrite], false, false, 0 };
        person.phase = Phase::Write;
    }

    void observe(World& world, std::size_t index, std::size_t lag)
    {
        const AdoptionState* before = world.instances[index];
        const Observation key { world.platformKey, lag, instanceZones[index], before };
        auto found = this->observations.find(key);
        if (found == this->observations.end())
            found = this->observations.emplace(key, this->internState(this->adopt(*before, index, world, lag))).first;
        world.instances[index] = found->second;
        this->require(
            found->second->acceptedVersion >= before->acceptedVersion, world, "an accepted version went down");
    }

    AdoptionState adopt(const AdoptionState& state, std::size_t index, const World& world, std::size_t lag) const
    {
        const auto read = [&world, lag](const std::string& key) { return world.platform->read(key, lag); };
        const StoredObject accepted = read(std::string(acceptedKey));
        const StoredObject rollout = read(std::string(rolloutKey));
        const AdoptionSettings settings { instanceZones[index], this->trustedRoots };
        const auto result = viewRollout(accepted, rollout, read);
        RolloutView view = valueOf(result);
        addPolicyTrail(view, state.acceptedVersion, read);
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

    const std::vector<AcceptedRecord>& acceptedHistory(const World& world)
    {
        auto& history = this->histories[world.platformKey];
        if (!history.empty())
            return history;
        for (const std::string* value : world.platform->objects.at(std::string(acceptedKey))) {
            const auto record = readAccepted({ std::string(acceptedKey), 1, *value });
            history.push_back(valueOf(record));
        }
        return history;
    }

    void checkPlatform(const World& world)
    {
        const auto& history = this->acceptedHistory(world);
        for (std::size_t i = 1; i < history.size(); ++i) {
            this->require(history[i].version >= history[i - 1].version, world, "the accepted version went down");
            if (history[i].version == history[i - 1].version)
                this->require(history[i].digest == history[i - 1].digest, world, "two bundles for one version");
            else
                this->require(
                    !history[i - 1].isWithdrawn(history[i].version), world, "a withdrawn version was accepted");
        }
    }

    /// What the operators were told must be what happened, and every instance must reach the accepted bundle.
    void checkFinal(const World& world)
    {
        for (std::size_t i = 0; i < world.operators->size(); ++i) {
            if ((*world.operators)[i].command != this->scripts[i].size() || world.delayed)
                return;
        }
        const auto& history = this->acceptedHistory(world);
        const bool isNew = this->checkedAnswers.emplace(world.platformKey, world.operatorsKey).second;
        std::string outcome;
        for (std::size_t i = 0; i < world.operators->size(); ++i) {
            for (std::size_t k = 0; isNew && k < this->scripts[i].size(); ++k)
                this->checkAnswer(world, history, i, k, outcome);
        }
        if (isNew)
            this->outcomes.insert(outcome);
        World settled = world;
        for (std::size_t i = 0; i < settled.instances.size(); ++i) {
            this->observe(settled, i, 0);
            this->require(settled.instances[i]->acceptedDigest == history.back().digest, world,
                "an accepted bundle did not arrive");
            this->require(!history.back().isWithdrawn(settled.instances[i]->stagedVersion), world,
                "a withdrawn bundle stayed in force");
        }
    }

    void checkAnswer(const World& world, const std::vector<AcceptedRecord>& history, std::size_t person,
        std::size_t index, std::string& outcome)
    {
        const Command& command = this->scripts[person][index];
        const std::string& answer = (*world.operators)[person].results[index];
        outcome += fmt::format("{} {}={}; ", command.kind, command.version, answer);
        const std::string operationId = fmt::format("{}-{}", person, index);
        std::size_t acceptances = 0;
        bool isOwn = false;
        for (std::size_t i = 1; i < history.size(); ++i) {
            if (history[i].version != command.version || history[i - 1].version == command.version)
                continue;
            ++acceptances;
            isOwn = history[i].operations.back() == operationId;
        }
        if (command.kind == "accept")
            this->require(answer == "unknown" || (answer == "done") == isOwn, world, "an accept was answered wrongly");
        if (command.kind == "withdraw" && answer == "done")
            this->require(acceptances == 0, world, "a version was accepted after its withdrawal");
        this->require(acceptances <= 1, world, "a version was accepted twice");
    }

    std::array<std::vector<Command>, 2> scripts;
    std::vector<std::string> trustedRoots;
    Faults faults;
    std::vector<World> open;
    std::unordered_set<std::uint64_t> visited;
    std::unordered_map<std::string, Result<CommandPlan>> plans;
    std::unordered_map<const std::string*, std::vector<AcceptedRecord>> histories;
    std::set<std::pair<const std::string*, const std::string*>> checkedAnswers;
    using Observation = std::tuple<const std::string*, std::size_t, std::string_view, const AdoptionState*>;
    std::map<Observation, const AdoptionState*> observations;
    std::map<std::string, AdoptionState> knownStates;
};

/// Scenarios of two operators over a platform where version 1 is accepted.
class Scenario {
public:
    Scenario()
    {
        const Bundle first = this->people.bundle(1, "ida");
        this->put(bundleKey(1), serializeBundle(first));
        this->put(
            signOffsKey(1), serializeSignOffs({ 1, bundleDigest(first), { this->people.sign("ana", first) }, {} }));
        this->put(std::string(acceptedKey),
            serializeAccepted({ 1, bundleDigest(first), "ida", { 1 }, { 1 }, {}, { "start" } }));
    }

    /// Both operators submit, sign and accept a version 2 of their own.
    Explorer sameVersion(Faults faults)
    {
        return this->explore({ this->lifeOf(0, "ida", "ana"), this->lifeOf(1, "eva", "ben") }, faults);
    }

    /// Versions 2 and 3 are signed; one operator stages and accepts 2, the other withdraws 2 and accepts 3.
    Explorer acceptAgainstWithdraw(Faults faults)
    {
        for (const std::uint64_t version : { 2U, 3U }) {
            const Bundle bundle = this->people.bundle(version, "ida");
            this->put(bundleKey(version), serializeBundle(bundle));
            this->put(signOffsKey(version),
                serializeSignOffs({ version, bundleDigest(bundle), { this->people.sign("ana", bundle) }, {} }));
        }
        // Here the instances hold version 1 already; the other scenario has them start without a bundle.
        const auto held = std::make_shared<const Bundle>(this->people.bundle(1, "ida"));
        this->heldByAll = { 1, bundleDigest(*held), held, 0, "", nullptr, 0 };
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
        explorer.run(this->world, this->heldByAll);
        return explorer;
    }

private:
    std::vector<std::string> roots() const { return { this->people.keys.at("ana").publicKey }; }

    void put(const std::string& key, std::string value)
    {
        Platform platform = *this->world.platform;
        platform.objects[key] = { intern(std::move(value)) };
        this->world.platform = std::make_shared<const Platform>(std::move(platform));
    }

    CommandContext context(int person, int command, const std::string& name) const
    {
        return { fmt::format("{}-{}", person, command), name, this->roots() };
    }

    Command accept(int person, int index, const std::string& name, std::uint64_t version) const
    {
        return { "accept", version, [context = this->context(person, index, name)](const auto& objects, const auto&) {
                    return planAccept(context, objects);
                } };
    }

    std::vector<Command> lifeOf(int person, const std::string& author, const std::string& signer) const
    {
        const Bundle bundle = this->people.bundle(2, author);
        const SignOff signOff = this->people.sign(signer, bundle);
        const Command submit { "submit", 2,
            [context = this->context(person, 0, author), bundle](
                const auto& objects, const auto& previous) { return planSubmit(context, objects, previous, bundle); } };
        const Command sign { "sign", 2,
            [context = this->context(person, 1, signer), signOff](
                const auto& objects, const auto&) { return planSign(context, objects, signOff); } };
        return { submit, sign, this->accept(person, 2, author, 2) };
    }

    TestOperators people;
    World world;
    AdoptionState heldByAll;
};

} // namespace

TEST_CASE("All interleavings of two operators, three instances and one lost answer")
{
    Scenario scenario;

    SECTION("two bundles compete for one version: one is accepted and arrives, and both operators learn the truth")
    {
        const Explorer explorer = scenario.sameVersion({});
        INFO(explorer.violation);
        CHECK(explorer.violation.empty());
        CHECK(explorer.outcomes.contains(
            "submit 2=done; sign 2=done; accept 2=done; submit 2=9001; sign 2=6009; accept 2=9001; "));
        CHECK(explorer.states > 10'000); // fewer would mean that the interleavings are not explored
    }

    SECTION("acceptance and withdrawal of one version exclude each other, whatever answer is lost")
    {
        const Explorer explorer = scenario.acceptAgainstWithdraw({});
        INFO(explorer.violation);
        CHECK(explorer.violation.empty());
        CHECK(explorer.outcomes.contains("stage 2=done; accept 2=done; withdraw 2=9003; accept 3=done; "));
        CHECK(explorer.outcomes.contains("stage 2=done; accept 2=9003; withdraw 2=done; accept 3=done; "));
        CHECK(explorer.states > 10'000); // fewer would mean that the interleavings are not explored
    }

    SECTION("the same checker finds an instance that adopts without the version check")
    {
        Faults faults;
        faults.adoptWithoutVersionCheck = true;
        CHECK(scenario.sameVersion(faults).violation.find("an accepted version went down") == 0);
    }

    SECTION("the same checker finds a platform that ignores the conditions of writes")
    {
        Faults faults;
        faults.platformIgnoresConditions = true;
        CHECK_FALSE(scenario.acceptAgainstWithdraw(faults).violation.empty());
    }
}

#include "requests/retryallowance.h"

#include "base/random.h"
#include "requests/retrybudget.h"

#include <catch2/catch.hpp>

#include <deque>
#include <set>
#include <vector>

using namespace clementinefall;
using namespace clementinefall::requests;

namespace {

const TimePoint start = TimePoint {} + std::chrono::hours(1);
constexpr milliseconds tick { 250 };
constexpr double fleetAllowance = 600;

/// Entry instances and the store's list of them. Instances that are out of touch keep the list that they had.
class Fleet {
public:
    struct Instance {
        std::string name;
        AllowanceHolders holders;
        std::vector<std::string> list;
        bool isOutOfTouch = false;
        bool isRunning = true;
    };

    Instance& add(const std::string& name)
    {
        this->registered.insert(name);
        Instance instance;
        instance.name = name;
        instance.list = { name };
        this->restart(instance);
        this->instances.push_back(std::move(instance));
        return this->instances.back();
    }

    void restart(Instance& instance)
    {
        instance.holders = AllowanceHolders { .startedAt = this->now };
        instance.list = { instance.name };
    }

    void stop(Instance& instance)
    {
        instance.isRunning = false;
        this->registered.erase(instance.name);
    }

    void run(Duration duration)
    {
        for (const TimePoint end = this->now + duration; this->now < end; this->now += tick)
            this->step();
    }

    /// Sum of the parts that all processes could use up in the budget window that ends now. A process that has ended
    /// counts with its part as long as the window reaches back to it.
    unsigned sumInWindow() const
    {
        unsigned sum = 0;
        for (const auto& [process, parts] : this->partsInWindow) {
            unsigned largest = 0;
            for (const auto& [at, part] : parts)
                largest = std::max(largest, part);
            sum += largest;
        }
        return sum;
    }

    std::deque<Instance> instances;
    unsigned largestSum = 0;
    TimePoint now = start;

private:
    void step()
    {
        for (Instance& instance : this->instances) {
            if (!instance.isRunning)
                continue;
            if (!instance.isOutOfTouch)
                instance.list.assign(this->registered.begin(), this->registered.end());
            recordHolders(instance.holders, instance.list, !instance.isOutOfTouch, this->now);
            this->partsInWindow[{ instance.name, instance.holders.startedAt }].emplace_back(
                this->now, allowancePart(instance.holders, fleetAllowance));
        }
        for (auto& [process, parts] : this->partsInWindow)
            std::erase_if(parts, [this](const auto& part) { return this->now - part.first >= RetryBudget::window; });
        this->largestSum = std::max(this->largestSum, this->sumInWindow());
    }

    std::set<std::string> registered;
    std::map<std::pair<std::string, TimePoint>, std::vector<std::pair<TimePoint, unsigned>>> partsInWindow;
};

} // namespace

TEST_CASE("The retry allowance of the fleet")
{
    Fleet fleet;
    for (int i = 0; i < 9; ++i)
        fleet.add("entry-" + std::to_string(i));

    SECTION("is not used in the first window after a start")
    {
        fleet.run(RetryBudget::window - tick);
        CHECK(fleet.largestSum == 0);
    }

    SECTION("is divided among all instances after that")
    {
        fleet.run(seconds(20));
        CHECK(fleet.sumInWindow() == 297);

        SECTION("and stays so when they are cut off from the store and from each other for an hour")
        {
            for (auto& instance : fleet.instances)
                instance.isOutOfTouch = true;
            fleet.run(std::chrono::hours(1));
            CHECK(fleet.largestSum == 297);
        }

        SECTION("and is not renewed by restarts one after the other")
        {
            for (auto& instance : fleet.instances) {
                fleet.restart(instance);
                fleet.run(milliseconds(500));
            }
            CHECK(fleet.largestSum <= 297);
        }

        SECTION("nor by restarts of all, again and again")
        {
            for (int i = 0; i < 5; ++i) {
                for (auto& instance : fleet.instances)
                    fleet.restart(instance);
                fleet.run(seconds(3));
            }
            CHECK(fleet.largestSum <= 297);
        }

        SECTION("nor used by a process that starts while it does not reach the store")
        {
            for (auto& instance : fleet.instances) {
                fleet.restart(instance);
                instance.isOutOfTouch = true;
            }
            fleet.run(std::chrono::minutes(10));
            CHECK(fleet.sumInWindow() == 0);
        }

        SECTION("an instance that is gone makes room after the retention")
        {
            fleet.stop(fleet.instances.front());
            fleet.run(std::chrono::minutes(1));
            CHECK(fleet.sumInWindow() == 8 * 33);
            fleet.run(holderRetention);
            CHECK(fleet.sumInWindow() == 8 * 37);
        }
    }

    SECTION("is kept in any mix of cuts, restarts, stops and additions")
    {
        Random random(36);
        unsigned used = 0;
        for (int round = 0; round < 60; ++round) {
            Fleet mixed;
            const auto initial = 2 + randomBelow(random, 12);
            for (std::uint64_t i = 0; i < initial; ++i)
                mixed.add("entry-" + std::to_string(i));
            mixed.run(seconds(12));
            std::uint64_t added = 0;
            for (int step = 0; step < 60; ++step) {
                auto& instance = mixed.instances[randomBelow(random, mixed.instances.size())];
                switch (randomBelow(random, 6)) {
                case 0:
                    instance.isOutOfTouch = true;
                    break;
                case 1:
                    instance.isOutOfTouch = false;
                    break;
                case 2:
                case 3:
                    if (instance.isRunning)
                        mixed.restart(instance);
                    break;
                case 4:
                    if (step % 5 == 0)
                        mixed.stop(instance);
                    break;
                default:
                    if (++added <= initial)
                        mixed.add("added-" + std::to_string(added));
                }
                mixed.run(milliseconds(250 + 250 * static_cast<int>(randomBelow(random, 12))));
            }
            REQUIRE(mixed.largestSum <= fleetAllowance);
            used = std::max(used, mixed.largestSum);
        }
        CHECK(used >= fleetAllowance / 4);
    }
}

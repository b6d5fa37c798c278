#include "requests/simulatedserver.h"

#include <fmt/format.h>

namespace clementinefall::requests::simulation {

namespace {

constexpr unsigned maximumRunningRequests = 4;
constexpr double slowProbability = 0.015;
constexpr std::uint64_t longResponseBytes = 60;

} // namespace

void SimulatedServer::handle(const Message& message, const ReplyFunction& reply)
{
    if (this->isDraining || this->runningRequests >= maximumRunningRequests) {
        reply({ ResultCode::NotRunShedByServer, message.tag, "" });
        return;
    }
    ++this->runningRequests;
    const bool isSlow = this->world.chance(slowProbability);
    const Duration total = isSlow ? this->world.randomMilliseconds(500, 4000) : this->world.randomMilliseconds(4, 60);
    const Duration effectAt = total / 4 * static_cast<int>(this->world.uniformBelow(4));
    std::string response = fmt::format("{} by {}/{}", message.tag, this->node, ++this->served);
    if (this->world.chance(0.2))
        response += std::string(longResponseBytes, '.');

    if (message.crashesServer) {
        this->world.network.runOnNode(this->node, total / 2, [this, content = message.content] {
            ++this->world.report.serverCrashes;
            ++this->world.crashesByContent[content];
            this->restart(this->world.randomMilliseconds(1000, 3000));
        });
    }
    this->world.network.runOnNode(
        this->node, effectAt, [this, message, response] { this->applyEffect(message, response); });
    this->world.network.runOnNode(this->node, total, [this, message, response, reply] {
        --this->runningRequests;
        reply({ ResultCode::Answered, message.tag, response });
    });
}

void SimulatedServer::restart(Duration downTime)
{
    this->world.network.kill(this->node);
    this->runningRequests = 0;
    this->world.scheduler.after(downTime, [this] { this->world.network.replace(this->node); });
}

void SimulatedServer::applyEffect(const Message& message, const std::string& response)
{
    ++this->world.report.effects;
    this->world.history.recordEffect(message.tag, fmt::format("s{}", this->node), message.content, response);
}

} // namespace clementinefall::requests::simulation

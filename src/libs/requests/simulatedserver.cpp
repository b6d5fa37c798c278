#include "requests/simulatedserver.h"

#include <fmt/format.h>

namespace clementinefall::requests::simulation {

namespace {

constexpr unsigned slots = 4;
constexpr double slowChance = 0.015;
constexpr std::uint64_t longAnswerBytes = 60;

} // namespace

void SimulatedServer::handle(const Message& message, const ReplyFunction& reply)
{
    if (this->isDraining || this->running >= slots) {
        reply({ ResultCode::NotRunShedByServer, message.tag, "" });
        return;
    }
    ++this->running;
    const bool isSlow = this->world.chance(slowChance);
    const Duration total = isSlow ? this->world.millisecondsBetween(500, 4000) : this->world.millisecondsBetween(4, 60);
    const Duration effectAt = total / 4 * static_cast<int>(this->world.below(4));
    std::string answer = fmt::format("{} by {}/{}", message.tag, this->node, ++this->served);
    if (this->world.chance(0.2))
        answer += std::string(longAnswerBytes, '.');

    if (message.crashesServer) {
        this->world.network.runIn(this->node, total / 2, [this, content = message.content] {
            ++this->world.report.serversCrashed;
            ++this->world.crashesByContent[content];
            this->restart(this->world.millisecondsBetween(1000, 3000));
        });
    }
    this->world.network.runIn(this->node, effectAt, [this, message, answer] { this->takeEffect(message, answer); });
    this->world.network.runIn(this->node, total, [this, message, answer, reply] {
        --this->running;
        reply({ ResultCode::Answered, message.tag, answer });
    });
}

void SimulatedServer::restart(Duration downTime)
{
    this->world.network.kill(this->node);
    this->running = 0;
    this->world.scheduler.after(downTime, [this] { this->world.network.replace(this->node); });
}

void SimulatedServer::takeEffect(const Message& message, const std::string& answer)
{
    ++this->world.report.effects;
    this->world.history.noteEffect(message.tag, fmt::format("s{}", this->node), message.content, answer);
}

} // namespace clementinefall::requests::simulation

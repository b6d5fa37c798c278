#pragma once

#include "requests/simulatedsystem.h"

namespace clementinefall::requests::simulation {

/// Backend server of the schedule exploration: runs up to four requests at a time, sheds more, and crashes on a marked
/// request before or after its effect.
class SimulatedServer {
public:
    SimulatedServer(World& serverWorld, std::size_t serverNode)
        : world(serverWorld)
        , node(serverNode)
    {
    }

    void handle(const Message& message, const ReplyFunction& reply);

    /// Ends the process and starts it again after \a downTime.
    void restart(Duration downTime);
    void setDraining(bool draining) { this->isDraining = draining; }

private:
    void takeEffect(const Message& message, const std::string& answer);

    World& world;
    std::size_t node;
    unsigned running = 0;
    bool isDraining = false;
    std::uint64_t served = 0;
};

} // namespace clementinefall::requests::simulation

#pragma once

#include "requests/simulatedsystem.h"

namespace clementinefall::requests::simulation {

/// Simulated backend server of the schedule exploration. It runs up to four requests at a time and sheds further ones.
/// A request marked with Message::crashesServer crashes it before or after its effect.
class SimulatedServer {
public:
    SimulatedServer(World& serverWorld, std::size_t serverNode)
        : world(serverWorld)
        , node(serverNode)
    {
    }

    void handle(const Message& message, const ReplyFunction& reply);

    /// Kills the process and starts a new one after \a downTime.
    void restart(Duration downTime);
    void setDraining(bool draining) { this->isDraining = draining; }

private:
    void applyEffect(const Message& message, const std::string& response);

    World& world;
    std::size_t node;
    unsigned runningRequests = 0;
    bool isDraining = false;
    std::uint64_t served = 0;
};

} // namespace clementinefall::requests::simulation

#include "requests/simulatednetwork.h"

#include <algorithm>

namespace clementinefall::requests::simulation {

namespace {

constexpr milliseconds connectTimeout { 300 };
constexpr std::uint64_t maximumLatenessMs = 6000;

} // namespace

void Scheduler::at(TimePoint eventTime, Action action)
{
    this->events.push({ std::max(eventTime, this->time), this->createdCount++, std::move(action) });
}

void Scheduler::run()
{
    while (!this->events.empty()) {
        Event event = this->events.top();
        this->events.pop();
        this->time = event.time;
        event.action();
    }
}

std::size_t Network::addNode(std::function<void(const Message&, const ReplyFunction&)> handler)
{
    this->nodes.emplace_back();
    this->nodes.back().handler = std::move(handler);
    return this->nodes.size() - 1;
}

void Network::setHandler(std::size_t node, std::function<void(const Message&, const ReplyFunction&)> handler)
{
    this->nodes[node].handler = std::move(handler);
}

void Network::kill(std::size_t node)
{
    Node& dead = this->nodes[node];
    dead.isAlive = false;
    ++dead.generation;
    dead.pausedUntil = {};
    const std::vector<ExchangePtr> inbound = std::move(dead.inbound);
    dead.inbound.clear();
    for (const ExchangePtr& exchange : inbound) {
        if (!this->isBlocked(node, exchange->from)) {
            this->scheduler.after(
                this->latency(), [this, exchange] { this->finish(exchange, ExchangeEnd::LostAfterWrite, {}); });
        }
    }
}

void Network::replace(std::size_t node) { this->nodes[node].isAlive = true; }

void Network::pause(std::size_t node, Duration duration)
{
    this->nodes[node].pausedUntil = this->scheduler.now() + duration;
}

void Network::setBlocked(std::size_t from, std::size_t to, bool isBlocked)
{
    if (isBlocked)
        this->blocked.emplace(from, to);
    else
        this->blocked.erase({ from, to });
}

void Network::runOnNode(std::size_t node, Duration delay, Action action)
{
    this->runOnGeneration(node, this->nodes[node].generation, this->scheduler.now() + delay, std::move(action));
}

void Network::runOnGeneration(std::size_t node, unsigned generation, TimePoint time, Action action)
{
    this->scheduler.at(time, [this, node, generation, action = std::move(action)]() mutable {
        const Node& target = this->nodes[node];
        if (!target.isAlive || target.generation != generation)
            return;
        if (target.pausedUntil > this->scheduler.now())
            this->runOnGeneration(node, generation, target.pausedUntil, std::move(action));
        else
            action();
    });
}

void Network::exchange(std::size_t from, std::size_t to, const Message& message, Duration timeout, bool mayDuplicate,
    CompletionHandler onEnd)
{
    const auto exchange
        = std::make_shared<Exchange>(Exchange { from, to, this->nodes[from].generation, false, std::move(onEnd) });
    this->scheduler.after(timeout, [this, exchange] { this->finish(exchange, ExchangeEnd::TimedOut, {}); });
    if (mayDuplicate && this->chance(this->faults.duplicate)) {
        const auto copy = std::make_shared<Exchange>(Exchange { from, to, 0, true, {} });
        const Duration delay = milliseconds(randomBelow(this->random, maximumLatenessMs));
        this->scheduler.after(delay, [this, copy, message] {
            if (!this->isBlocked(copy->from, copy->to))
                this->deliver(copy, message, this->nodes[copy->to].generation);
        });
    }

    const auto pooled = this->pooledGeneration.find({ from, to });
    const bool isPooled = pooled != this->pooledGeneration.end() && this->chance(0.7);
    const unsigned expectedGeneration = isPooled ? pooled->second : this->nodes[to].generation;
    const bool isPartitioned = this->isBlocked(from, to) || this->isBlocked(to, from);
    if (isPartitioned && !isPooled) {
        const Duration wait = std::min<Duration>(timeout, connectTimeout);
        this->scheduler.after(wait, [this, exchange] { this->finish(exchange, ExchangeEnd::NothingWritten, {}); });
        return;
    }
    if (!isPooled && !this->nodes[to].isAlive) {
        this->scheduler.after(
            this->latency(), [this, exchange] { this->finish(exchange, ExchangeEnd::ConnectRefused, {}); });
        return;
    }
    Duration delay = this->latency();
    if (this->chance(this->faults.delayedRequest))
        delay += milliseconds(randomBelow(this->random, maximumLatenessMs));
    this->scheduler.after(delay, [this, exchange, message, expectedGeneration] {
        if (this->isBlocked(exchange->from, exchange->to))
            return;
        this->deliver(exchange, message, expectedGeneration);
    });
}

void Network::deliver(const ExchangePtr& exchange, const Message& message, unsigned receiverGeneration)
{
    Node& receiver = this->nodes[exchange->to];
    if (!receiver.isAlive || receiver.generation != receiverGeneration) {
        this->pooledGeneration.erase({ exchange->from, exchange->to });
        if (!this->isBlocked(exchange->to, exchange->from)) {
            this->scheduler.after(
                this->latency(), [this, exchange] { this->finish(exchange, ExchangeEnd::LostAfterWrite, {}); });
        }
        return;
    }
    std::erase_if(receiver.inbound, [](const ExchangePtr& other) { return other->isDone; });
    receiver.inbound.push_back(exchange);
    this->runOnGeneration(
        exchange->to, receiverGeneration, this->scheduler.now(), [this, exchange, message, receiverGeneration] {
            this->nodes[exchange->to].handler(message, [this, exchange, receiverGeneration](const Reply& reply) {
                this->deliverReply(exchange, receiverGeneration, reply);
            });
        });
}

void Network::deliverReply(const ExchangePtr& exchange, unsigned receiverGeneration, const Reply& reply)
{
    if (this->nodes[exchange->to].generation != receiverGeneration)
        return;
    Reply delivered = reply;
    const std::pair<std::size_t, std::size_t> peers { exchange->from, exchange->to };
    const auto last = this->lastReply.find(peers);
    if (last != this->lastReply.end() && !reply.tag.empty() && this->chance(this->faults.staleReply))
        delivered = last->second;
    if (!reply.tag.empty())
        this->lastReply[peers] = reply;
    if (this->chance(this->faults.lostReply))
        return;
    const bool isTruncated = this->chance(this->faults.truncatedReply);
    this->scheduler.after(this->latency(), [this, exchange, receiverGeneration, delivered, isTruncated] {
        if (this->isBlocked(exchange->to, exchange->from))
            return;
        if (!isTruncated && !exchange->isDone)
            this->pooledGeneration[{ exchange->from, exchange->to }] = receiverGeneration;
        this->finish(exchange, isTruncated ? ExchangeEnd::ResponseTruncated : ExchangeEnd::Replied, delivered);
    });
}

void Network::finish(const ExchangePtr& exchange, ExchangeEnd end, const Reply& reply)
{
    if (exchange->isDone)
        return;
    exchange->isDone = true;
    if (end != ExchangeEnd::Replied)
        this->pooledGeneration.erase({ exchange->from, exchange->to });
    this->runOnGeneration(exchange->from, exchange->senderGeneration, this->scheduler.now(),
        [exchange, end, reply] { exchange->onEnd(end, reply); });
}

void Network::sendOneWay(std::size_t from, std::size_t to, Action action)
{
    if (this->isBlocked(from, to))
        return;
    this->runOnGeneration(to, this->nodes[to].generation, this->scheduler.now() + this->latency(), std::move(action));
}

} // namespace clementinefall::requests::simulation

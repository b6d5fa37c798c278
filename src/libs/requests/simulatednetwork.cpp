#include "requests/simulatednetwork.h"

#include <algorithm>

namespace clementinefall::requests::simulation {

namespace {

constexpr milliseconds connectTimeout { 300 };
constexpr std::uint64_t longestLatenessMs = 6000;

} // namespace

void Scheduler::at(TimePoint eventTime, Action action)
{
    this->events.push({ std::max(eventTime, this->time), this->created++, std::move(action) });
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
    ++dead.life;
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

void Network::runIn(std::size_t node, Duration delay, Action action)
{
    this->runInLife(node, this->nodes[node].life, this->scheduler.now() + delay, std::move(action));
}

void Network::runInLife(std::size_t node, unsigned life, TimePoint time, Action action)
{
    this->scheduler.at(time, [this, node, life, action = std::move(action)]() mutable {
        const Node& target = this->nodes[node];
        if (!target.isAlive || target.life != life)
            return;
        if (target.pausedUntil > this->scheduler.now())
            this->runInLife(node, life, target.pausedUntil, std::move(action));
        else
            action();
    });
}

void Network::exchange(
    std::size_t from, std::size_t to, const Message& message, Duration timeout, bool mayDuplicate, EndFunction onEnd)
{
    const auto exchange
        = std::make_shared<Exchange>(Exchange { from, to, this->nodes[from].life, false, std::move(onEnd) });
    this->scheduler.after(timeout, [this, exchange] { this->finish(exchange, ExchangeEnd::TimedOut, {}); });
    if (mayDuplicate && this->chance(this->faults.duplicate)) {
        const auto copy = std::make_shared<Exchange>(Exchange { from, to, 0, true, {} });
        const Duration delay = milliseconds(randomBelow(this->random, longestLatenessMs));
        this->scheduler.after(delay, [this, copy, message] {
            if (!this->isBlocked(copy->from, copy->to))
                this->deliver(copy, message, this->nodes[copy->to].life);
        });
    }

    const auto pooled = this->pooledLife.find({ from, to });
    const bool isPooled = pooled != this->pooledLife.end() && this->chance(0.7);
    const unsigned expectedLife = isPooled ? pooled->second : this->nodes[to].life;
    const bool isCut = this->isBlocked(from, to) || this->isBlocked(to, from);
    if (isCut && !isPooled) {
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
    if (this->chance(this->faults.lateRequest))
        delay += milliseconds(randomBelow(this->random, longestLatenessMs));
    this->scheduler.after(delay, [this, exchange, message, expectedLife] {
        if (this->isBlocked(exchange->from, exchange->to))
            return;
        this->deliver(exchange, message, expectedLife);
    });
}

void Network::deliver(const ExchangePtr& exchange, const Message& message, unsigned receiverLife)
{
    Node& receiver = this->nodes[exchange->to];
    if (!receiver.isAlive || receiver.life != receiverLife) {
        this->pooledLife.erase({ exchange->from, exchange->to });
        if (!this->isBlocked(exchange->to, exchange->from)) {
            this->scheduler.after(
                this->latency(), [this, exchange] { this->finish(exchange, ExchangeEnd::LostAfterWrite, {}); });
        }
        return;
    }
    std::erase_if(receiver.inbound, [](const ExchangePtr& other) { return other->isDone; });
    receiver.inbound.push_back(exchange);
    this->runInLife(exchange->to, receiverLife, this->scheduler.now(), [this, exchange, message, receiverLife] {
        this->nodes[exchange->to].handler(message,
            [this, exchange, receiverLife](const Reply& reply) { this->carryReply(exchange, receiverLife, reply); });
    });
}

void Network::carryReply(const ExchangePtr& exchange, unsigned receiverLife, const Reply& reply)
{
    if (this->nodes[exchange->to].life != receiverLife)
        return;
    Reply carried = reply;
    const std::pair<std::size_t, std::size_t> peers { exchange->from, exchange->to };
    const auto last = this->lastReply.find(peers);
    if (last != this->lastReply.end() && !reply.tag.empty() && this->chance(this->faults.foreignReply))
        carried = last->second;
    if (!reply.tag.empty())
        this->lastReply[peers] = reply;
    if (this->chance(this->faults.lostReply))
        return;
    const bool isCut = this->chance(this->faults.cutReply);
    this->scheduler.after(this->latency(), [this, exchange, receiverLife, carried, isCut] {
        if (this->isBlocked(exchange->to, exchange->from))
            return;
        if (!isCut && !exchange->isDone)
            this->pooledLife[{ exchange->from, exchange->to }] = receiverLife;
        this->finish(exchange, isCut ? ExchangeEnd::ResponseTruncated : ExchangeEnd::Replied, carried);
    });
}

void Network::finish(const ExchangePtr& exchange, ExchangeEnd end, const Reply& reply)
{
    if (exchange->isDone)
        return;
    exchange->isDone = true;
    if (end != ExchangeEnd::Replied)
        this->pooledLife.erase({ exchange->from, exchange->to });
    this->runInLife(exchange->from, exchange->senderLife, this->scheduler.now(),
        [exchange, end, reply] { exchange->onEnd(end, reply); });
}

void Network::post(std::size_t from, std::size_t to, Action action)
{
    if (this->isBlocked(from, to))
        return;
    this->runInLife(to, this->nodes[to].life, this->scheduler.now() + this->latency(), std::move(action));
}

} // namespace clementinefall::requests::simulation

#include "fleetlink.h"

#include "sharemessages.h"

#include "base/log.h"
#include "bundle/bundlecodec.h"
#include "bundle/rolloutrecords.h"
#include "bundle/signature.h"

#include <boost/json.hpp>

namespace clementinefall::entry {

namespace json = boost::json;

namespace {

constexpr milliseconds fetchDeadline { 1000 };
constexpr milliseconds announceDeadline { 1000 };
constexpr milliseconds shareQueryDeadline { 900 };

} // namespace

FleetLink::FleetLink(asio::io_context& controlContext, std::shared_ptr<BundleWatcher> bundleWatcher,
    FleetLinkSettings linkSettings, FleetLinkHandlers linkHandlers)
    : context(controlContext)
    , watcher(std::move(bundleWatcher))
    , settings(std::move(linkSettings))
    , handlers(std::move(linkHandlers))
{
    membership::MemberRecord self;
    self.name = this->settings.name;
    self.zone = this->settings.zone;
    self.address = this->settings.address;
    self.incarnation = this->settings.incarnation;
    peers::MembershipHandlers membershipHandlers;
    membershipHandlers.changed = [this](const membership::MemberChange&) { this->handlers.membersChanged(); };
    membershipHandlers.resumed = [this] { this->handlers.membersChanged(); };
    membershipHandlers.superseded = [this] { this->handlers.superseded(); };
    peers::MembershipTransportSettings transportSettings;
    transportSettings.key = this->settings.key;
    this->transport = std::make_shared<peers::MembershipTransport>(this->context, transportSettings,
        membership::makeMemberTable(self, membership::Timing {}, Clock::now(), this->random), Random(this->random()),
        std::move(membershipHandlers));
    peers::PeerServerSettings serverSettings;
    serverSettings.address = this->settings.address;
    serverSettings.key = this->settings.key;
    this->server = std::make_unique<peers::PeerServer>(this->context, serverSettings, this->peerHandlers());
    peers::PeerClientSettings clientSettings;
    clientSettings.key = this->settings.key;
    clientSettings.self = { this->settings.name, this->settings.incarnation };
    this->client = std::make_unique<peers::PeerClient>(this->context, clientSettings, Random(this->random()));
}

Status FleetLink::start()
{
    Status listening = this->server->listen();
    if (!isOk(listening))
        return listening;
    return this->transport->start();
}

void FleetLink::stop()
{
    this->transport->stop();
    this->client.reset();
    this->server.reset();
}

bool FleetLink::shouldWatchPlatform() const
{
    return this->watcher->state().acceptedVersion == 0 || peers::isWatcher(this->table());
}

peers::PeerHandlers FleetLink::peerHandlers()
{
    peers::PeerHandlers result;
    result.getBundle = [this](std::uint64_t haveVersion, const std::string&) { return this->bundleFor(haveVersion); };
    result.announce = [this](const peers::PeerIdentity& peer, std::uint64_t version, const std::string&) {
        const membership::Member* member = membership::findMemberByName(this->table(), peer.name);
        if (!member)
            return;
        peers::DisseminationActions step;
        peers::versionAnnounced(
            this->spread, this->table(), Clock::now(), this->random, member->record.address, version, step);
        this->run(std::move(step));
    };
    result.reportCrash = [](const peers::PeerIdentity& peer, const peers::CrashReport& report) {
        logWarning(
            "crash_reported", { { "by", peer.name }, { "server", report.server }, { "service", report.service } });
    };
    result.status = [this](const peers::PeerIdentity&, const std::string& content) {
        const auto query = parseShareQuery(content);
        return query ? serializeShareStatus(this->handlers.answerShareQuery(*query)) : std::string();
    };
    return result;
}

peers::BundleResponse FleetLink::bundleFor(std::uint64_t haveVersion) const
{
    peers::BundleResponse answer;
    const bundle::AdoptionState& state = this->watcher->state();
    if (!state.accepted || state.acceptedVersion <= haveVersion)
        return answer;
    bundle::SignOffRecord signOffs;
    signOffs.version = state.acceptedVersion;
    signOffs.digest = state.acceptedDigest;
    signOffs.signOffs = this->watcher->acceptedSignOffs();
    answer.kind = peers::BundleKind::Full;
    answer.version = state.acceptedVersion;
    answer.digest = state.acceptedDigest;
    answer.content = json::serialize(json::object {
        { "bundle", bundle::serializeBundle(*state.accepted) },
        { "signOffs", bundle::serializeSignOffs(signOffs) },
    });
    return answer;
}

Status FleetLink::adoptFromPeer(const peers::BundleResponse& answer)
{
    json::error_code error;
    const json::value document = json::parse(answer.content, error);
    if (error || !document.is_object() || !document.get_object().contains("bundle")
        || !document.get_object().contains("signOffs") || !document.at("bundle").is_string()
        || !document.at("signOffs").is_string())
        return makeError(ResultCode::PeerBadMessage, "the bundle of a peer cannot be read");
    Result<bundle::Bundle> parsed = bundle::parseBundle(document.at("bundle").get_string());
    if (!isOk(parsed))
        return errorOf(parsed);
    const bundle::StoredObject object { "signoffs", 1, std::string(document.at("signOffs").get_string()) };
    const Result<bundle::SignOffRecord> signOffs = bundle::readSignOffs(object);
    if (!isOk(signOffs))
        return errorOf(signOffs);
    bundle::Candidate candidate;
    candidate.digest = bundle::bundleDigest(valueOf(parsed));
    candidate.content.bundle = std::make_shared<const bundle::Bundle>(std::move(valueOf(parsed)));
    candidate.content.signOffs = valueOf(signOffs).signOffs;
    return this->watcher->offerFromPeer(candidate);
}

void FleetLink::tick()
{
    peers::DisseminationActions step;
    peers::tickDissemination(this->spread, this->table(), Clock::now(), this->random, step);
    this->run(std::move(step));
}

void FleetLink::bundleChanged(const bundle::Bundle& inForce)
{
    std::vector<HostPort> hints;
    this->zonePeers.clear();
    for (const bundle::EntryInstance& instance : inForce.entryInstances) {
        if (instance.name == this->settings.name)
            continue;
        hints.push_back(instance.peer);
        if (instance.zone == this->settings.zone)
            this->zonePeers.push_back(instance.peer);
    }
    this->transport->setHints(std::move(hints));
    const bundle::AdoptionState& state = this->watcher->state();
    membership::InstanceReport report;
    report.newestBundle = state.acceptedVersion;
    report.newestDigest = state.acceptedDigest.substr(0, membership::maximumDigestBytes);
    report.actingBundle = inForce.version;
    this->transport->setReport(report);
    if (state.acceptedVersion <= this->spread.version)
        return;
    peers::DisseminationActions step;
    peers::bundleAdopted(this->spread, this->table(), this->random, state.acceptedVersion, state.acceptedDigest, step);
    this->run(std::move(step));
}

void FleetLink::run(peers::DisseminationActions step)
{
    if (!this->client)
        return;
    for (const peers::AnnounceAction& action : step.announces) {
        this->client->announce(
            action.to, action.version, action.digest, announceDeadline, [](const Result<std::monostate>&) {
                // A lost announcement is made up for by the version that probes carry.
            });
    }
    if (step.fetch)
        this->fetch(*step.fetch);
}

void FleetLink::fetch(const peers::FetchAction& action)
{
    const auto done = [this, id = action.id](const Result<peers::BundleResponse>& answer) {
        Status bundleAdopted = isOk(answer) ? okStatus() : Status(errorOf(answer));
        if (isOk(answer)) {
            bundleAdopted = valueOf(answer).kind == peers::BundleKind::Full
                ? this->adoptFromPeer(valueOf(answer))
                : Status(makeError(ResultCode::PeerBadMessage, "the peer has no newer bundle"));
        }
        if (isOk(bundleAdopted)) {
            peers::fetchSucceeded(this->spread, id);
            return;
        }
        logWarning("bundle_fetch_failed", { { "error", errorOf(bundleAdopted).text() } });
        peers::DisseminationActions step;
        peers::fetchFailed(this->spread, this->table(), Clock::now(), this->random, id, step);
        this->run(std::move(step));
    };
    this->client->getBundle(action.from, action.haveVersion, action.haveDigest, fetchDeadline, done);
}

void FleetLink::queryZone(const steering::ShareQuery& query)
{
    const std::string content = serializeShareQuery(query);
    for (const HostPort& peer : this->zonePeers) {
        this->client->status(peer, content, shareQueryDeadline, [this](const Result<std::string>& answer) {
            const auto status = isOk(answer) ? parseShareStatus(valueOf(answer)) : std::nullopt;
            if (status)
                this->handlers.shareStatusArrived(*status);
        });
    }
}

} // namespace clementinefall::entry

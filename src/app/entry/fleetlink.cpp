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
    membershipHandlers.changed = [this](const membership::MemberChange&) { this->handlers.onMembersChanged(); };
    membershipHandlers.resumed = [this] { this->handlers.onMembersChanged(); };
    membershipHandlers.superseded = [this] { this->handlers.onSuperseded(); };
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
    result.getBundle
        = [this](std::uint64_t peerVersion, const std::string&) { return this->bundleNewerThan(peerVersion); };
    result.announce = [this](const peers::PeerIdentity& peer, std::uint64_t version, const std::string&) {
        const membership::Member* member = membership::findMemberByName(this->table(), peer.name);
        if (!member)
            return;
        peers::DisseminationActions actions;
        peers::versionAnnounced(
            this->dissemination, this->table(), Clock::now(), this->random, member->record.address, version, actions);
        this->runActions(std::move(actions));
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

peers::BundleResponse FleetLink::bundleNewerThan(std::uint64_t peerVersion) const
{
    peers::BundleResponse response;
    const bundle::AdoptionState& state = this->watcher->state();
    if (!state.accepted || state.acceptedVersion <= peerVersion)
        return response;
    bundle::SignOffRecord signOffs;
    signOffs.version = state.acceptedVersion;
    signOffs.digest = state.acceptedDigest;
    signOffs.signOffs = this->watcher->acceptedSignOffs();
    response.kind = peers::BundleKind::Full;
    response.version = state.acceptedVersion;
    response.digest = state.acceptedDigest;
    response.content = json::serialize(json::object {
        { "bundle", bundle::serializeBundle(*state.accepted) },
        { "signOffs", bundle::serializeSignOffs(signOffs) },
    });
    return response;
}

Status FleetLink::adoptFromPeer(const peers::BundleResponse& response)
{
    json::error_code error;
    const json::value document = json::parse(response.content, error);
    if (error || !document.is_object() || !document.get_object().contains("bundle")
        || !document.get_object().contains("signOffs") || !document.at("bundle").is_string()
        || !document.at("signOffs").is_string())
        return makeError(ResultCode::PeerBadMessage, "the bundle received from a peer cannot be parsed");
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
    return this->watcher->adoptFromPeer(candidate);
}

void FleetLink::tick()
{
    peers::DisseminationActions actions;
    peers::tickDissemination(this->dissemination, this->table(), Clock::now(), this->random, actions);
    this->runActions(std::move(actions));
}

void FleetLink::onBundleChanged(const bundle::Bundle& inForce)
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
    if (state.acceptedVersion <= this->dissemination.version)
        return;
    peers::DisseminationActions actions;
    peers::bundleAdopted(
        this->dissemination, this->table(), this->random, state.acceptedVersion, state.acceptedDigest, actions);
    this->runActions(std::move(actions));
}

void FleetLink::runActions(peers::DisseminationActions actions)
{
    if (!this->client)
        return;
    for (const peers::AnnounceAction& action : actions.announces) {
        this->client->announce(
            action.to, action.version, action.digest, announceDeadline, [](const Result<std::monostate>&) {
                // A lost announcement needs no retry: membership probes carry the bundle version too.
            });
    }
    if (actions.fetch)
        this->fetch(*actions.fetch);
}

void FleetLink::fetch(const peers::FetchAction& action)
{
    const auto onFetched = [this, id = action.id](const Result<peers::BundleResponse>& response) {
        Status status = isOk(response) ? okStatus() : Status(errorOf(response));
        if (isOk(response)) {
            status = valueOf(response).kind == peers::BundleKind::Full
                ? this->adoptFromPeer(valueOf(response))
                : Status(makeError(ResultCode::PeerBadMessage, "the peer has no newer bundle"));
        }
        if (isOk(status)) {
            peers::fetchSucceeded(this->dissemination, id);
            return;
        }
        logWarning("bundle_fetch_failed", { { "error", errorOf(status).text() } });
        peers::DisseminationActions actions;
        peers::fetchFailed(this->dissemination, this->table(), Clock::now(), this->random, id, actions);
        this->runActions(std::move(actions));
    };
    this->client->getBundle(action.from, action.haveVersion, action.haveDigest, fetchDeadline, onFetched);
}

void FleetLink::queryZone(const steering::ShareQuery& query)
{
    const std::string content = serializeShareQuery(query);
    for (const HostPort& peer : this->zonePeers) {
        this->client->status(peer, content, shareQueryDeadline, [this](const Result<std::string>& response) {
            const auto status = isOk(response) ? parseShareStatus(valueOf(response)) : std::nullopt;
            if (status)
                this->handlers.onShareStatus(*status);
        });
    }
}

} // namespace clementinefall::entry

#include "fleetlink.h"

#include "sharemessages.h"

#include "base/log.h"
#include "bundle/bundlecodec.h"
#include "bundle/rolloutrecords.h"
#include "bundle/signature.h"

namespace clementinefall::entry {

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
    result.getBundle = [this](const peers::BundleQuery& query) {
        this->rememberAccepted();
        return bundleResponse(this->history, query);
    };
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

void FleetLink::rememberAccepted()
{
    const bundle::AdoptionState& state = this->watcher->state();
    if (!state.accepted || newestVersion(this->history) >= state.acceptedVersion)
        return;
    bundle::SignOffRecord signOffs;
    signOffs.version = state.acceptedVersion;
    signOffs.digest = state.acceptedDigest;
    signOffs.signOffs = this->watcher->acceptedSignOffs();
    rememberBundle(this->history,
        { .version = state.acceptedVersion,
            .digest = state.acceptedDigest,
            .text = bundle::serializeBundle(*state.accepted),
            .signOffs = bundle::serializeSignOffs(signOffs) });
}

Status FleetLink::adoptFromPeer(const peers::BundleResponse& response)
{
    const Result<KnownBundle> received = receivedBundle(this->history, response);
    if (!isOk(received))
        return errorOf(received);
    Result<bundle::Bundle> parsed = bundle::parseBundle(valueOf(received).text);
    if (!isOk(parsed))
        return errorOf(parsed);
    const bundle::StoredObject object { "signoffs", 1, valueOf(received).signOffs };
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
    this->rememberAccepted();
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
            status = this->adoptFromPeer(valueOf(response));
            this->mustFetchFull = !isOk(status) && valueOf(response).kind == peers::BundleKind::Delta;
        }
        if (isOk(status)) {
            logInfo("bundle_fetched",
                { { "version", valueOf(response).version }, { "bytes", valueOf(response).content.size() },
                    { "delta", valueOf(response).kind == peers::BundleKind::Delta } });
            peers::fetchSucceeded(this->dissemination, id);
            return;
        }
        logWarning("bundle_fetch_failed", { { "error", errorOf(status).text() } });
        peers::DisseminationActions actions;
        peers::fetchFailed(this->dissemination, this->table(), Clock::now(), this->random, id, actions);
        this->runActions(std::move(actions));
    };
    const peers::BundleQuery query {
        .haveVersion = action.haveVersion, .haveDigest = action.haveDigest, .acceptsDelta = !this->mustFetchFull
    };
    this->client->getBundle(action.from, query, fetchDeadline, onFetched);
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

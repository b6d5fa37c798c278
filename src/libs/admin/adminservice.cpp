#include "admin/adminservice.h"

#include "admin/commandrunner.h"
#include "admin/permissions.h"
#include "base/log.h"
#include "bundle/bundlecheck.h"
#include "bundle/bundlecodec.h"
#include "bundle/bundlediff.h"
#include "bundle/signature.h"
#include "http/target.h"
#include "platform/platformprotocol.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <charconv>

namespace clementinefall::admin {

namespace json = boost::json;

using bundle::AuditEntry;
using bundle::Bundle;
using bundle::CommandContext;
using bundle::CommandPlan;
using bundle::Drain;
using bundle::Operator;
using bundle::Role;
using bundle::RolloutObjects;
using bundle::SignOff;
using bundle::StoredObject;

namespace {

constexpr std::size_t maximumListedVersions = 100;
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view operationField = "Clementine-Operation";

AdminResponse failure(const Error& error)
{
    return { error.code,
        { { "result", number(error.code) }, { "name", resultCodeInfo(error.code).name },
            { "outcome", outcomeName(outcomeOf(error.code)) }, { "message", error.message } },
        "" };
}

AdminResponse success(json::object body) { return { ResultCode::Answered, std::move(body), "" }; }

json::array findingsJson(const std::vector<bundle::Finding>& findings)
{
    json::array result;
    for (const bundle::Finding& finding : findings)
        result.push_back(json::object { { "severity", severityName(finding.severity) },
            { "result", number(finding.code) }, { "name", resultCodeInfo(finding.code).name }, { "path", finding.path },
            { "line", finding.line }, { "message", finding.message } });
    return result;
}

AdminResponse findingsFailure(const std::vector<bundle::Finding>& findings)
{
    const auto first = std::find_if(findings.begin(), findings.end(),
        [](const bundle::Finding& finding) { return finding.severity == bundle::Severity::Error; });
    AdminResponse response = failure(Error { first->code, first->text() });
    response.body["findings"] = findingsJson(findings);
    return response;
}

std::optional<std::uint64_t> parseVersion(const std::string& text)
{
    std::uint64_t version = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), version);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || version == 0)
        return std::nullopt;
    return version;
}

Result<json::object> parseBody(const std::string& text)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object())
        return makeError(ResultCode::BadRequest, "the body must be a JSON object");
    return value.get_object();
}

Result<std::string> textField(const json::object& body, std::string_view field)
{
    const json::value* value = body.if_contains(field);
    if (!value || !value->is_string())
        return makeError(ResultCode::BadParameter, "{} must be a string", field);
    return std::string(std::string_view(value->get_string()));
}

Result<SignOff> signOffFrom(const json::object& body)
{
    const auto signer = textField(body, "signer");
    const auto publicKey = textField(body, "publicKey");
    const auto signature = textField(body, "signature");
    for (const auto* field : { &signer, &publicKey, &signature }) {
        if (!isOk(*field))
            return errorOf(*field);
    }
    return SignOff { valueOf(signer), valueOf(publicKey), valueOf(signature) };
}

Result<std::vector<std::string>> zonesFrom(const json::object& body)
{
    const json::value* value = body.if_contains("zones");
    if (!value || !value->is_array())
        return makeError(ResultCode::BadParameter, "zones must be an array");
    std::vector<std::string> zones;
    for (const json::value& zone : value->get_array()) {
        if (!zone.is_string())
            return makeError(ResultCode::BadParameter, "zones must contain only strings");
        zones.emplace_back(std::string_view(zone.get_string()));
    }
    return zones;
}

std::string_view stateOf(
    std::uint64_t version, const bundle::AcceptedRecord& accepted, const bundle::RolloutRecord& rollout)
{
    const auto& recent = accepted.recent;
    if (version == accepted.version)
        return "accepted";
    if (std::find(recent.begin(), recent.end(), version) != recent.end())
        return "superseded";
    if (accepted.isWithdrawn(version))
        return "withdrawn";
    if (version < accepted.version)
        return "overtaken";
    return version == rollout.version ? "staged" : "submitted";
}

std::optional<bundle::DrainKind> drainKindFrom(std::string_view name)
{
    if (name == "backend-server")
        return bundle::DrainKind::BackendServer;
    if (name == "entry-instance")
        return bundle::DrainKind::EntryInstance;
    if (name == "zone")
        return bundle::DrainKind::Zone;
    return std::nullopt;
}

} // namespace

/// State of one request while the service handles it.
struct AdminService::Call {
    AdminRequest request;
    std::vector<std::string> path; ///< Segments after `/v1/admin`.
    std::map<std::string, std::string> query;
    Operator operatorEntry;
    bool isBootstrap = false;
    std::string command;

    bool is(std::string_view method, std::size_t segments) const
    {
        return this->request.method == method && this->path.size() == segments;
    }

    bool isDryRun() const
    {
        const auto found = this->query.find("dryRun");
        return found != this->query.end() && found->second == "true";
    }
};

AdminService::AdminService(
    std::shared_ptr<AdminStore> adminStore, AdminSettings adminSettings, InstanceHooks instanceHooks)
    : store(std::move(adminStore))
    , settings(std::move(adminSettings))
    , hooks(std::move(instanceHooks))
{
}

Awaitable<AdminResponse> AdminService::handle(AdminRequest request)
{
    const auto self = this->shared_from_this();
    const auto call = std::make_shared<Call>();
    const auto target = http::parseTarget(request.target);
    if (!target || target->segments.size() < 3 || target->segments[0] != "v1" || target->segments[1] != "admin")
        co_return failure(makeError(ResultCode::NotFound, "there is no such resource"));
    call->request = std::move(request);
    call->path.assign(target->segments.begin() + 2, target->segments.end());
    call->query = target->query;
    if (call->request.operationId.empty())
        call->request.operationId = bundle::generateOperationId();
    const Status authenticated = co_await this->authenticate(call);
    if (!isOk(authenticated))
        co_return failure(errorOf(authenticated));
    const AdminResponse response = co_await this->dispatch(call);
    if (call->request.method != "GET")
        logInfo("admin_command",
            { { "operator", call->operatorEntry.name }, { "method", call->request.method }, { "path", target->path },
                { "operation", call->request.operationId }, { "result", number(response.code) } });
    co_return response;
}

Awaitable<Status> AdminService::authenticate(CallPointer call)
{
    const std::string& authorization = call->request.authorization;
    const Error rejected = makeError(ResultCode::AdminUnauthenticated, "the bearer token is missing or unknown");
    if (!authorization.starts_with(bearerPrefix) || authorization.size() == bearerPrefix.size())
        co_return rejected;
    const std::string token = authorization.substr(bearerPrefix.size());
    const auto accepted = this->hooks.acceptedBundle();
    if (accepted) {
        const Operator* operatorEntry = bundle::operatorForToken(*accepted, token);
        if (!operatorEntry)
            co_return rejected;
        call->operatorEntry = *operatorEntry;
        co_return okStatus();
    }
    Bundle bootstrap;
    bootstrap.operators = { { "bootstrap", "", Role::Administrator, this->settings.bootstrapTokenDigest, "" } };
    if (!bundle::operatorForToken(bootstrap, token))
        co_return rejected;
    // This instance may have no bundle only because it has just started. The bootstrap token is rejected if the store
    // has an accepted bundle.
    const std::string key(bundle::acceptedKey);
    const auto object = co_await this->store->read(key);
    if (!isOk(object))
        co_return errorOf(object);
    const auto record = bundle::readAccepted(valueOf(object));
    if (!isOk(record) || valueOf(record).version != 0)
        co_return rejected;
    call->operatorEntry = bootstrap.operators.front();
    call->isBootstrap = true;
    co_return okStatus();
}

Awaitable<AdminResponse> AdminService::dispatch(CallPointer call)
{
    const std::string& resource = call->path[0];
    if (resource == "status" && call->is("GET", 1))
        co_return co_await this->showStatus(call);
    if (resource == "history" && call->is("GET", 1))
        co_return co_await this->showHistory(call);
    if (resource == "audit" && call->is("GET", 1))
        co_return co_await this->showAudit(call);
    if (resource == "bundles" && call->is("GET", 1))
        co_return co_await this->listBundles(call);
    if (resource == "bundles" && call->is("POST", 1))
        co_return co_await this->submitText(call);
    if (resource == "bundles" && call->path.size() > 1)
        co_return co_await this->dispatchVersion(call);
    if (resource == "drains" && call->is("GET", 1))
        co_return this->showDrains(call);
    if (resource == "drains" && call->is("POST", 1))
        co_return co_await this->changeDrain(call, true);
    if (resource == "drains" && call->is("DELETE", 3))
        co_return co_await this->changeDrain(call, false);
    if (resource == "quarantine" && (call->is("GET", 1) || call->is("DELETE", 2)))
        co_return this->quarantine(call);
    if (resource == "explain" && call->is("GET", 1)) {
        const auto explained = this->hooks.explain(call->query);
        co_return isOk(explained) ? success(valueOf(explained)) : failure(errorOf(explained));
    }
    co_return failure(makeError(ResultCode::NotFound, "there is no such resource or method"));
}

Awaitable<AdminResponse> AdminService::dispatchVersion(CallPointer call)
{
    if (!parseVersion(call->path[1]))
        co_return failure(makeError(ResultCode::BadParameter, "'{}' is not a valid version", call->path[1]));
    if (call->is("GET", 2))
        co_return co_await this->showBundle(call);
    const std::string action = call->path.size() == 3 ? call->path[2] : "";
    if (action == "diff" && call->is("GET", 3))
        co_return co_await this->showDiff(call);
    if (action == "rollback" && call->is("POST", 3))
        co_return co_await this->rollback(call);
    const bool isVersionCommand
        = action == "signoffs" || action == "stage" || action == "withdraw" || action == "accept";
    if (isVersionCommand && call->is("POST", 3))
        co_return co_await this->runVersionCommand(call);
    co_return failure(makeError(ResultCode::NotFound, "there is no such resource or method"));
}

Awaitable<AdminResponse> AdminService::showStatus(CallPointer call)
{
    json::object body = this->hooks.status();
    body["operator"] = call->operatorEntry.name;
    const std::string acceptedName(bundle::acceptedKey);
    const std::string rolloutName(bundle::rolloutKey);
    const auto acceptedObject = co_await this->store->read(acceptedName);
    if (!isOk(acceptedObject)) {
        // The state of this instance is reported even while the platform is unreachable.
        body["platform"] = errorOf(acceptedObject).text();
        co_return success(std::move(body));
    }
    const auto rolloutObject = co_await this->store->read(rolloutName);
    if (!isOk(rolloutObject))
        co_return failure(errorOf(rolloutObject));
    const auto accepted = bundle::readAccepted(valueOf(acceptedObject));
    const auto rollout = bundle::readRollout(valueOf(rolloutObject));
    if (!isOk(accepted))
        co_return failure(errorOf(accepted));
    if (!isOk(rollout))
        co_return failure(errorOf(rollout));
    const auto& record = valueOf(accepted);
    const auto& rolloutRecord = valueOf(rollout);
    body["platform"] = "ok";
    body["accepted"]
        = { { "version", record.version }, { "digest", record.digest }, { "operator", record.operatorName } };
    const bool isStaged = rolloutRecord.version > record.version && !record.isWithdrawn(rolloutRecord.version);
    if (isStaged)
        body["staged"] = { { "version", rolloutRecord.version }, { "digest", rolloutRecord.digest },
            { "zones", json::array(rolloutRecord.zones.begin(), rolloutRecord.zones.end()) } };
    AdminResponse response = success(std::move(body));
    response.entityTag = platform::formatEntityTag(valueOf(acceptedObject).version);
    co_return response;
}

Awaitable<AdminResponse> AdminService::listBundles(CallPointer)
{
    const auto versions = co_await this->store->bundleVersions();
    if (!isOk(versions))
        co_return failure(errorOf(versions));
    const std::uint64_t newest = valueOf(versions).empty() ? 0 : valueOf(versions).back();
    const auto objects = co_await readRolloutObjects(this->store, newest);
    if (!isOk(objects))
        co_return failure(errorOf(objects));
    const auto accepted = bundle::readAccepted(valueOf(objects).accepted);
    const auto rollout = bundle::readRollout(valueOf(objects).rollout);
    if (!isOk(accepted) || !isOk(rollout))
        co_return failure(makeError(ResultCode::PlatformBadAnswer, "the rollout records cannot be parsed"));
    json::array list;
    for (auto version = valueOf(versions).rbegin(); version != valueOf(versions).rend(); ++version) {
        if (list.size() == maximumListedVersions)
            break;
        list.push_back(json::object {
            { "version", *version }, { "state", stateOf(*version, valueOf(accepted), valueOf(rollout)) } });
    }
    co_return success({ { "bundles", std::move(list) } });
}

Awaitable<AdminResponse> AdminService::showBundle(CallPointer call)
{
    const std::uint64_t version = *parseVersion(call->path[1]);
    const auto objects = co_await readRolloutObjects(this->store, version);
    if (!isOk(objects))
        co_return failure(errorOf(objects));
    const RolloutObjects& read = valueOf(objects);
    if (!read.bundle.exists())
        co_return failure(makeError(ResultCode::AdminNotFound, "version {} does not exist", version));
    const auto accepted = bundle::readAccepted(read.accepted);
    const auto rollout = bundle::readRollout(read.rollout);
    const auto signOffs = bundle::readSignOffs(read.signOffs);
    json::error_code parseError;
    const json::value content = json::parse(read.bundle.value, parseError);
    if (!isOk(accepted) || !isOk(rollout) || !isOk(signOffs) || parseError)
        co_return failure(makeError(ResultCode::PlatformBadAnswer, "version {} cannot be parsed", version));
    json::array signers;
    for (const SignOff& signOff : valueOf(signOffs).signOffs)
        signers.push_back(json::object {
            { "signer", signOff.signer }, { "publicKey", signOff.publicKey }, { "signature", signOff.signature } });
    AdminResponse response
        = success({ { "version", version }, { "state", stateOf(version, valueOf(accepted), valueOf(rollout)) },
            { "digest", bundle::textDigest(read.bundle.value) }, { "signOffs", std::move(signers) },
            { "bundle", content } });
    response.entityTag = platform::formatEntityTag(read.signOffs.version);
    co_return response;
}

Awaitable<AdminResponse> AdminService::showDiff(CallPointer call)
{
    const std::uint64_t version = *parseVersion(call->path[1]);
    const auto objects = co_await readRolloutObjects(this->store, version);
    if (!isOk(objects))
        co_return failure(errorOf(objects));
    StoredObject from = valueOf(objects).policy;
    const auto fromParameter = call->query.find("from");
    if (fromParameter != call->query.end()) {
        const auto fromVersion = parseVersion(fromParameter->second);
        if (!fromVersion)
            co_return failure(
                makeError(ResultCode::BadParameter, "'{}' is not a valid version", fromParameter->second));
        const std::string key = bundle::bundleKey(*fromVersion);
        const auto object = co_await this->store->read(key);
        if (!isOk(object))
            co_return failure(errorOf(object));
        from = valueOf(object);
    }
    if (!valueOf(objects).bundle.exists() || !from.exists())
        co_return failure(makeError(ResultCode::AdminNotFound, "one of the two versions to compare does not exist"));
    const auto before = bundle::parseBundle(from.value);
    const auto after = bundle::parseBundle(valueOf(objects).bundle.value);
    if (!isOk(before) || !isOk(after))
        co_return failure(
            makeError(ResultCode::PlatformBadAnswer, "one of the two versions to compare cannot be parsed"));
    json::array changes;
    for (const bundle::Change& change : bundle::diffBundles(valueOf(before), valueOf(after)))
        changes.push_back(json::value(change.text()));
    co_return success({ { "from", valueOf(before).version }, { "to", version }, { "changes", std::move(changes) } });
}

Awaitable<AdminResponse> AdminService::showHistory(CallPointer)
{
    const std::string key(bundle::acceptedKey);
    const auto object = co_await this->store->read(key);
    if (!isOk(object))
        co_return failure(errorOf(object));
    const auto accepted = bundle::readAccepted(valueOf(object));
    if (!isOk(accepted))
        co_return failure(errorOf(accepted));
    const auto& record = valueOf(accepted);
    co_return success({ { "accepted", json::array(record.recent.begin(), record.recent.end()) },
        { "policyChanges", json::array(record.policyChain.begin(), record.policyChain.end()) },
        { "withdrawn", json::array(record.withdrawn.begin(), record.withdrawn.end()) } });
}

Awaitable<AdminResponse> AdminService::showAudit(CallPointer call)
{
    const auto page = call->query.find("page");
    std::string key(bundle::auditKey);
    if (page != call->query.end()) {
        const auto number = parseVersion(page->second);
        if (!number)
            co_return failure(makeError(ResultCode::BadParameter, "'{}' is not a valid page number", page->second));
        key = bundle::auditPageKey(*number);
    }
    const auto object = co_await this->store->read(key);
    if (!isOk(object))
        co_return failure(errorOf(object));
    json::error_code error;
    if (!valueOf(object).exists())
        co_return success({ { "firstNumber", 1 }, { "previousPage", 0 }, { "entries", json::array() } });
    const json::value content = json::parse(valueOf(object).value, error);
    if (error || !content.is_object())
        co_return failure(makeError(ResultCode::PlatformBadAnswer, "{} cannot be parsed", key));
    json::object body = content.get_object();
    body.erase("operations");
    co_return success(std::move(body));
}

AdminResponse AdminService::showDrains(const CallPointer&) const
{
    const auto accepted = this->hooks.acceptedBundle();
    if (!accepted)
        return failure(makeError(ResultCode::NotRunNoBundle, "this instance has not adopted an accepted bundle"));
    const json::value document = json::parse(bundle::serializeBundle(*accepted));
    return success({ { "version", accepted->version }, { "drains", document.at("drains") } });
}

AdminResponse AdminService::quarantine(const CallPointer& call) const
{
    if (call->request.method == "GET")
        return success({ { "quarantined", this->hooks.quarantined() } });
    const Status allowed = requireRole(call->operatorEntry, Role::Approver);
    if (!isOk(allowed))
        return failure(errorOf(allowed));
    if (!call->isDryRun() && !this->hooks.release(call->path[1]))
        return failure(makeError(ResultCode::AdminNotFound, "{} is not quarantined", call->path[1]));
    return success({ { "released", call->path[1] } });
}

Awaitable<Result<Bundle>> AdminService::readAcceptedBundle()
{
    const auto objects = co_await readRolloutObjects(this->store, 0);
    if (!isOk(objects))
        co_return errorOf(objects);
    if (!valueOf(objects).policy.exists())
        co_return makeError(ResultCode::AdminBadState, "no bundle has been accepted yet");
    co_return bundle::parseBundle(valueOf(objects).policy.value);
}

Awaitable<Result<std::uint64_t>> AdminService::nextVersion()
{
    const auto versions = co_await this->store->bundleVersions();
    if (!isOk(versions))
        co_return errorOf(versions);
    co_return valueOf(versions).empty() ? 1 : valueOf(versions).back() + 1;
}

Awaitable<AdminResponse> AdminService::submitText(CallPointer call)
{
    call->command = "submit";
    const bundle::CheckedText checked = bundle::checkBundleText(call->request.body);
    if (hasErrors(checked.findings))
        co_return findingsFailure(checked.findings);
    const Bundle candidate = *checked.bundle;
    AdminResponse response = co_await this->submit(call, candidate);
    if (response.code == ResultCode::Answered)
        response.body["findings"] = findingsJson(checked.findings);
    co_return response;
}

Awaitable<AdminResponse> AdminService::rollback(CallPointer call)
{
    call->command = "rollback";
    const std::string key = bundle::bundleKey(*parseVersion(call->path[1]));
    const auto object = co_await this->store->read(key);
    if (!isOk(object))
        co_return failure(errorOf(object));
    if (!valueOf(object).exists())
        co_return failure(makeError(ResultCode::AdminNotFound, "version {} does not exist", call->path[1]));
    const auto target = bundle::parseBundle(valueOf(object).value);
    if (!isOk(target))
        co_return failure(errorOf(target));
    const auto current = co_await this->readAcceptedBundle();
    if (!isOk(current))
        co_return failure(errorOf(current));
    const auto next = co_await this->nextVersion();
    if (!isOk(next))
        co_return failure(errorOf(next));
    const Bundle candidate
        = bundle::rollbackBundle(valueOf(target), valueOf(current), valueOf(next), call->operatorEntry.name);
    co_return co_await this->submit(call, candidate);
}

Awaitable<AdminResponse> AdminService::changeDrain(CallPointer call, bool isAdded)
{
    call->command = isAdded ? "drain" : "undrain";
    const auto body = isAdded ? parseBody(call->request.body) : Result<json::object>(json::object());
    if (!isOk(body))
        co_return failure(errorOf(body));
    const auto kindName = isAdded ? textField(valueOf(body), "kind") : Result<std::string>(call->path[1]);
    const auto name = isAdded ? textField(valueOf(body), "name") : Result<std::string>(call->path[2]);
    const auto kind = isOk(kindName) ? drainKindFrom(valueOf(kindName)) : std::nullopt;
    if (!kind || !isOk(name))
        co_return failure(makeError(
            ResultCode::BadParameter, "a drain has a kind (backend-server, entry-instance, zone) and a name"));
    const auto current = co_await this->readAcceptedBundle();
    if (!isOk(current))
        co_return failure(errorOf(current));
    const auto next = co_await this->nextVersion();
    if (!isOk(next))
        co_return failure(errorOf(next));

    Bundle candidate = valueOf(current);
    const Drain drain { *kind, valueOf(name) };
    const bool isDrained = std::erase(candidate.drains, drain) > 0;
    if (isDrained == isAdded)
        co_return failure(makeError(ResultCode::AdminBadState, "{} is {} in version {}", drain.name,
            isAdded ? "drained already" : "not drained", candidate.version));
    if (isAdded)
        candidate.drains.push_back(drain);
    candidate.baseVersion = candidate.version;
    candidate.version = valueOf(next);
    candidate.author = call->operatorEntry.name;
    candidate.comment = fmt::format("{} {}", isAdded ? "Drain" : "End the drain of", drain.name);
    co_return co_await this->submit(call, candidate);
}

Awaitable<AdminResponse> AdminService::submit(CallPointer call, Bundle candidate)
{
    const auto findings = bundle::checkBundle(candidate);
    if (hasErrors(findings))
        co_return findingsFailure(findings);
    const auto objects = co_await readRolloutObjects(this->store, candidate.version);
    if (!isOk(objects))
        co_return failure(errorOf(objects));
    const StoredObject& policy = valueOf(objects).policy;
    if (policy.exists()) {
        const auto current = bundle::parseBundle(policy.value);
        const Status allowed = isOk(current) ? checkSubmitPermission(call->operatorEntry, valueOf(current), candidate)
                                             : Status(errorOf(current));
        if (!isOk(allowed))
            co_return failure(errorOf(allowed));
    }
    const std::string previousName = bundle::bundleKey(candidate.version - 1);
    const auto previous = co_await this->store->read(previousName);
    if (!isOk(previous))
        co_return failure(errorOf(previous));
    const CommandContext context { call->request.operationId,
        call->isBootstrap ? candidate.author : call->operatorEntry.name, this->settings.trustedRoots };
    const auto plan = bundle::planSubmit(context, valueOf(objects), valueOf(previous), candidate);
    AdminResponse response = co_await this->executePlan(call, plan, candidate.version);
    if (response.code == ResultCode::Answered)
        response.body["digest"] = bundle::bundleDigest(candidate);
    co_return response;
}

Awaitable<AdminResponse> AdminService::runVersionCommand(CallPointer call)
{
    const std::uint64_t version = *parseVersion(call->path[1]);
    call->command = call->path[2] == "signoffs" ? "sign" : call->path[2];
    const auto body = call->request.body.empty() ? Result<json::object>(json::object()) : parseBody(call->request.body);
    if (!isOk(body))
        co_return failure(errorOf(body));
    const auto objects = co_await readRolloutObjects(this->store, version);
    if (!isOk(objects))
        co_return failure(errorOf(objects));
    const RolloutObjects& read = valueOf(objects);

    const bool isSign = call->command == "sign";
    const std::uint64_t changedObjectVersion = isSign ? read.signOffs.version
        : call->command == "stage"                    ? read.rollout.version
                                                      : read.accepted.version;
    const std::string& ifMatch = call->request.ifMatch;
    if (!ifMatch.empty() && ifMatch != platform::formatEntityTag(changedObjectVersion))
        co_return failure(
            makeError(ResultCode::AdminConflict, "If-Match does not match: the object has changed since it was read"));

    const auto candidate = read.bundle.exists() ? bundle::parseBundle(read.bundle.value) : Result<Bundle>(Bundle());
    const bool isAuthorWithdrawal
        = call->command == "withdraw" && isOk(candidate) && valueOf(candidate).author == call->operatorEntry.name;
    const Status allowed = isAuthorWithdrawal ? okStatus() : requireRole(call->operatorEntry, Role::Approver);
    if (!isOk(allowed))
        co_return failure(errorOf(allowed));

    const CommandContext context { call->request.operationId, call->operatorEntry.name, this->settings.trustedRoots };
    Result<CommandPlan> plan = CommandPlan {};
    if (isSign) {
        const auto signOff = signOffFrom(valueOf(body));
        if (!isOk(signOff))
            plan = errorOf(signOff);
        else if (!call->isBootstrap && valueOf(signOff).signer != call->operatorEntry.name)
            plan = makeError(ResultCode::AdminForbidden, "the signer must be {}", call->operatorEntry.name);
        else
            plan = bundle::planSign(context, read, valueOf(signOff));
    } else if (call->command == "stage") {
        const auto zones = zonesFrom(valueOf(body));
        plan = isOk(zones) ? bundle::planStage(context, read, valueOf(zones)) : Result<CommandPlan>(errorOf(zones));
    } else if (call->command == "withdraw") {
        plan = bundle::planWithdraw(context, read, version);
    } else {
        plan = bundle::planAccept(context, read);
    }
    co_return co_await this->executePlan(call, plan, version);
}

Awaitable<AdminResponse> AdminService::executePlan(CallPointer call, Result<CommandPlan> plan, std::uint64_t version)
{
    if (!isOk(plan))
        co_return failure(errorOf(plan));
    json::object body { { "command", call->command }, { "version", version },
        { "operation", call->request.operationId }, { "alreadyDone", valueOf(plan).isAlreadyDone } };
    if (call->isDryRun()) {
        body["dryRun"] = true;
        co_return success(std::move(body));
    }
    const auto now = std::chrono::floor<milliseconds>(this->hooks.now());
    const AuditEntry entry { 0, fmt::format("{:%FT%T}Z", now), call->request.operationId, call->operatorEntry.name,
        call->command, version, call->request.target, "" };
    const CommandPlan validPlan = valueOf(plan);
    const Status status = co_await runPlan(this->store, validPlan, entry);
    if (isOk(status))
        co_return success(std::move(body));
    AdminResponse response = failure(errorOf(status));
    response.body["operation"] = call->request.operationId;
    co_return response;
}

Awaitable<void> serveAdmin(std::shared_ptr<AdminService> service, std::shared_ptr<http::Exchange> exchange)
{
    constexpr std::size_t maximumBodyBytes = platform::maximumValueBytes;
    const auto& header = exchange->header();
    AdminRequest request;
    request.method = std::string(header.method_string());
    request.target = std::string(header.target());
    request.authorization = std::string(http::fieldValue(header, "Authorization"));
    request.ifMatch = std::string(http::fieldValue(header, "If-Match"));
    request.operationId = std::string(http::fieldValue(header, operationField));
    const auto body = co_await exchange->receiveWholeBody(maximumBodyBytes);
    if (!isOk(body)) {
        http::Response rejection = http::errorResponse(errorOf(body));
        co_await exchange->respond(std::move(rejection));
        co_return;
    }
    request.body = valueOf(body);
    const AdminResponse adminResponse = co_await service->handle(std::move(request));
    http::Response response
        = http::jsonResponse(http::statusFor(adminResponse.code), json::serialize(adminResponse.body) + "\n");
    http::setResultFields(response, adminResponse.code);
    if (!adminResponse.entityTag.empty())
        response.set(http::Field::etag, adminResponse.entityTag);
    co_await exchange->respond(std::move(response));
}

} // namespace clementinefall::admin

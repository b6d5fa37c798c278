#pragma once

#include "admin/adminstore.h"
#include "base/clock.h"
#include "bundle/bundle.h"
#include "http/exchange.h"

#include <boost/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace clementinefall::admin {

/// Settings of the administration API, taken from the settings of the process.
struct AdminSettings {
    std::vector<std::string> trustedRoots; ///< See bundle::adoptBundle().
    /// Digest of a token with the administrator role, valid until the first bundle is accepted. May be empty.
    std::string bootstrapTokenDigest;
};

/// Access to the state of the entry instance. The functions are called on the thread of the API.
struct InstanceHooks {
    /// The accepted bundle that this instance has adopted; its operators may use the API.
    std::function<std::shared_ptr<const bundle::Bundle>()> acceptedBundle;
    std::function<boost::json::object()> status;
    std::function<boost::json::array()> quarantined;
    std::function<bool(const std::string& fingerprint)> release; ///< False if there is no such entry.
    std::function<Result<boost::json::object>(const std::map<std::string, std::string>& query)> explain;
    std::function<WallClock::time_point()> now;
};

struct AdminRequest {
    std::string method;
    std::string target;
    std::string authorization; ///< `Bearer <token>`.
    std::string ifMatch; ///< Entity tag from an earlier response, or empty.
    std::string operationId; ///< `Clementine-Operation`, chosen by the client so that it can repeat a command.
    std::string body;
};

struct AdminResponse {
    ResultCode code = ResultCode::Answered;
    boost::json::object body;
    std::string entityTag;
};

/// Routes of the administration API, below `/v1/admin`. Bodies are JSON in both directions; errors have `result`,
/// `name`, `outcome` and `message`.
///
///     GET    status                        this instance, accepted and staged version
///     GET    bundles                       newest 100 versions with state
///     GET    bundles/<v>                   content, digest, sign-offs, state
///     GET    bundles/<v>/diff?from=<u>     changes from <u>, by default from the accepted version
///     GET    history                       accepted versions
///     POST   bundles                       submit (body: bundle)
///     POST   bundles/<v>/signoffs          sign (body: signer, publicKey, signature)
///     POST   bundles/<v>/stage             body: zones
///     POST   bundles/<v>/withdraw
///     POST   bundles/<v>/accept
///     POST   bundles/<v>/rollback          submits the content of <v> as a new version
///     GET    drains
///     POST   drains                        body: kind, name; submits a new version
///     DELETE drains/<kind>/<name>          submits a new version
///     GET    audit?page=<first number>     newest page, or an earlier one
///     GET    quarantine
///     DELETE quarantine/<fingerprint>
///     GET    explain?...                   evaluated by the entry instance
///
/// With `?dryRun=true` a command is checked but nothing is written. `If-Match` is compared with the entity tag of the
/// object that the command changes: of `status` for accept and withdraw, of `bundles/<v>` for sign.
class AdminService : public std::enable_shared_from_this<AdminService> {
public:
    AdminService(std::shared_ptr<AdminStore> adminStore, AdminSettings adminSettings, InstanceHooks instanceHooks);

    Awaitable<AdminResponse> handle(AdminRequest request);

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;

    Awaitable<Status> authenticate(CallPointer call);
    Awaitable<AdminResponse> dispatch(CallPointer call);
    Awaitable<AdminResponse> dispatchVersion(CallPointer call);
    Awaitable<AdminResponse> showStatus(CallPointer call);
    Awaitable<AdminResponse> listBundles(CallPointer call);
    Awaitable<AdminResponse> showBundle(CallPointer call);
    Awaitable<AdminResponse> showDiff(CallPointer call);
    Awaitable<AdminResponse> showHistory(CallPointer call);
    Awaitable<AdminResponse> showAudit(CallPointer call);
    Awaitable<AdminResponse> submitText(CallPointer call);
    Awaitable<AdminResponse> rollback(CallPointer call);
    Awaitable<AdminResponse> changeDrain(CallPointer call, bool isAdded);
    Awaitable<AdminResponse> submit(CallPointer call, bundle::Bundle candidate);
    Awaitable<AdminResponse> runVersionCommand(CallPointer call);
    Awaitable<AdminResponse> executePlan(CallPointer call, Result<bundle::CommandPlan> plan, std::uint64_t version);
    Awaitable<Result<bundle::Bundle>> readAcceptedBundle();
    Awaitable<Result<std::uint64_t>> nextVersion();
    AdminResponse showDrains(const CallPointer& call) const;
    AdminResponse quarantine(const CallPointer& call) const;

    std::shared_ptr<AdminStore> store;
    AdminSettings settings;
    InstanceHooks hooks;
};

/// Passes the request of an HTTP exchange to the service and sends the response.
Awaitable<void> serveAdmin(std::shared_ptr<AdminService> service, std::shared_ptr<http::Exchange> exchange);

} // namespace clementinefall::admin

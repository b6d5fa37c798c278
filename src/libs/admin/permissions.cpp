#include "admin/permissions.h"

#include <set>

namespace clementinefall::admin {

using bundle::Bundle;
using bundle::Drain;
using bundle::DrainKind;
using bundle::Operator;
using bundle::Role;
using bundle::Service;
using bundle::ShiftCap;

namespace {

/// Removes what \a team may change and the fields that differ in every version.
Bundle withoutTeamContent(Bundle bundle, const std::string& team)
{
    std::set<std::string> services;
    std::set<std::string> servers;
    for (const Service& service : bundle.services) {
        if (service.team != team)
            continue;
        services.insert(service.name);
        for (const auto& server : service.servers)
            servers.insert(server.name);
    }
    std::erase_if(bundle.services, [&team](const Service& service) { return service.team == team; });
    std::erase_if(bundle.shiftCaps, [&services](const ShiftCap& cap) { return services.contains(cap.service); });
    std::erase_if(bundle.drains, [&servers](const Drain& drain) {
        return drain.kind == DrainKind::BackendServer && servers.contains(drain.name);
    });
    bundle.version = 0;
    bundle.baseVersion = 0;
    bundle.author.clear();
    bundle.comment.clear();
    return bundle;
}

} // namespace

Status checkSubmitPermission(const Operator& operatorEntry, const Bundle& current, const Bundle& candidate)
{
    Status role = requireRole(operatorEntry, Role::Editor);
    if (!isOk(role) || operatorEntry.role != Role::Editor)
        return role;
    if (withoutTeamContent(current, operatorEntry.team) == withoutTeamContent(candidate, operatorEntry.team))
        return okStatus();
    return makeError(ResultCode::AdminForbidden,
        "{} may change only services of team {}, their shift caps and the drains of their servers", operatorEntry.name,
        operatorEntry.team);
}

Status requireRole(const Operator& operatorEntry, Role role)
{
    if (operatorEntry.role >= role)
        return okStatus();
    return makeError(
        ResultCode::AdminForbidden, "the role of operator {} does not permit this command", operatorEntry.name);
}

} // namespace clementinefall::admin

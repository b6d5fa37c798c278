#pragma once

#include "base/result.h"
#include "bundle/bundle.h"

namespace clementinefall::admin {

/// Checks that \a person may submit \a candidate in place of \a current. Approvers and administrators may change
/// everything. An editor may change only the services of the own team, their caps and the drains of their servers.
/// Error: AdminForbidden.
Status checkSubmitPermission(
    const bundle::Operator& person, const bundle::Bundle& current, const bundle::Bundle& candidate);

/// Error: AdminForbidden when the operator's role is below \a role.
Status requireRole(const bundle::Operator& person, bundle::Role role);

} // namespace clementinefall::admin

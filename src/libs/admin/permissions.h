#pragma once

#include "base/result.h"
#include "bundle/bundle.h"

namespace clementinefall::admin {

/// Checks that \a operatorEntry may submit \a candidate to replace \a current. Approvers and administrators may
/// change everything. An editor may change only the services of their team, the shift caps of these services and the
/// drains of their backend servers. Error: AdminForbidden.
Status checkSubmitPermission(
    const bundle::Operator& operatorEntry, const bundle::Bundle& current, const bundle::Bundle& candidate);

/// Error: AdminForbidden if the operator's role is below \a role.
Status requireRole(const bundle::Operator& operatorEntry, bundle::Role role);

} // namespace clementinefall::admin

#pragma once

#include "admin/adminstore.h"

#include <functional>
#include <memory>
#include <string>

namespace clementinefall::admin {

/// Reads what a command on \a version needs. Errors: 7000s, PlatformBadAnswer.
Awaitable<Result<bundle::RolloutObjects>> readRolloutObjects(std::shared_ptr<AdminStore> store, std::uint64_t version);

/// Carries a plan out: an audit entry `requested`, the writes, an audit entry with the result. Without the first
/// entry nothing is written. Errors: AdminConflict; PlatformTimeout when the outcome stays unknown, in which case the
/// command can be repeated under the same operation id; other 7000s when the audit trail cannot be written.
Awaitable<Status> runPlan(std::shared_ptr<AdminStore> store, bundle::CommandPlan plan, bundle::AuditEntry entry);

} // namespace clementinefall::admin

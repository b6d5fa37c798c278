#pragma once

#include "admin/adminstore.h"

#include <functional>
#include <memory>
#include <string>

namespace clementinefall::admin {

/// Reads the objects that a command on \a version needs. Errors: 7000s, PlatformBadAnswer.
Awaitable<Result<bundle::RolloutObjects>> readRolloutObjects(std::shared_ptr<AdminStore> store, std::uint64_t version);

/// Executes a plan: appends an audit entry `requested`, runs the writes and appends an audit entry with the result.
/// Nothing is written if the first entry cannot be appended. Errors: AdminConflict; PlatformTimeout if the outcome is
/// unknown, after which the command can be repeated with the same operation id; other 7000s if the audit trail cannot
/// be written.
Awaitable<Status> runPlan(std::shared_ptr<AdminStore> store, bundle::CommandPlan plan, bundle::AuditEntry entry);

} // namespace clementinefall::admin

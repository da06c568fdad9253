/** @file host_commands.h Commands that call hosts. */

#pragma once

#include "ctl/command_type.h"

namespace corianderrail {

/** Shows GET /v1/status of each host. */
exit_code RunStatus(command_context& context);

/** Shows GET /v1/audit. */
exit_code RunAudit(command_context& context);

/** Sends POST /v1/query. */
exit_code RunQuery(command_context& context);

/** Obtains an order identifier, unless one is given, and sends the order. */
exit_code RunOrder(command_context& context);

}  // namespace corianderrail

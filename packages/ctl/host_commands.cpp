/** @file host_commands.cpp Commands that send requests to hosts. */

#include "ctl/host_commands.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ostream>
#include <random>

#include "contract/digest.h"
#include "ctl/json_lines.h"
#include "ctl/placement_text.h"
#include "wire/http_client.h"
#include "wire/json_value.h"

namespace corianderrail {

namespace {

constexpr unsigned kHttpOk = 200;

/** A reply whose body is valid JSON. */
struct host_reply {
  unsigned code = 0;             ///< HTTP status code.
  std::string body;              ///< JSON on one line.
  std::vector<json_line> lines;  ///< Members of the body.
};

[[noreturn]] void FailUsage(const std::string& what) {
  throw command_error(exit_code::usage,
                      "corianderctl: " + what + "; see corianderctl --help");
}

/** Checks the syntax of an address before anything is sent. */
void CheckHost(const std::string& host) {
  try {
    ParseIpEndpoint(host);
  } catch (const wire_error& error) {
    FailUsage(error.what());
  }
}

/** Sends a request. @throws wire_error when no JSON reply arrives in time. */
host_reply SendRequest(const command_context& context, const std::string& host,
                       const std::string& method, const std::string& path,
                       const std::string& body) {
  http_connection connection(host);
  http_request request;
  request.method = method;
  request.path = path;
  request.body = body;
  request.timeout = std::chrono::milliseconds(context.options.timeout_ms);
  if (!body.empty()) {
    request.headers.push_back({"Content-Type", "application/json"});
  }
  http_reply raw = connection.Execute(request);
  host_reply reply{raw.code, std::move(raw.body), {}};
  reply.lines = FlattenJson(reply.body);
  // JSON strings contain no raw line breaks, so the replacement only joins
  // lines.
  std::replace(reply.body.begin(), reply.body.end(), '\n', ' ');
  return reply;
}

[[noreturn]] void FailUnreachable(const std::string& host,
                                  const std::string& what) {
  throw command_error(
      exit_code::host_unreachable,
      host + ": " + what + "; check the address and that the host runs");
}

void PrintReply(command_context& context, const host_reply& reply) {
  if (context.options.json) {
    context.out << reply.body << "\n";
    return;
  }
  context.out << FormatLines(reply.lines);
}

/** Exit code for a refusal or the state of an order; nothing for other
 *  replies. */
std::optional<exit_code> ExitCodeOf(const host_reply& reply) {
  std::optional<std::string> state = FindLine(reply.lines, "state");
  if (!state) state = FindLine(reply.lines, "ran");
  if (!state) return std::nullopt;
  if (*state == "ran") return exit_code::ok;
  if (*state == "not_run") return exit_code::not_run;
  return exit_code::outcome_unknown;
}

/**
 * Prints a reply and, for a refusal, its reason to the error stream.
 * @param required Member of every reply that is not a refusal.
 * @throws wire_error when the reply has neither this member nor a refusal.
 */
exit_code ReportOutcome(command_context& context, const std::string& host,
                        const host_reply& reply, std::string_view required) {
  PrintReply(context, reply);
  std::optional<exit_code> code = ExitCodeOf(reply);
  if (!code && !FindLine(reply.lines, required)) {
    throw wire_error(wire_error::kind::missing_member,
                     "HTTP code " + std::to_string(reply.code) +
                         " without member '" + std::string(required) + "'");
  }
  if (!code || *code == exit_code::ok) return exit_code::ok;
  std::string detail = FindLine(reply.lines, "detail").value_or("");
  std::string reason = FindLine(reply.lines, "reason").value_or("");
  context.err << host << ": "
              << (*code == exit_code::not_run ? "not run" : "outcome unknown")
              << (reason.empty() ? "" : ", ") << reason
              << (detail.empty() ? "" : ": ") << detail << "\n";
  return *code;
}

std::string RequestId(const command_options& options) {
  if (!options.request_id.empty()) return options.request_id;
  std::random_device device;
  std::uint64_t value = device();
  value = (value << 32) | device();
  return "ctl-" + FormatDigest(value);
}

void RequireCustomerAndKind(const command_options& options) {
  if (options.customer.empty()) FailUsage("--customer is missing");
  if (options.kind.empty()) FailUsage("--kind is missing");
}

/** Writes the members that queries and orders have in common. */
void AddRequestMembers(json_writer& writer, const command_options& options,
                       const std::string& request_id) {
  writer.Text("request_id", request_id)
      .Text("customer", options.customer)
      .Text("kind", options.kind);
  if (options.deadline_ms > 0) {
    writer.Signed("deadline_ms", options.deadline_ms);
  }
  if (options.seen_revision > 0) {
    writer.Signed("seen_revision", options.seen_revision);
  }
  writer.Payload(options.payload);
}

/** Sends a GET request to a host and prints the reply. */
void PrintHostReply(command_context& context, const std::string& host,
                    const std::string& path) {
  try {
    host_reply reply = SendRequest(context, host, "GET", path, "");
    if (reply.code != kHttpOk) {
      FailUnreachable(host, "HTTP code " + std::to_string(reply.code));
    }
    PrintReply(context, reply);
  } catch (const wire_error& error) {
    FailUnreachable(host, error.what());
  }
}

/** Gets an identifier for a new order. When the host refuses, returns nothing
 *  and sets `refused` to the exit code. */
std::optional<std::string> FetchOrderId(command_context& context,
                                        const std::string& host,
                                        const std::string& request_id,
                                        exit_code& refused) {
  json_writer writer;
  writer.Text("request_id", request_id)
      .Text("customer", context.options.customer)
      .Unsigned("count", 1);
  try {
    host_reply reply =
        SendRequest(context, host, "POST", "/v1/order-ids", writer.Finish());
    std::optional<std::string> id = FindLine(reply.lines, "order_ids[0]");
    if (id) return id;
    refused = ReportOutcome(context, host, reply, "order_ids[0]");
    if (refused != exit_code::ok) return std::nullopt;
    FailUnreachable(host, "the reply has no order identifier");
  } catch (const wire_error& error) {
    FailUnreachable(host, error.what());
  }
}

}  // namespace

exit_code RunStatus(command_context& context) {
  for (const std::string& host : context.arguments) CheckHost(host);
  exit_code code = exit_code::ok;
  for (const std::string& host : context.arguments) {
    if (!context.options.json) context.out << "host: " << host << "\n";
    try {
      PrintHostReply(context, host, "/v1/status");
    } catch (const command_error& error) {
      // Continue, so that the status of the other hosts is printed.
      context.err << error.what() << "\n";
      code = error.Code();
    }
  }
  return code;
}

exit_code RunAudit(command_context& context) {
  CheckHost(context.arguments[0]);
  PrintHostReply(context, context.arguments[0], "/v1/audit");
  return exit_code::ok;
}

exit_code RunQuery(command_context& context) {
  const std::string& host = context.arguments[0];
  CheckHost(host);
  RequireCustomerAndKind(context.options);
  json_writer writer;
  AddRequestMembers(writer, context.options, RequestId(context.options));
  try {
    return ReportOutcome(
        context, host,
        SendRequest(context, host, "POST", "/v1/query", writer.Finish()),
        "status");
  } catch (const wire_error& error) {
    FailUnreachable(host, error.what());
  }
}

exit_code RunOrder(command_context& context) {
  const std::string& host = context.arguments[0];
  CheckHost(host);
  RequireCustomerAndKind(context.options);
  if (context.options.key < 0) FailUsage("--key is missing or negative");
  std::string request_id = RequestId(context.options);
  std::string order_id = context.options.order_id;
  if (order_id.empty()) {
    exit_code refused = exit_code::ok;
    std::optional<std::string> id =
        FetchOrderId(context, host, request_id, refused);
    if (!id) return refused;
    order_id = *id;
    // Printed before the order is sent, so that the caller can resend the order
    // with the same identifier if this process is interrupted.
    context.err << "order id: " << order_id << "\n";
  }
  json_writer writer;
  writer.Text("order_id", order_id)
      .Unsigned("key", static_cast<std::uint64_t>(context.options.key));
  AddRequestMembers(writer, context.options, request_id);
  try {
    return ReportOutcome(
        context, host,
        SendRequest(context, host, "POST", "/v1/orders", writer.Finish()),
        "state");
  } catch (const wire_error& error) {
    throw command_error(
        exit_code::outcome_unknown,
        host + ": " + error.what() +
            "; send the order again with --order-id=" + order_id);
  }
}

exit_code RunPlacement(command_context& context) {
  const std::string& host = context.arguments[0];
  CheckHost(host);
  const std::string& path = context.arguments[3];
  if (path.empty() || path.front() != '/') {
    FailUsage("the path '" + path + "' must start with a slash");
  }
  json_writer writer;
  writer.Text("method", context.arguments[1])
      .Text("host", context.arguments[2])
      .Text("path", path);
  const auto begin = std::chrono::steady_clock::now();
  try {
    const host_reply reply =
        SendRequest(context, host, "POST", "/v1/placement", writer.Finish());
    if (reply.code != kHttpOk) {
      throw command_error(
          exit_code::host_unreachable,
          host + ": HTTP code " + std::to_string(reply.code) + ": " +
              FindLine(reply.lines, "error").value_or("no explanation"));
    }
    if (!FindLine(reply.lines, "admitted")) {
      FailUnreachable(host, "the reply is no explanation of a placement");
    }
    context.out << (context.options.json ? reply.body + "\n"
                                         : FormatPlacement(reply.lines));
  } catch (const wire_error& error) {
    const auto waited = std::chrono::steady_clock::now() - begin;
    const std::chrono::milliseconds limit(context.options.timeout_ms);
    if (waited < limit) FailUnreachable(host, error.what());
    throw command_error(exit_code::host_unreachable,
                        host + ": no reply within " +
                            std::to_string(limit.count()) +
                            " ms; raise --timeout-ms or ask later");
  }
  return exit_code::ok;
}

}  // namespace corianderrail

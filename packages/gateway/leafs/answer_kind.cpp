/** @file answer_kind.cpp Rules that classify answers. */

#include "gateway/leafs/answer_kind.h"

#include "gateway/http_status.h"

namespace corianderrail::gateway {

namespace {

/** True for statuses that mean that the request did not run, whether the leaf
 *  or an intermediary sent them. */
bool IsRefusal(int status) {
  return status == kStatusTooManyRequests || status == kStatusRequestTimeout;
}

bool IsClientFault(const leaf_answer& answer) {
  const bool of_client = answer.status >= 400 && answer.status < 500;
  if (!of_client || answer.encoded || IsRefusal(answer.status)) return false;
  return !answer.signature.empty() || answer.not_run;
}

}  // namespace

answer_kind KindOf(const leaf_answer& answer) {
  if (answer.status == kStatusMisdirected) return answer_kind::misdirected;
  if (IsClientFault(answer)) return answer_kind::client_fault;
  if (answer.not_run) return answer_kind::not_run;
  const bool success = answer.status >= 200 && answer.status < 300;
  const bool usable = !answer.signature.empty() && !answer.encoded;
  return success && usable ? answer_kind::success : answer_kind::failed;
}

}  // namespace corianderrail::gateway

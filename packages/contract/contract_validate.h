/** @file contract_validate.h Validation of published contract sets. */

#pragma once

#include <span>
#include <string>
#include <vector>

#include "contract/document_fault.h"
#include "core/contract_type.h"

namespace corianderrail {

/**
 * Validates the documents of one revision: exactly one set document, each
 * contract that it lists, and optionally the head, which must then name the
 * same revision. Documents that the set does not list are ignored.
 *
 * The result depends only on the documents, not on their order. Missing
 * documents are reported before faults in the contracts that are present, so
 * that hosts that hold different subsets of the documents report the same
 * reason.
 */
contract_verdict ValidateContracts(
    std::span<const contract_document> documents);

/** Parses and validates `contracts/head`; depends only on the bytes. */
head_verdict ValidateHead(const std::string& bytes);

/**
 * Finds every fault of the documents, for operators.
 * @return Empty when ValidateContracts() accepts the documents; otherwise the
 *     first entry is the fault that it returns.
 */
std::vector<document_fault> FindContractFaults(
    std::span<const contract_document> documents);

}  // namespace corianderrail

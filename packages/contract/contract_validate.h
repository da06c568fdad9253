/** @file contract_validate.h Accepts or refuses a published contract set. */

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
 * A pure function of the set of documents: their order does not matter.
 * Documents that are missing are reported before faults in those at hand, so
 * that hosts holding different parts end with the same reason.
 */
contract_verdict ValidateContracts(
    std::span<const contract_document> documents);

/** Parses and validates `contracts/head`; a pure function of the bytes. */
head_verdict ValidateHead(const std::string& bytes);

/**
 * Every fault of the documents, for operators. Empty when ValidateContracts
 * accepts them; otherwise the first one is its verdict.
 */
std::vector<document_fault> FindContractFaults(
    std::span<const contract_document> documents);

}  // namespace corianderrail

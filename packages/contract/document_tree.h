/** @file document_tree.h Validation of a complete tree of documents. */

#pragma once

#include <span>
#include <string>
#include <vector>

#include "contract/contract_parser.h"
#include "contract/document_fault.h"
#include "core/contract_type.h"

namespace corianderrail {

/**
 * Finds every fault of a tree of documents: the head, all sets with their
 * contracts, contracts that no set lists, the topology, and references between
 * them.
 * @param documents Keys are relative to the root of the configuration service.
 */
std::vector<document_fault> FindTreeFaults(
    std::span<const contract_document> documents);

/**
 * Validates the set whose revision the head of a tree names.
 * @return Has a fault when the head is missing or invalid.
 */
contract_verdict ValidateTreeHead(std::span<const contract_document> documents);

/** The set document of a revision and all contracts, listed in it or not. */
std::vector<contract_document> DocumentsOfSet(
    std::span<const contract_document> documents, revision_id revision);

/**
 * Creates the next set document of a tree. It lists each customer with the
 * highest revision of its contract. The revision of the set is higher than the
 * head's, not lower than any contract's, and not yet in use.
 * @param seats Peer addresses of the entry hosts; when empty, the addresses in
 *     the head's set are kept.
 * @param faults Receives the faults of the new set.
 * @return The set document; its key is empty when there are faults.
 */
contract_document AssembleSet(std::span<const contract_document> documents,
                              std::span<const std::string> seats,
                              std::vector<document_fault>& faults);

}  // namespace corianderrail

/** @file document_tree.h Checks everything that is published at once. */

#pragma once

#include <span>
#include <string>
#include <vector>

#include "contract/contract_parser.h"
#include "contract/document_fault.h"
#include "core/contract_type.h"

namespace corianderrail {

/**
 * Every fault of a tree of documents: the head, all sets with their contracts,
 * contracts that no set lists, the topology, and references between them.
 * @param documents Keys relative to the root of the configuration service.
 */
std::vector<document_fault> FindTreeFaults(
    std::span<const contract_document> documents);

/**
 * Validates the set that the head of a tree names.
 * @return A refusal when the head is missing or invalid.
 */
contract_verdict ValidateTreeHead(std::span<const contract_document> documents);

/** Documents of one set: its set document and all contracts. */
std::vector<contract_document> DocumentsOfSet(
    std::span<const contract_document> documents, revision_id revision);

/**
 * Writes the next set document of a tree: each customer with the highest
 * revision of its contract. Its revision is above the head's, not below any
 * contract's, and not yet in use.
 * @param seats Peer addresses; empty keeps those of the head's set.
 * @param faults Receives what prevents it; the key is then empty.
 */
contract_document AssembleSet(std::span<const contract_document> documents,
                              std::span<const std::string> seats,
                              std::vector<document_fault>& faults);

}  // namespace corianderrail

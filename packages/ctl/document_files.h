/** @file document_files.h Reads trees of documents from the file system. */

#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include "core/contract_type.h"

namespace corianderrail {

/** Largest number of files of a tree; more suggest a wrong path. */
inline constexpr std::size_t kMaxTreeFiles = 100'000;

/** A directory tree with the keys of the configuration service as paths. */
struct document_tree {
  std::filesystem::path root;  ///< Directory that keys are relative to.
  std::string single_key;      ///< Only this key is checked; "": all.
  std::vector<contract_document> documents;  ///< All files below the root.
};

/** Reads a file; one that is larger than a document may be is truncated just
 *  above that limit. @throws command_error when it cannot be read. */
std::string ReadFile(const std::filesystem::path& path);

/**
 * Reads the tree at a directory, or the tree that a file belongs to.
 * Hidden files and files other than `topology` and those below `contracts/` are
 * ignored.
 * @throws command_error when a file cannot be read or the path has no tree.
 */
document_tree ReadTree(const std::filesystem::path& path);

/** Creates a file. @throws command_error when it exists or on failure. */
void WriteNewFile(const std::filesystem::path& path, const std::string& bytes);

}  // namespace corianderrail

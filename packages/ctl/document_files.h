/** @file document_files.h Reads trees of documents from the file system. */

#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include "core/contract_type.h"

namespace corianderrail {

/** Most files of a tree; more suggest a wrong path. */
inline constexpr std::size_t kMaxTreeFiles = 100'000;

/** A tree laid out like the configuration service. */
struct document_tree {
  std::filesystem::path root;                ///< Directory of the tree.
  std::string single_key;                    ///< Key of a single file, or "".
  std::vector<contract_document> documents;  ///< All files below the root.
};

/** Reads one file. @throws command_error when it cannot be read. */
std::string ReadFile(const std::filesystem::path& path);

/**
 * Reads the tree at a directory, or the tree that a file belongs to.
 * Hidden files and files outside `contracts/` and `topology` are left out.
 * @throws command_error when something cannot be read or is no tree.
 */
document_tree ReadTree(const std::filesystem::path& path);

/** Writes a new file. @throws command_error when it exists or fails. */
void WriteNewFile(const std::filesystem::path& path, const std::string& bytes);

}  // namespace corianderrail

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
  std::string single_key;      ///< The only key to check; "": all.
  std::vector<contract_document> documents;  ///< The files read, by key.
};

/** Reads a file. A file larger than kMaxDocumentBytes is truncated to one byte
 *  more than this limit. @throws command_error when the file cannot be read. */
std::string ReadFile(const std::filesystem::path& path);

/**
 * Reads the tree at a directory, or the tree that a file belongs to.
 * Only `topology` and the files below `contracts/` are read; hidden files are
 * ignored.
 * @throws command_error when a file cannot be read or no tree is found.
 */
document_tree ReadTree(const std::filesystem::path& path);

/** Creates a file. @throws command_error when it exists or on failure. */
void WriteNewFile(const std::filesystem::path& path, const std::string& bytes);

}  // namespace corianderrail

/** @file document_files.cpp Reads trees of documents from the file system. */

#include "ctl/document_files.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <system_error>

#include "contract/contract_parser.h"
#include "contract/toml_reader.h"
#include "contract/topology_parser.h"
#include "ctl/command_type.h"

namespace corianderrail {

namespace {

namespace fs = std::filesystem;

/** Path components of the longest key, `contracts/<customer>/<N>`. */
constexpr int kMaxKeyParts = 3;

[[noreturn]] void FailFile(const fs::path& path, const std::string& what) {
  throw command_error(exit_code::unreadable_input,
                      path.string() + ":1: " + what);
}

bool IsKey(const std::string& key) {
  return key == kTopologyKey ||
         ParseDocumentKey(key).kind != document_kind::other;
}

/** Key that the last components of a path form, or "". */
std::string KeyOfFile(const fs::path& path) {
  std::string key;
  fs::path rest = fs::absolute(path).lexically_normal();
  for (int i = 0; i < kMaxKeyParts && rest.has_filename(); ++i) {
    std::string part = rest.filename().string();
    if (!key.empty()) part += "/";
    key.insert(0, part);
    if (IsKey(key)) return key;
    rest = rest.parent_path();
  }
  return {};
}

fs::path RootOfFile(const fs::path& path, const std::string& key) {
  fs::path root = fs::absolute(path).lexically_normal().parent_path();
  for (auto i = std::count(key.begin(), key.end(), '/'); i > 0; --i) {
    root = root.parent_path();
  }
  fs::path relative = root.lexically_relative(fs::current_path());
  bool inside = !relative.empty() && *relative.begin() != "..";
  return inside ? relative : root;
}

/** Reads at most one byte more than the limit; with that byte the parser
 *  refuses the document as too large. */
std::string ReadDocument(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) FailFile(path, "the file cannot be opened; check its permissions");
  std::string bytes(kMaxDocumentBytes + 1, '\0');
  in.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  if (in.bad()) FailFile(path, "the file cannot be read; check the disk");
  bytes.resize(static_cast<std::size_t>(in.gcount()));
  return bytes;
}

void AddFile(document_tree& tree, const fs::path& path) {
  if (path.filename().string().starts_with('.')) return;
  std::string key = path.lexically_relative(tree.root).generic_string();
  tree.documents.push_back({std::move(key), ReadDocument(path)});
  if (tree.documents.size() > kMaxTreeFiles) {
    FailFile(tree.root, "the tree has too many files; check the path");
  }
}

void ReadDocuments(document_tree& tree) {
  fs::path topology = tree.root / std::string(kTopologyKey);
  if (fs::is_regular_file(topology)) AddFile(tree, topology);
  fs::path contracts = tree.root / "contracts";
  if (fs::is_directory(contracts)) {
    for (const auto& entry : fs::recursive_directory_iterator(contracts)) {
      if (entry.is_regular_file()) AddFile(tree, entry.path());
    }
  }
  std::sort(tree.documents.begin(), tree.documents.end(),
            [](const contract_document& a, const contract_document& b) {
              return a.key < b.key;
            });
}

}  // namespace

std::string ReadFile(const fs::path& path) {
  if (!fs::is_regular_file(path)) {
    FailFile(path, "there is no such file; check the path");
  }
  return ReadDocument(path);
}

document_tree ReadTree(const fs::path& path) {
  document_tree tree;
  try {
    if (fs::is_directory(path)) {
      tree.root = path;
    } else if (fs::is_regular_file(path)) {
      tree.single_key = KeyOfFile(path);
      if (tree.single_key.empty()) {
        FailFile(path,
                 "the path does not end in a key such as contracts/set/7; "
                 "place the file in a tree");
      }
      tree.root = RootOfFile(path, tree.single_key);
    } else {
      FailFile(path, "there is no such file or directory; check the path");
    }
    ReadDocuments(tree);
  } catch (const fs::filesystem_error& error) {
    FailFile(path, error.code().message() + "; check the permissions");
  }
  if (tree.documents.empty()) {
    FailFile(path, "there is neither contracts/ nor topology; check the path");
  }
  return tree;
}

void WriteNewFile(const fs::path& path, const std::string& bytes) {
  std::error_code error;
  fs::create_directories(path.parent_path(), error);
  if (fs::exists(path)) {
    FailFile(path, "the file exists; published documents must not change");
  }
  std::ofstream out(path, std::ios::binary);
  out << bytes;
  out.close();
  if (!out) FailFile(path, "the file cannot be written; check permissions");
}

}  // namespace corianderrail

/** @file corpus_test.cpp Tests of invalid documents and their error messages.
 */

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

#include "contract/document_tree.h"

namespace corianderrail {
namespace {

namespace fs = std::filesystem;

std::string ReadFile(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/** One directory of tests/corpus/contracts. */
struct corpus_case {
  std::string name;                          ///< Directory name.
  std::string expected;                      ///< First error message.
  std::vector<contract_document> documents;  ///< All other files.
};

corpus_case ReadCase(const fs::path& directory) {
  corpus_case bad;
  bad.name = directory.filename();
  for (const auto& entry : fs::recursive_directory_iterator(directory)) {
    if (!entry.is_regular_file()) continue;
    std::string key = fs::relative(entry.path(), directory).generic_string();
    std::string bytes = ReadFile(entry.path());
    if (key == "expected") {
      bad.expected = bytes.substr(0, bytes.find('\n'));
    } else {
      bad.documents.push_back({std::move(key), std::move(bytes)});
    }
  }
  return bad;
}

/** All cases of the corpus. */
struct corpus_fixture {
  corpus_fixture() {
    fs::path root =
        fs::path(CORIANDERRAIL_SOURCE_DIR) / "tests" / "corpus" / "contracts";
    for (const auto& entry : fs::directory_iterator(root)) {
      cases.push_back(ReadCase(entry.path()));
    }
    std::sort(cases.begin(), cases.end(),
              [](const corpus_case& a, const corpus_case& b) {
                return a.name < b.name;
              });
  }

  std::vector<corpus_case> cases;  ///< Sorted by name.
};

// Guards against invalid documents that are accepted, and against error
// messages that lose the line number, the cause or the remedy.
TEST_CASE_METHOD(corpus_fixture, "Corpus_BadDocuments_GiveExpectedError") {
  REQUIRE(cases.size() >= 20);
  for (const corpus_case& bad : cases) {
    CAPTURE(bad.name);
    std::vector<document_fault> faults = FindTreeFaults(bad.documents);
    REQUIRE_FALSE(faults.empty());
    CHECK(faults.front().text == bad.expected);
    CHECK(faults.front().fault != contract_fault::none);
  }
}

// Guards against results that depend on the order in which documents arrive:
// hosts would report different faults for the same revision.
TEST_CASE_METHOD(corpus_fixture, "Corpus_DocumentsReversed_GiveSameError") {
  for (corpus_case& bad : cases) {
    CAPTURE(bad.name);
    std::reverse(bad.documents.begin(), bad.documents.end());
    std::vector<document_fault> faults = FindTreeFaults(bad.documents);
    REQUIRE_FALSE(faults.empty());
    CHECK(faults.front().text == bad.expected);
  }
}

}  // namespace
}  // namespace corianderrail

/** @file document_commands_test.cpp Tests of the commands on documents. */

#include "ctl_fixture.h"

namespace corianderrail {
namespace {

using Catch::Contains;

// Guards against example documents that hosts refuse; operators copy them.
TEST_CASE_METHOD(ctl_fixture, "Check_Examples_AreAccepted") {
  CHECK(Run({"check", Example("peachline"), Example("heizventil")}) ==
        exit_code::ok);
  CHECK(err.str().empty());
  CHECK(out.str() == "documents accepted: 8\n");
}

// Guards against faults reported without the path and line that an editor
// needs.
TEST_CASE_METHOD(ctl_fixture, "Check_BadFile_NamesPathAndLine") {
  Write("contracts/head", "format = 1\nrevison = 1\n");
  CHECK(Run({"check", scratch.string()}) == exit_code::refused);
  CHECK_THAT(err.str(), Contains(scratch.string() +
                                 "/contracts/head:2: unknown key 'revison'; "
                                 "did you mean 'revision'?"));
  CHECK(out.str().empty());
}

// Guards against a check of a single file that reports faults of other files.
TEST_CASE_METHOD(ctl_fixture, "Check_SingleFile_ReportsOnlyThatFile") {
  Write("contracts/head", "format = 1\nrevison = 1\n");
  Write("topology", "format = 2\n");
  CHECK(Run({"check", (scratch / "topology").string()}) == exit_code::refused);
  CHECK_THAT(err.str(), Contains("topology:1: 'format' is 2"));
  CHECK_THAT(err.str(), !Contains("contracts/head"));
}

// Guards against a wrong path that exits with success, so that a script treats
// the tree as accepted.
TEST_CASE_METHOD(ctl_fixture, "Check_NoTree_IsUnreadable") {
  CHECK(Run({"check", scratch.string()}) == exit_code::unreadable_input);
  CHECK(Run({"check", (scratch / "none").string()}) ==
        exit_code::unreadable_input);
  Write("notes.toml", "format = 1\n");
  CHECK(Run({"check", (scratch / "notes.toml").string()}) ==
        exit_code::unreadable_input);
  CHECK_THAT(err.str(), Contains("place the file in a tree"));
}

// Guards against JSON output without the faults that the text output lists.
TEST_CASE_METHOD(ctl_fixture, "Check_Json_ListsFaults") {
  Write("contracts/head", "format = 2\n");
  CHECK(Run({"check", "--json", scratch.string()}) == exit_code::refused);
  CHECK_THAT(out.str(), Contains("\"fault\":\"newer_format\""));
  CHECK_THAT(out.str(), Contains("\"accepted\":false"));
}

// Guards against an assembled set that hosts refuse, and against a second run
// that overwrites a published document.
TEST_CASE_METHOD(ctl_fixture, "Assemble_ExampleCopy_WritesAcceptedSet") {
  std::filesystem::copy(Example("peachline"), scratch,
                        std::filesystem::copy_options::recursive);
  CHECK(Run({"assemble", scratch.string(), "--write"}) == exit_code::ok);
  CHECK_THAT(out.str(), Contains("contracts/set/2"));
  Write("contracts/head", "format = 1\nrevision = 2\n");
  CHECK(Run({"check", scratch.string()}) == exit_code::ok);
  CHECK(Run({"diff", Example("peachline"), scratch.string()}) == exit_code::ok);
  CHECK(out.str() == "revision 1 -> 2, 0 changes\n");
  CHECK(Run({"assemble", scratch.string(), "--write"}) == exit_code::ok);
  CHECK_THAT(out.str(), Contains("contracts/set/3"));
}

// Guards against a diff of a set that hosts refuse.
TEST_CASE_METHOD(ctl_fixture, "Diff_BadTree_IsRefused") {
  Write("contracts/head", "format = 1\nrevision = 9\n");
  CHECK(Run({"diff", Example("peachline"), scratch.string()}) ==
        exit_code::refused);
}

// Guards against a digest that does not match the one in set documents.
TEST_CASE_METHOD(ctl_fixture, "Digest_ExampleContract_MatchesItsSet") {
  CHECK(Run({"digest", Example("peachline") + "/contracts/peachline/1"}) ==
        exit_code::ok);
  std::string digest = out.str().substr(0, 16);
  std::ifstream in(Example("peachline") + "/contracts/set/1");
  std::stringstream set;
  set << in.rdbuf();
  CHECK_THAT(set.str(), Contains("digest = \"" + digest + "\""));
}

// Guards against usage errors that a script cannot tell from refused documents.
TEST_CASE_METHOD(ctl_fixture, "CommandLine_BadUsage_ExitsWithTwo") {
  CHECK(Run({}) == exit_code::usage);
  CHECK(Run({"chekc", "x"}) == exit_code::usage);
  CHECK(Run({"check"}) == exit_code::usage);
  CHECK(Run({"diff", "x"}) == exit_code::usage);
  CHECK(Run({"check", "--jsn", "x"}) == exit_code::usage);
  CHECK(Run({"status", "host:1x"}) == exit_code::usage);
  CHECK(Run({"query", "127.0.0.1:1"}) == exit_code::usage);
  CHECK(Run({"check", "--timeout-ms=0", "x"}) == exit_code::usage);
}

// Guards against a command that is missing from the help.
TEST_CASE_METHOD(ctl_fixture, "CommandLine_Help_ListsEveryCommand") {
  CHECK(Run({"--help"}) == exit_code::ok);
  for (const command& entry : Commands()) {
    CHECK_THAT(out.str(), Contains("  " + std::string(entry.name) + " "));
  }
  CHECK(Run({"--version"}) == exit_code::ok);
  CHECK_THAT(out.str(), Contains("corianderctl 0.1.0"));
}

}  // namespace
}  // namespace corianderrail

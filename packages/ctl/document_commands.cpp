/** @file document_commands.cpp Commands that read document trees. */

#include "ctl/document_commands.h"

#include <algorithm>
#include <ostream>

#include "contract/contract_diff.h"
#include "contract/digest.h"
#include "contract/document_tree.h"
#include "ctl/document_files.h"
#include "wire/json_value.h"

namespace corianderrail {

namespace {

/** Puts the root of the tree before the text of a fault. The text begins with
 *  the key of the file, so that the result begins with the file's path. */
std::string FaultText(const document_tree& tree, const document_fault& fault) {
  return (tree.root / fault.text).generic_string();
}

/** Faults of all files of the tree, or only of `single_key` if that is set. */
std::vector<document_fault> SelectFaults(const document_tree& tree) {
  std::vector<document_fault> faults = FindTreeFaults(tree.documents);
  if (tree.single_key.empty()) return faults;
  std::erase_if(faults, [&tree](const document_fault& fault) {
    return !fault.text.starts_with(tree.single_key + ":");
  });
  return faults;
}

contract_verdict RequireSet(const document_tree& tree) {
  contract_verdict verdict = ValidateTreeHead(tree.documents);
  if (verdict.set != nullptr) return verdict;
  throw command_error(exit_code::refused,
                      (tree.root / verdict.reason).generic_string());
}

void PrintChange(std::ostream& out, const contract_change& change) {
  if (!change.customer.empty()) out << change.customer << ": ";
  if (!change.kind.empty()) out << change.kind << ": ";
  out << FieldName(change.field) << " " << ChangeName(change.change);
  if (!change.before.empty()) out << " " << change.before;
  if (!change.before.empty() && !change.after.empty()) out << " ->";
  if (!change.after.empty()) out << " " << change.after;
  out << "\n";
}

void PrintChangesJson(std::ostream& out, const contract_set& before,
                      const contract_set& after,
                      const std::vector<contract_change>& changes) {
  json_writer writer;
  writer.Unsigned("before", Raw(before.revision))
      .Unsigned("after", Raw(after.revision))
      .List("changes");
  for (const contract_change& change : changes) {
    writer.Object("")
        .Text("change", ChangeName(change.change))
        .Text("field", FieldName(change.field))
        .Text("customer", change.customer)
        .Text("kind", change.kind)
        .Text("before", change.before)
        .Text("after", change.after)
        .End();
  }
  writer.End();
  out << writer.Finish() << "\n";
}

std::vector<std::string> SplitSeats(const std::string& text) {
  std::vector<std::string> seats;
  std::size_t begin = 0;
  while (begin < text.size()) {
    std::size_t end = std::min(text.find(',', begin), text.size());
    seats.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return seats;
}

}  // namespace

exit_code RunCheck(command_context& context) {
  exit_code code = exit_code::ok;
  json_writer writer;
  writer.List("faults");
  std::size_t documents = 0;
  for (const std::string& path : context.arguments) {
    document_tree tree = ReadTree(path);
    documents += tree.single_key.empty() ? tree.documents.size() : 1;
    for (const document_fault& fault : SelectFaults(tree)) {
      code = exit_code::refused;
      context.err << FaultText(tree, fault) << "\n";
      writer.Object("")
          .Text("fault", FaultName(fault.fault))
          .Unsigned("line", fault.line)
          .Text("text", FaultText(tree, fault))
          .End();
    }
  }
  writer.End().Unsigned("documents", documents);
  writer.Bool("accepted", code == exit_code::ok);
  if (context.options.json) {
    context.out << writer.Finish() << "\n";
  } else if (code == exit_code::ok) {
    context.out << "documents accepted: " << documents << "\n";
  }
  return code;
}

exit_code RunDiff(command_context& context) {
  document_tree before = ReadTree(context.arguments[0]);
  document_tree after = ReadTree(context.arguments[1]);
  std::shared_ptr<const contract_set> old_set = RequireSet(before).set;
  std::shared_ptr<const contract_set> new_set = RequireSet(after).set;
  std::vector<contract_change> changes = DiffContracts(*old_set, *new_set);
  if (context.options.json) {
    PrintChangesJson(context.out, *old_set, *new_set, changes);
    return exit_code::ok;
  }
  context.out << "revision " << Raw(old_set->revision) << " -> "
              << Raw(new_set->revision) << ", " << changes.size()
              << " changes\n";
  for (const contract_change& change : changes) {
    PrintChange(context.out, change);
  }
  return exit_code::ok;
}

exit_code RunDigest(command_context& context) {
  std::string digest =
      FormatDigest(ComputeDigest(ReadFile(context.arguments[0])));
  if (context.options.json) {
    json_writer writer;
    writer.Text("digest", digest);
    context.out << writer.Finish() << "\n";
  } else {
    context.out << digest << "\n";
  }
  return exit_code::ok;
}

exit_code RunAssemble(command_context& context) {
  document_tree tree = ReadTree(context.arguments[0]);
  std::vector<document_fault> faults;
  contract_document set =
      AssembleSet(tree.documents, SplitSeats(context.options.seats), faults);
  for (const document_fault& fault : faults) {
    context.err << FaultText(tree, fault) << "\n";
  }
  if (!faults.empty()) return exit_code::refused;
  std::string path = (tree.root / set.key).generic_string();
  if (context.options.write) WriteNewFile(path, set.bytes);
  if (context.options.json) {
    json_writer writer;
    writer.Text("key", set.key).Text("bytes", set.bytes);
    context.out << writer.Finish() << "\n";
  } else if (context.options.write) {
    context.out << path << "\n";
  } else {
    context.out << set.bytes;
  }
  return exit_code::ok;
}

}  // namespace corianderrail

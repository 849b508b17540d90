// Prints the reference of the document's keys from the schema itself.

#include "commandtable.h"
#include "tableprinter.h"

#include "fulmar/document/keyspec.h"

#include <array>

namespace fulmar::ctl {

namespace {

/// One name of each kind of section; the star stands for any name.
constexpr std::array Kinds = {"service.*", "policy.*", "policy.control",
                              "data-centre.*", "owner.*"};

document::section_name sectionOf(std::string Kind) {
  const std::size_t Star = Kind.find('*');
  if (Star != std::string::npos)
    Kind.replace(Star, 1, "any");
  return document::section_name::parse(Kind).value_or(document::section_name());
}

bool isNumeric(document::key_type Type) {
  return Type == document::key_type::Integer ||
         Type == document::key_type::Milliseconds;
}

std::string rangeOf(const document::key_spec &Spec) {
  if (isNumeric(Spec.Type))
    return std::to_string(Spec.Minimum) + ".." + std::to_string(Spec.Maximum);
  std::string Text =
      Spec.Type == document::key_type::Boolean ? "true|false" : "";
  for (const std::string &Choice : Spec.Choices)
    Text += (Text.empty() ? "" : "|") + Choice;
  return Text;
}

} // namespace

exit_code runKeys(invocation &Call) {
  table_printer Table({"SECTION", "KEY", "DEFAULT", "RANGE", "MEANING"});
  for (const char *Kind : Kinds) {
    if (!Call.Arguments.empty() && Call.Arguments.front() != Kind)
      continue;
    for (const document::key_spec &Spec : document::schemaOf(sectionOf(Kind)))
      Table.add({Kind, Spec.Key, Spec.Required ? "(required)" : Spec.Default,
                 rangeOf(Spec), Spec.Help});
  }
  Table.print(Call.Out);
  return exit_code::Done;
}

} // namespace fulmar::ctl

// Takes section names apart and writes faults.

#include "fulmar/document/documenttypes.h"

#include "names.h"

#include <array>
#include <utility>

namespace fulmar::document {

namespace {

constexpr std::array<std::pair<section_kind, std::string_view>, 4> Prefixes = {
    {{section_kind::Service, ServicePrefix},
     {section_kind::DataCentre, DataCentrePrefix},
     {section_kind::Policy, PolicyPrefix},
     {section_kind::Owner, OwnerPrefix}}};

} // namespace

std::string section_name::str() const {
  for (const auto &[PrefixKind, Prefix] : Prefixes) {
    if (PrefixKind == Kind)
      return std::string(Prefix) + Name;
  }
  return Name;
}

std::optional<section_name> section_name::parse(std::string_view Text) {
  for (const auto &[Kind, Prefix] : Prefixes) {
    if (!Text.starts_with(Prefix))
      continue;
    const std::string_view Name = Text.substr(Prefix.size());
    if (!isName(Name))
      return std::nullopt;
    return section_name{.Kind = Kind, .Name = std::string(Name)};
  }
  return std::nullopt;
}

std::string fault::str() const {
  const std::string Where = "[" + Section + "]";
  if (Key.empty())
    return Where + ": expected " + Expected;
  return Where + " " + Key + " = '" + Value + "': expected " + Expected;
}

std::string toText(const fault_list &Faults) {
  std::string Text;
  for (const fault &Fault : Faults)
    Text += (Text.empty() ? "" : "\n") + Fault.str();
  return Text;
}

} // namespace fulmar::document

// Binds the keys of a section to the members of its typed form.

#ifndef FULMAR_DOCUMENT_KEYBINDING_H
#define FULMAR_DOCUMENT_KEYBINDING_H

#include "fulmar/document/keyspec.h"
#include "keycheck.h"

#include <Poco/NumberParser.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fulmar::document {

template <typename Section> struct key_binding {
  using member =
      std::variant<std::string Section::*, std::vector<std::string> Section::*,
                   std::int64_t Section::*,
                   std::chrono::milliseconds Section::*, bool Section::*>;
  key_spec Spec;
  member Member;
};

template <typename Section>
using binding_table = std::vector<key_binding<Section>>;

/// Turns a checked value into its member's type, and back into text.
inline void readInto(std::string &To, const std::string &Value) { To = Value; }
inline void readInto(std::vector<std::string> &To, const std::string &Value) {
  To = splitList(Value);
}
inline void readInto(std::int64_t &To, const std::string &Value) {
  To = Poco::NumberParser::parse64(Value);
}
inline void readInto(std::chrono::milliseconds &To, const std::string &Value) {
  To = std::chrono::milliseconds(Poco::NumberParser::parse64(Value));
}
inline void readInto(bool &To, const std::string &Value) {
  To = Value == "true";
}

inline std::string textOf(const std::string &Value) { return Value; }
inline std::string textOf(const std::vector<std::string> & /*Value*/) {
  return {};
}
inline std::string textOf(std::int64_t Value) { return std::to_string(Value); }
inline std::string textOf(std::chrono::milliseconds Value) {
  return std::to_string(Value.count());
}
inline std::string textOf(bool Value) { return Value ? "true" : "false"; }

/// Takes the values of bound keys over; others are left alone.
template <typename Section>
void assign(const binding_table<Section> &Table, const value_map &Values,
            Section &To) {
  for (const key_binding<Section> &Binding : Table) {
    const auto Found = Values.find(Binding.Spec.Key);
    if (Found == Values.end())
      continue;
    std::visit([&](auto Member) { readInto(To.*Member, Found->second); },
               Binding.Member);
  }
}

/// The schema of a table, with the defaults of the typed form.
template <typename Section>
key_schema schemaFrom(const binding_table<Section> &Table) {
  const Section Defaults;
  key_schema Schema;
  for (const key_binding<Section> &Binding : Table) {
    key_spec Spec = Binding.Spec;
    if (!Spec.Required)
      Spec.Default =
          std::visit([&](auto Member) { return textOf(Defaults.*Member); },
                     Binding.Member);
    Schema.push_back(std::move(Spec));
  }
  return Schema;
}

} // namespace fulmar::document

#endif // FULMAR_DOCUMENT_KEYBINDING_H

// The checks behind each type of key.

#include "keycheck.h"

#include "fulmar/document/token.h"
#include "names.h"

#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <optional>

namespace fulmar::document {

namespace {

std::string join(const std::vector<std::string> &Words) {
  std::string Text;
  for (const std::string &Word : Words)
    Text += (Text.empty() ? "" : ", ") + Word;
  return Text;
}

bool isNumber(const key_spec &Spec, const std::string &Value) {
  Poco::Int64 Number = 0;
  return Poco::NumberParser::tryParse64(Value, Number) &&
         Number >= Spec.Minimum && Number <= Spec.Maximum;
}

bool isNameList(const key_spec &Spec, const std::string &Value) {
  const std::vector<std::string> Names = splitList(Value);
  const std::set<std::string> Distinct(Names.begin(), Names.end());
  return !Names.empty() && Distinct.size() == Names.size() &&
         Names.size() <= static_cast<std::size_t>(Spec.Maximum) &&
         std::all_of(Names.begin(), Names.end(),
                     [](const std::string &Name) { return isName(Name); });
}

bool isChoice(const key_spec &Spec, const std::string &Value) {
  return std::find(Spec.Choices.begin(), Spec.Choices.end(), Value) !=
         Spec.Choices.end();
}

std::string range(const key_spec &Spec) {
  return std::to_string(Spec.Minimum) + " to " + std::to_string(Spec.Maximum);
}

/// What was expected in place of \p Value; empty when it is sound.
std::optional<std::string> expectedInstead(const key_spec &Spec,
                                           const std::string &Value) {
  const auto Unless = [](bool Sound, std::string Expected) {
    return Sound ? std::nullopt : std::optional(std::move(Expected));
  };
  switch (Spec.Type) {
  case key_type::Text:
    return Unless(Value.size() <= static_cast<std::size_t>(Spec.Maximum),
                  "at most " + std::to_string(Spec.Maximum) + " characters");
  case key_type::Name:
    return Unless(isName(Value),
                  "a name of 1 to 64 letters, digits, '-' and '_'");
  case key_type::NameList:
    return Unless(isNameList(Spec, Value),
                  "1 to " + std::to_string(Spec.Maximum) +
                      " different names, separated by commas");
  case key_type::Integer:
    return Unless(isNumber(Spec, Value), "a whole number, " + range(Spec));
  case key_type::Milliseconds:
    return Unless(isNumber(Spec, Value),
                  "milliseconds as a whole number, " + range(Spec));
  case key_type::Boolean:
    return Unless(Value == "true" || Value == "false", "true or false");
  case key_type::Choice:
    return Unless(isChoice(Spec, Value), "one of " + join(Spec.Choices));
  case key_type::TokenHash:
    return Unless(isTokenHash(Value),
                  "a hash as `fulmarctl hash-token` writes it");
  }
  return std::nullopt;
}

const key_spec *findSpec(const key_schema &Schema, const std::string &Key) {
  const auto Found =
      std::find_if(Schema.begin(), Schema.end(),
                   [&](const key_spec &Spec) { return Spec.Key == Key; });
  return Found == Schema.end() ? nullptr : &*Found;
}

std::string knownKeys(const key_schema &Schema) {
  std::vector<std::string> Keys;
  for (const key_spec &Spec : Schema)
    Keys.push_back(Spec.Key);
  return "one of the keys " + join(Keys);
}

} // namespace

std::vector<std::string> splitList(const std::string &Value) {
  const Poco::StringTokenizer Items(
      Value, ",",
      Poco::StringTokenizer::TOK_TRIM |
          Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  return {Items.begin(), Items.end()};
}

void checkValues(const std::string &Section, const key_schema &Schema,
                 const value_map &Values, fault_list &Faults) {
  for (const auto &[Key, Value] : Values) {
    const key_spec *Spec = findSpec(Schema, Key);
    if (Spec == nullptr)
      Faults.push_back({Section, Key, Value, knownKeys(Schema)});
    else if (const auto Expected = expectedInstead(*Spec, Value))
      Faults.push_back({Section, Key, Value, *Expected});
  }
  for (const key_spec &Spec : Schema) {
    if (Spec.Required && !Values.contains(Spec.Key))
      Faults.push_back({Section, Spec.Key, "", "a value; the key is required"});
  }
}

std::set<std::string> referencesOf(const key_schema &Schema,
                                   const value_map &Values) {
  std::set<std::string> References;
  for (const key_spec &Spec : Schema) {
    const auto Found = Values.find(Spec.Key);
    if (!Spec.References || Found == Values.end())
      continue;
    for (const std::string &Name : splitList(Found->second))
      References.insert(section_name{*Spec.References, Name}.str());
  }
  return References;
}

} // namespace fulmar::document

// Loads an INI file with POCO and checks it against the schema, collecting
// every fault before giving up.

#include "fulmar/settings/settings.h"

#include "valuecheck.h"

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/Util/IniFileConfiguration.h>

#include <algorithm>

namespace fulmar::settings {

namespace {

using full_key = std::pair<std::string, std::string>;
using value_map = std::map<full_key, std::string>;

std::string faultLine(const std::string &File, const full_key &Name,
                      const std::string &Value, const std::string &Expected) {
  return File + ": [" + Name.first + "] " + Name.second + " = '" + Value +
         "': expected " + Expected;
}

base::result<value_map> readIni(const std::string &File) {
  try {
    const Poco::AutoPtr<Poco::Util::IniFileConfiguration> Ini(
        new Poco::Util::IniFileConfiguration(File));
    value_map Values;
    Poco::Util::AbstractConfiguration::Keys Sections;
    Ini->keys(Sections);
    for (const std::string &Section : Sections) {
      Poco::Util::AbstractConfiguration::Keys Keys;
      Ini->keys(Section, Keys);
      if (Keys.empty())
        Values[{"", Section}] = Ini->getRawString(Section);
      for (const std::string &Key : Keys)
        Values[{Section, Key}] = Ini->getRawString(Section + "." + Key, "");
    }
    return Values;
  } catch (const Poco::Exception &Fault) {
    return base::fail(base::error_kind::InvalidDocument,
                      File + ": can't be read as INI: " + Fault.displayText());
  }
}

const key_spec *findSpec(const schema &Schema, const full_key &Name) {
  const auto Found =
      std::find_if(Schema.begin(), Schema.end(), [&](const key_spec &Spec) {
        return Spec.Section == Name.first &&
               (Spec.Key == Name.second || Spec.Key == AnyKey);
      });
  return Found == Schema.end() ? nullptr : &*Found;
}

std::string knownKeys(const schema &Schema, const std::string &Section) {
  std::string Text;
  for (const key_spec &Spec : Schema) {
    if (Spec.Section == Section)
      Text += (Text.empty() ? "" : ", ") + Spec.Key;
  }
  return Text.empty() ? "no such section" : "one of: " + Text;
}

void checkPresent(const std::string &File, const schema &Schema,
                  const value_map &Values, std::vector<std::string> &Faults) {
  for (const auto &[Name, Value] : Values) {
    const key_spec *Spec = findSpec(Schema, Name);
    if (Spec == nullptr) {
      Faults.push_back(
          faultLine(File, Name, Value, knownKeys(Schema, Name.first)));
      continue;
    }
    if (const auto Expected = expectedInstead(*Spec, Value))
      Faults.push_back(faultLine(File, Name, Value, *Expected));
  }
}

/// A key without a value counts as absent if the schema has a default for it.
void dropEmptyValues(const schema &Schema, value_map &Values) {
  std::erase_if(Values, [&Schema](const auto &Entry) {
    const key_spec *Spec = findSpec(Schema, Entry.first);
    return Entry.second.empty() && Spec != nullptr && !Spec->Required &&
           !Spec->Default.empty();
  });
}

void fillAbsent(const std::string &File, const schema &Schema,
                value_map &Values, std::vector<std::string> &Faults) {
  for (const key_spec &Spec : Schema) {
    const full_key Name(Spec.Section, Spec.Key);
    if (Spec.Key == AnyKey || Values.contains(Name))
      continue;
    if (Spec.Required)
      Faults.push_back(
          faultLine(File, Name, "", "a value (" + Spec.Help + ")"));
    else
      Values[Name] = Spec.Default;
  }
}

std::string joinLines(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += (Text.empty() ? "" : "\n") + Line;
  return Text;
}

} // namespace

base::result<settings> settings::load(const std::string &File,
                                      const schema &Schema) {
  BOOST_OUTCOME_TRY(Read, readIni(File));
  std::vector<std::string> Faults;
  dropEmptyValues(Schema, Read);
  checkPresent(File, Schema, Read, Faults);
  fillAbsent(File, Schema, Read, Faults);
  if (!Faults.empty())
    return base::fail(base::error_kind::InvalidDocument, joinLines(Faults));
  settings Loaded;
  Loaded.Values = std::move(Read);
  return Loaded;
}

std::string settings::text(const std::string &Section,
                           const std::string &Key) const {
  const auto Found = Values.find({Section, Key});
  return Found == Values.end() ? std::string() : Found->second;
}

std::int64_t settings::integer(const std::string &Section,
                               const std::string &Key) const {
  Poco::Int64 Number = 0;
  Poco::NumberParser::tryParse64(text(Section, Key), Number);
  return Number;
}

double settings::number(const std::string &Section,
                        const std::string &Key) const {
  double Number = 0;
  Poco::NumberParser::tryParseFloat(text(Section, Key), Number);
  return Number;
}

std::chrono::milliseconds settings::milliseconds(const std::string &Section,
                                                 const std::string &Key) const {
  return std::chrono::milliseconds(integer(Section, Key));
}

std::vector<std::string> settings::list(const std::string &Section,
                                        const std::string &Key) const {
  return splitList(text(Section, Key));
}

std::map<std::string, std::string>
settings::section(const std::string &Section) const {
  std::map<std::string, std::string> Found;
  for (const auto &[Name, Value] : Values) {
    if (Name.first == Section)
      Found[Name.second] = Value;
  }
  return Found;
}

} // namespace fulmar::settings

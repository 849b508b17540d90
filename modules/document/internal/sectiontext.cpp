// Reads INI text line by line with POCO, so that each line can be judged: the
// library alone lets a repeated key silently replace the first.

#include "sectiontext.h"

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/String.h>
#include <Poco/UTF8Encoding.h>
#include <Poco/Util/IniFileConfiguration.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <sstream>

namespace fulmar::document {

namespace {

using key_value = std::pair<std::string, std::string>;

std::vector<std::string> linesOf(std::string_view Text) {
  std::vector<std::string> Lines;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    Lines.emplace_back(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Lines;
}

bool isHeader(const std::string &Line) {
  const std::string Bare = Poco::trimLeft(Line);
  return !Bare.empty() && Bare.front() == '[';
}

bool isUtf8(const std::string &Line) {
  const Poco::UTF8Encoding Encoding;
  const auto *Next = reinterpret_cast<const unsigned char *>(Line.data());
  const auto *End = Next + Line.size();
  while (Next < End) {
    int Length = 1;
    // A negative answer is the negated length of the sequence.
    int Letter = Encoding.queryConvert(Next, Length);
    if (Letter < -1 && -Letter <= End - Next) {
      Length = -Letter;
      Letter = Encoding.queryConvert(Next, Length);
    }
    if (Letter < 0)
      return false;
    Next += Length;
  }
  return true;
}

bool isPrintable(const std::string &Line) {
  return isUtf8(Line) &&
         std::all_of(Line.begin(), Line.end(), [](unsigned char Letter) {
           return Letter == '\t' || Letter == '\r' || std::iscntrl(Letter) == 0;
         });
}

bool isBlank(const std::string &Line) {
  const std::string Bare = Poco::trim(Line);
  return Bare.empty() || Bare.front() == ';' || Bare.front() == '#';
}

/// Empty when the line is not KEY = VALUE with a key that has no dot.
std::optional<key_value> readLine(const std::string &Line) {
  try {
    std::istringstream Stream(Line);
    const Poco::AutoPtr<Poco::Util::IniFileConfiguration> Ini(
        new Poco::Util::IniFileConfiguration(Stream));
    Poco::Util::AbstractConfiguration::Keys Keys;
    Ini->keys(Keys);
    const bool Sound = Keys.size() == 1 && !Keys.front().empty() &&
                       Line.find('=') != std::string::npos &&
                       Ini->hasProperty(Keys.front());
    if (!Sound)
      return std::nullopt;
    return key_value(Keys.front(), Ini->getRawString(Keys.front()));
  } catch (const Poco::Exception &) {
    return std::nullopt;
  }
}

} // namespace

value_map readSection(const std::string &Section, std::string_view Text,
                      fault_list &Faults) {
  value_map Values;
  for (const std::string &Line : linesOf(Text)) {
    if (isBlank(Line) && isPrintable(Line))
      continue;
    const auto Read =
        isHeader(Line) || !isPrintable(Line) ? std::nullopt : readLine(Line);
    if (!Read) {
      Faults.push_back(
          {Section, Poco::trim(Line), "", "a line KEY = VALUE or a comment"});
      continue;
    }
    if (!Values.insert(*Read).second)
      Faults.push_back({Section, Read->first, Read->second,
                        "each key only once in its section"});
  }
  return Values;
}

std::vector<section_text> splitDocument(std::string_view Text,
                                        fault_list &Faults) {
  std::vector<section_text> Sections;
  for (const std::string &Line : linesOf(Text)) {
    if (isHeader(Line)) {
      const std::string Bare = Poco::trim(Line);
      const bool Closed = Bare.back() == ']';
      if (!Closed)
        Faults.push_back({Bare, "", "", "a section header [KIND.NAME]"});
      Sections.push_back(
          {Poco::trim(Bare.substr(1, Bare.size() - (Closed ? 2 : 1))), ""});
      continue;
    }
    if (!Sections.empty())
      Sections.back().Content += Line + "\n";
    else if (!isBlank(Line))
      Faults.push_back({"", Poco::trim(Line), "",
                        "a section header [KIND.NAME] before the first key"});
  }
  return Sections;
}

} // namespace fulmar::document

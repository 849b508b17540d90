// The checks behind each value type of the schema.

#include "valuecheck.h"

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/Path.h>
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace fulmar::settings {

namespace {

bool isName(const std::string &Value) {
  return !Value.empty() &&
         std::all_of(Value.begin(), Value.end(), [](unsigned char Letter) {
           return std::isalnum(Letter) != 0 || Letter == '-' || Letter == '_' ||
                  Letter == '.';
         });
}

bool isIp4(const std::string &Host) {
  const Poco::StringTokenizer Parts(Host, ".");
  constexpr std::size_t Octets = 4;
  constexpr unsigned MaxOctet = 255;
  return Parts.count() == Octets &&
         std::all_of(Parts.begin(), Parts.end(), [](const std::string &Part) {
           unsigned Number = 0;
           return Poco::NumberParser::tryParseUnsigned(Part, Number) &&
                  Number <= MaxOctet;
         });
}

bool isAddress(const std::string &Value) {
  const std::size_t Colon = Value.rfind(':');
  if (Colon == std::string::npos)
    return false;
  unsigned Port = 0;
  constexpr unsigned MaxPort = 65535;
  return isIp4(Value.substr(0, Colon)) &&
         Poco::NumberParser::tryParseUnsigned(Value.substr(Colon + 1), Port) &&
         Port <= MaxPort;
}

bool isAddressList(const std::string &Value) {
  const std::vector<std::string> Items = splitList(Value);
  return !Items.empty() && std::all_of(Items.begin(), Items.end(), isAddress);
}

bool isInRange(const key_spec &Spec, const std::string &Value) {
  Poco::Int64 Number = 0;
  return Poco::NumberParser::tryParse64(Value, Number) &&
         Number >= Spec.Minimum && Number <= Spec.Maximum;
}

bool isNumberInRange(const key_spec &Spec, const std::string &Value) {
  double Number = 0;
  return Poco::NumberParser::tryParseFloat(Value, Number) &&
         Number >= static_cast<double>(Spec.Minimum) &&
         Number <= static_cast<double>(Spec.Maximum);
}

std::string range(const key_spec &Spec) {
  std::string Text = std::to_string(Spec.Minimum) + " or more";
  if (Spec.Maximum != std::numeric_limits<std::int64_t>::max())
    Text = std::to_string(Spec.Minimum) + " to " + std::to_string(Spec.Maximum);
  return Text;
}

} // namespace

std::vector<std::string> splitList(const std::string &Value) {
  const Poco::StringTokenizer Items(
      Value, ",",
      Poco::StringTokenizer::TOK_TRIM |
          Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  return {Items.begin(), Items.end()};
}

std::optional<std::string> expectedInstead(const key_spec &Spec,
                                           const std::string &Value) {
  switch (Spec.Type) {
  case value_type::Text:
    return std::nullopt;
  case value_type::Name:
    if (!isName(Value))
      return "a name of letters, digits, '-', '_' and '.'";
    return std::nullopt;
  case value_type::Address:
    if (!isAddress(Value))
      return "IP:PORT, e.g. 127.0.0.1:7001";
    return std::nullopt;
  case value_type::AddressList:
    if (!isAddressList(Value))
      return "one or more IP:PORT, separated by commas";
    return std::nullopt;
  case value_type::Integer:
    if (!isInRange(Spec, Value))
      return "a whole number, " + range(Spec);
    return std::nullopt;
  case value_type::Number:
    if (!isNumberInRange(Spec, Value))
      return "a number, " + range(Spec);
    return std::nullopt;
  case value_type::Milliseconds:
    if (!isInRange(Spec, Value))
      return "milliseconds as a whole number, " + range(Spec);
    return std::nullopt;
  case value_type::Folder:
    if (Value.empty())
      return "the path of a folder";
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace fulmar::settings

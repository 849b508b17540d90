#include "jsonreader.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace fulmar::directory {

namespace {

/// Maximum length of a text field.
constexpr std::size_t MaxTextBytes = 256;
/// Maximum number of elements in a list.
constexpr Json::ArrayIndex MaxListElements = 65536;
/// Maximum count of requests or slots.
constexpr std::uint64_t MaxCount = 1000000;

const Json::Value &nullValue() {
  static const Json::Value NullValue;
  return NullValue;
}

bool isHost(std::string_view Host) {
  return !Host.empty() &&
         std::all_of(Host.begin(), Host.end(), [](char Character) {
           return (Character >= '0' && Character <= '9') || Character == '.';
         });
}

bool isPort(std::string_view Port) {
  constexpr unsigned MaxPort = 65535;
  unsigned Number = 0;
  const auto [End, Fault] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Number);
  return Fault == std::errc() && End == Port.data() + Port.size() &&
         Number > 0 && Number <= MaxPort;
}

bool isAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  return Colon != std::string_view::npos && isHost(Text.substr(0, Colon)) &&
         isPort(Text.substr(Colon + 1));
}

} // namespace

json_reader::json_reader(const Json::Value &Source, std::string Path)
    : Object(Source.isObject() ? Source : nullValue()), Name(std::move(Path)) {
  if (!Source.isObject())
    Faults.push_back(Name + ": expected an object");
}

const Json::Value &json_reader::field(const char *Key) const {
  return Object.isObject() ? Object[Key] : nullValue();
}

void json_reader::addFault(const char *Key, const std::string &Expected) {
  // An element that is not an object yields a single fault instead of one per
  // field.
  if (Object.isObject() && Faults.size() < MaxFaults)
    Faults.push_back(Name + "." + Key + ": expected " + Expected);
}

void json_reader::appendFaults(const json_reader &Element) {
  Faults.insert(Faults.end(), Element.Faults.begin(), Element.Faults.end());
}

std::string json_reader::joinedFaults() const {
  std::string Text;
  for (const std::string &Line : Faults)
    Text += (Text.empty() ? "" : "; ") + Line;
  return Text;
}

std::string json_reader::text(const char *Key) {
  std::string Text = textOr(Key, "");
  if (Text.empty() && (!field(Key).isString() || field(Key).empty() ||
                       field(Key).asString().empty()))
    addFault(Key, "a text that is not empty");
  return Text;
}

std::string json_reader::textOr(const char *Key, std::string Default) {
  const Json::Value &Field = field(Key);
  if (Field.isNull())
    return Default;
  if (!Field.isString()) {
    addFault(Key, "a text");
    return Default;
  }
  std::string Text = Field.asString();
  if (Text.size() <= MaxTextBytes)
    return Text;
  addFault(Key, "at most " + std::to_string(MaxTextBytes) + " bytes");
  return Default;
}

std::string json_reader::address(const char *Key) {
  std::string Text = textOr(Key, "");
  if (isAddress(Text))
    return Text;
  addFault(Key, "IP:PORT");
  return "";
}

std::uint64_t json_reader::number(const char *Key, std::uint64_t Maximum) {
  const Json::Value &Field = field(Key);
  if (Field.isUInt64() && Field.asUInt64() <= Maximum)
    return Field.asUInt64();
  addFault(Key, "a whole number, 0 to " + std::to_string(Maximum));
  return 0;
}

std::uint64_t json_reader::numberOr(const char *Key, std::uint64_t Maximum,
                                    std::uint64_t Default) {
  return field(Key).isNull() ? Default : number(Key, Maximum);
}

std::uint32_t json_reader::count(const char *Key) {
  return static_cast<std::uint32_t>(number(Key, MaxCount));
}

base::duration json_reader::microseconds(const char *Key) {
  return base::duration(static_cast<base::duration::rep>(
      number(Key, std::numeric_limits<std::int64_t>::max() / 4)));
}

double json_reader::fraction(const char *Key) {
  const Json::Value &Field = field(Key);
  if (Field.isNumeric() && Field.asDouble() >= 0 && Field.asDouble() <= 1)
    return Field.asDouble();
  addFault(Key, "a number, 0 to 1");
  return 0;
}

bool json_reader::boolean(const char *Key) {
  if (field(Key).isBool())
    return field(Key).asBool();
  addFault(Key, "true or false");
  return false;
}

std::size_t json_reader::choice(const char *Key,
                                const std::vector<std::string_view> &Names) {
  const std::string Text = textOr(Key, "");
  const auto Found = std::find(Names.begin(), Names.end(), Text);
  if (Found != Names.end())
    return static_cast<std::size_t>(Found - Names.begin());
  std::string Expected = "one of";
  for (const std::string_view Known : Names)
    Expected += " " + std::string(Known);
  addFault(Key, Expected);
  return 0;
}

const Json::Value &json_reader::listValue(const char *Key) {
  const Json::Value &Field = field(Key);
  if (Field.isArray() && Field.size() <= MaxListElements)
    return Field;
  addFault(Key, "a list of at most " + std::to_string(MaxListElements));
  return nullValue();
}

} // namespace fulmar::directory

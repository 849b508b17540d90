// Formatting and parsing of holder names.

#include "fulmar/claims/holder.h"

#include <Poco/NumberParser.h>

namespace fulmar::claims {

std::string makeHolder(const holder_name &Name) {
  return holderPrefix(Name.Instance, Name.Incarnation) +
         std::to_string(Name.Count);
}

std::string holderPrefix(const std::string &Instance,
                         const std::string &Incarnation) {
  return Instance + "/" + Incarnation + "/";
}

std::optional<holder_name> parseHolder(const std::string &Holder) {
  const std::size_t First = Holder.find('/');
  const std::size_t Last = Holder.rfind('/');
  if (First == std::string::npos || First == Last || First == 0)
    return std::nullopt;
  Poco::UInt64 Count = 0;
  if (!Poco::NumberParser::tryParseUnsigned64(Holder.substr(Last + 1), Count))
    return std::nullopt;
  return holder_name{.Instance = Holder.substr(0, First),
                     .Incarnation = Holder.substr(First + 1, Last - First - 1),
                     .Count = Count};
}

} // namespace fulmar::claims

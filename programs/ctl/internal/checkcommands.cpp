// Subcommands that need no control instance: check and hash-token.

#include "commandtable.h"

#include "fulmar/document/document.h"
#include "fulmar/document/token.h"

#include <Poco/DigestEngine.h>
#include <Poco/RandomStream.h>

#include <array>

namespace fulmar::ctl {

namespace {

Json::Value toJson(const document::fault_list &Faults) {
  Json::Value List(Json::arrayValue);
  for (const document::fault &Fault : Faults) {
    Json::Value Entry;
    Entry["section"] = Fault.Section;
    Entry["key"] = Fault.Key;
    Entry["value"] = Fault.Value;
    Entry["expected"] = Fault.Expected;
    List.append(std::move(Entry));
  }
  Json::Value Value;
  Value["faults"] = std::move(List);
  return Value;
}

std::string randomSalt() {
  constexpr std::size_t SaltBytes = 16;
  std::array<char, SaltBytes> Bytes{};
  Poco::RandomInputStream Random;
  Random.read(Bytes.data(), Bytes.size());
  return Poco::DigestEngine::digestToHex(
      Poco::DigestEngine::Digest(Bytes.begin(), Bytes.end()));
}

} // namespace

exit_code runCheck(invocation &Call) {
  const std::string &File = Call.Arguments.front();
  const auto Text = readFile(File);
  if (!Text)
    return refuse(Call, Text.error().Message, "name a file that exists");
  const document::fault_list Faults = document::document::check(Text.value());
  if (Call.Options.Json)
    printJson(Call, toJson(Faults));
  else if (Faults.empty())
    Call.Out << File << ": sound\n";
  for (const document::fault &Fault : Faults)
    Call.Err << File << ": " << Fault.str() << "\n";
  if (Faults.empty())
    return exit_code::Done;
  return refuse(Call, std::to_string(Faults.size()) + " faults",
                "mend the lines above and check again");
}

exit_code runHashToken(invocation &Call) {
  const auto Token = readToken(Call.Options);
  if (!Token)
    return misuse(Call, Token.error().Message);
  Call.Out << document::hashToken(Token.value(), randomSalt()) << "\n";
  return exit_code::Done;
}

} // namespace fulmar::ctl

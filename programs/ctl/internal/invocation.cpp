// Messages and files that all subcommands share.

#include "invocation.h"

#include <Poco/String.h>

#include <json/writer.h>

#include <fstream>
#include <sstream>

namespace fulmar::ctl {

namespace {

/// What an operator can do about an error.
std::string adviceFor(base::error_kind Kind) {
  switch (Kind) {
  case base::error_kind::Unauthorized:
    return "give the owning team's token with --token_file";
  case base::error_kind::NotFound:
    return "look at the names with `fulmarctl show` or `fulmarctl history`";
  case base::error_kind::StorageFull:
    return "free space on the control instances, then send it again";
  case base::error_kind::Conflict:
    return "look at what is in force, then decide anew";
  default:
    return "correct the command and send it again";
  }
}

} // namespace

exit_code refuse(invocation &Call, const std::string &Why,
                 const std::string &Next) {
  Call.Err << "refused: " << Why << "\nnext: " << Next << "\n";
  if (Call.Control.hadLostAnswer())
    Call.Err << "an earlier attempt had no answer and may still be carried "
                "out: look at `fulmarctl history` first\n";
  return exit_code::Refused;
}

exit_code fail(invocation &Call, const base::error &Error,
               const std::string &Resend) {
  if (base::answerOf(Error.Kind).Execution == base::execution::NotRun)
    return refuse(Call,
                  std::string(base::answerOf(Error.Kind).Name) + ": " +
                      Error.Message,
                  adviceFor(Error.Kind));
  Call.Err << "no answer: " << Error.Message
           << "\nthe outcome is unknown; resend the same command: " << Resend
           << "\n";
  return exit_code::NoAnswer;
}

exit_code misuse(invocation &Call, const std::string &Why) {
  Call.Err << "usage: " << Why << "\n";
  return exit_code::Usage;
}

void printJson(invocation &Call, const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "  ";
  Call.Out << Json::writeString(Builder, Value) << "\n";
}

base::result<std::string> readFile(const std::string &File) {
  std::ifstream Stream(File, std::ios::binary);
  std::ostringstream Text;
  if (Stream)
    Text << Stream.rdbuf();
  if (!Stream)
    return base::fail(base::error_kind::NotFound, File + " can't be read");
  return Text.str();
}

base::result<std::string> readToken(const command_options &Options) {
  if (Options.TokenFile.empty())
    return base::fail(base::error_kind::Unauthorized,
                      "the token's file is missing: --token_file=FILE");
  BOOST_OUTCOME_TRY(Text, readFile(Options.TokenFile));
  return Poco::trim(Text);
}

} // namespace fulmar::ctl

// Tests that log lines are structured and that values can't forge them.

#include "fulmar/telemetry/log.h"
#include "fulmar/testing/property.h"
#include "internal/logline.h"

#include <Poco/TemporaryFile.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <vector>

using namespace fulmar::telemetry;

namespace {

/// Naive reader: splits a line at blanks outside quotes.
std::vector<std::string> fieldsOf(const std::string &Line) {
  std::vector<std::string> Fields(1);
  bool Quoted = false;
  for (std::size_t Index = 0; Index < Line.size(); ++Index) {
    const char Character = Line[Index];
    if (Character == '\\' && Quoted) {
      Fields.back() += Line.substr(Index++, 2);
      continue;
    }
    if (Character == '"')
      Quoted = !Quoted;
    if (Character == ' ' && !Quoted)
      Fields.emplace_back();
    else
      Fields.back() += Character;
  }
  return Fields;
}

} // namespace

TEST_GROUP(Log){};

TEST(Log, valuesForgeNeitherFieldsNorLines) {
  fulmar::testing::checkProperty(
      "six fields on one line", [](const std::string &A, const std::string &B) {
        const std::array<log_field, 2> Fields = {
            {{"path", A + "\nlevel=error"}, {"why", B + "\" event=x \"\r"}}};
        const std::string Line =
            logLine(log_level::Info, "entry-1", "router", "ejected", Fields);
        for (const char Character : Line)
          RC_ASSERT(Character >= ' ' && Character < 0x7f);
        const auto Read = fieldsOf(Line);
        RC_ASSERT(Read.size() == 6U);
        RC_ASSERT(Read[0] == "level=info");
        RC_ASSERT(Read[5].starts_with("why=\""));
      });
}

TEST(Log, plainValuesStayReadable) {
  STRCMP_EQUAL("10.0.0.1:80", logValue("10.0.0.1:80").c_str());
  STRCMP_EQUAL("\"\"", logValue("").c_str());
  STRCMP_EQUAL("\"a b\"", logValue("a b").c_str());
}

TEST(Log, writesLinesOfTheWantedLevelToTheFile) {
  const std::string Path = Poco::TemporaryFile::tempName();
  startLog({.Instance = "entry-1", .Level = "info", .File = Path});
  logChange(log_level::Debug, "router", "hidden");
  logChange(log_level::Warning, "router", "ejected", {{"target", "r 1"}});
  std::ifstream File(Path);
  std::string Line;
  CHECK(static_cast<bool>(std::getline(File, Line)));
  STRCMP_CONTAINS("Z level=warning instance=entry-1 component=router "
                  "event=ejected target=\"r 1\"",
                  Line.c_str());
  CHECK(Line.starts_with("time=20"));
  CHECK(!std::getline(File, Line));
  std::filesystem::remove(Path);
}

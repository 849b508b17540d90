// Log volume is bounded by kind, and what was left out is counted.

#include "fulmar/testing/property.h"
#include "internal/linebudget.h"
#include "internal/standardoutput.h"

#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <fcntl.h>
#include <unistd.h>

#include <string>

using namespace fulmar;
using namespace fulmar::telemetry;
using std::chrono::milliseconds;

namespace {

base::instant at(std::int64_t Ms) { return base::instant(milliseconds(Ms)); }

} // namespace

TEST_GROUP(LineBudget){};

TEST(LineBudget, aStormOfOneKindLeavesOthersAlone) {
  line_budget Budget(10);
  int Written = 0;
  for (int Number = 0; Number < 1'000; ++Number)
    Written += Budget.admit("storm", at(0)).has_value() ? 1 : 0;
  CHECK_EQUAL(10, Written);
  CHECK_TRUE(Budget.admit("other", at(0)).has_value());
  const auto LeftOut = Budget.admit("storm", at(1'000));
  CHECK_TRUE(LeftOut.has_value());
  CHECK_EQUAL(990U, *LeftOut);
}

TEST_GROUP(StandardOutput){};

TEST(StandardOutput, aFullPipeDropsLinesAndNeverBlocks) {
  int Ends[2];
  CHECK_EQUAL(0, ::pipe(Ends));
  const auto Layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  const auto Output = std::make_shared<standard_output>(Layout);
  Output->writeTo(Ends[1]);
  const auto Logger = log4cxx::Logger::getLogger("pipe-test");
  Logger->setAdditivity(false);
  Logger->addAppender(Output);
  // Far more than a pipe holds; a blocking writer would never return.
  for (int Number = 0; Number < 3'000; ++Number)
    LOG4CXX_ERROR(Logger, std::string(200, 'x'));
  std::string Read(1U << 20U, '\0');
  CHECK_EQUAL(0, ::fcntl(Ends[0], F_SETFL, O_NONBLOCK));
  CHECK_TRUE(::read(Ends[0], Read.data(), Read.size()) > 0);
  LOG4CXX_ERROR(Logger, "after");
  const ssize_t Count = ::read(Ends[0], Read.data(), Read.size());
  CHECK_TRUE(Count > 0);
  STRCMP_CONTAINS("dropped_before=",
                  Read.substr(0, static_cast<std::size_t>(Count)).c_str());
  Logger->removeAllAppenders();
  ::close(Ends[0]);
  ::close(Ends[1]);
}

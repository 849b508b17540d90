// Starts of the platform's programs under conditions that need not stop them.

#include "support/childprocess.h"

#include "fulmar/testing/property.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/TemporaryFile.h>

#include <fstream>
#include <sstream>
#include <string>
#include <thread>

using namespace fulmar;
using namespace fulmar::system_tests;
using std::chrono::milliseconds;

namespace {

constexpr const char *EntryAddress = "127.0.0.1:18611";
constexpr const char *MetricsAddress = "127.0.0.1:18613";

std::string entrySettings() {
  return std::string("[instance]\nid = edge-1\ndata_centre = pos\n"
                     "ip = 127.0.0.1\nlink_port = 18614\n"
                     "[control]\nseeds = 127.0.0.1:18615\n"
                     "[entry]\nmemory_mb = 100\nlisten = ") +
         EntryAddress + "\nreadiness = 127.0.0.1:18612\n[metrics]\nlisten = " +
         MetricsAddress + "\n[log]\nfile = stdout\n";
}

bool accepts(const std::string &Address) {
  try {
    const Poco::Net::StreamSocket Connected(
        (Poco::Net::SocketAddress(Address)));
    return true;
  } catch (const Poco::Exception &) {
    return false;
  }
}

} // namespace

TEST_GROUP(PlatformStart){};

TEST(PlatformStart, aTakenMetricsPortDoesNotKeepAnEntryFromServing) {
  const Poco::Net::ServerSocket Taken(
      (Poco::Net::SocketAddress(MetricsAddress)));
  const Poco::TemporaryFile Settings;
  const Poco::TemporaryFile Log;
  std::ofstream(Settings.path()) << entrySettings();
  child_process Entry(FULMAR_PROGRAMS "/fulmar-platform-entry",
                      {"--config=" + Settings.path()}, Log.path());
  constexpr int Attempts = 100;
  for (int Left = Attempts; Left > 0 && !accepts(EntryAddress); --Left)
    std::this_thread::sleep_for(milliseconds(20));
  CHECK_TRUE(accepts(EntryAddress));
  CHECK_TRUE(Entry.running());
  std::ostringstream Text;
  Text << std::ifstream(Log.path()).rdbuf();
  STRCMP_CONTAINS("metrics-unavailable", Text.str().c_str());
}

// Callers that nobody controls against the real processes: memory stays under a
// bound, and an ordinary request is answered afterwards.

#include "support/childprocess.h"

#include "fulmar/testing/property.h"

#include <Poco/Net/SocketStream.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/TemporaryFile.h>

#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace fulmar;
using namespace fulmar::system_tests;
using std::chrono::milliseconds;

namespace {

constexpr const char *OperatorAddress = "127.0.0.1:18621";
constexpr const char *DirectoryAddress = "127.0.0.1:18622";
constexpr std::size_t BodyBytes = 8'000'000;
constexpr std::size_t Connections = 24;
/// Half of the memory of a control instance's machine.
constexpr std::size_t MaxResidentMb = 128;

std::string controlSettings(const std::string &Folder) {
  return std::string("[instance]\nid = core-1\ndata_centre = pos\n"
                     "ip = 127.0.0.1\nlink_port = 18624\n"
                     "[control]\nseeds = 127.0.0.1:18621\nlisten = ") +
         OperatorAddress + "\ndirectory = " + DirectoryAddress +
         "\ndata_folder = " + Folder +
         "\nbootstrap = true\ndata_centres = pos\n"
         "buffered_body_mb = 32\n"
         "[metrics]\nlisten = 127.0.0.1:18623\n[log]\nfile = stdout\n";
}

std::size_t residentMb(pid_t Id) {
  std::ifstream Statistics("/proc/" + std::to_string(Id) + "/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  Statistics >> Total >> Resident;
  return Resident * 4'096 >> 20U;
}

/// Sends a request whose body lacks its last ten bytes, until the other end
/// stops reading or closes the connection.
void sendAlmostAll(Poco::Net::StreamSocket &Socket) {
  const std::string Head = "POST /v1/Config.Replace HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: " +
                           std::to_string(BodyBytes) + "\r\n\r\n";
  const std::string Bytes = Head + std::string(BodyBytes - 10, 'x');
  Socket.setSendTimeout(Poco::Timespan(2, 0));
  try {
    std::size_t Sent = 0;
    while (Sent < Bytes.size())
      Sent += static_cast<std::size_t>(Socket.sendBytes(
          Bytes.data() + Sent, static_cast<int>(Bytes.size() - Sent)));
  } catch (const Poco::Exception &) {
    // The process may refuse the request or close the connection.
  }
}

std::string fetch(const std::string &Address, const std::string &Target) {
  try {
    Poco::Net::StreamSocket Socket((Poco::Net::SocketAddress(Address)));
    Socket.setReceiveTimeout(Poco::Timespan(5, 0));
    const std::string Request =
        "GET " + Target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    Socket.sendBytes(Request.data(), static_cast<int>(Request.size()));
    char Answer[256] = {};
    const int Count = Socket.receiveBytes(Answer, sizeof(Answer) - 1);
    return {Answer, static_cast<std::size_t>(std::max(0, Count))};
  } catch (const Poco::Exception &) {
    return {};
  }
}

} // namespace

TEST_GROUP(HostileCallers){};

// Guards against a control instance that runs out of memory, because each
// connection may hold a body of legal size.
TEST(HostileCallers, bodiesThatStopShortOfTheirEndLeaveAControlInstanceAlive) {
  for (const char *Address : {OperatorAddress, DirectoryAddress}) {
    Poco::TemporaryFile Folder;
    Folder.createDirectories();
    const Poco::TemporaryFile Settings;
    const Poco::TemporaryFile Log;
    std::ofstream(Settings.path()) << controlSettings(Folder.path());
    child_process Control(FULMAR_PROGRAMS "/fulmar-platform-control",
                          {"--config=" + Settings.path()}, Log.path());
    constexpr int Attempts = 250;
    for (int Left = Attempts; Left > 0 && fetch(Address, "/").empty(); --Left)
      std::this_thread::sleep_for(milliseconds(20));
    CHECK_TRUE(Control.running());
    std::vector<Poco::Net::StreamSocket> Sockets;
    for (std::size_t Number = 0; Number < Connections; ++Number) {
      Sockets.emplace_back(Poco::Net::SocketAddress(Address));
      sendAlmostAll(Sockets.back());
    }
    CHECK_TRUE(Control.running());
    CHECK_COMPARE(residentMb(Control.id()), <, MaxResidentMb);
    CHECK_FALSE(fetch(Address, "/").empty());
  }
}

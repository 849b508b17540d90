// A TCP relay on loopback that a test can cut and mend.

#ifndef FULMAR_TESTS_SYSTEM_CUTTABLELINK_H
#define FULMAR_TESTS_SYSTEM_CUTTABLELINK_H

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace fulmar::system_tests {

class cuttable_link {
public:
  /// Relays to \p Destination (IP:PORT), which may start later.
  explicit cuttable_link(std::string Destination);
  ~cuttable_link();
  cuttable_link(const cuttable_link &) = delete;
  cuttable_link &operator=(const cuttable_link &) = delete;

  [[nodiscard]] std::string address() const;
  /// Bytes of connections that exist or are made while the link is cut go
  /// nowhere; nobody is told.
  void cut() { Cut.store(true); }
  /// Connections that existed during the cut are closed.
  void mend();

private:
  struct relay {
    std::thread Thread;
    std::atomic<bool> Done{false};
  };

  void accept();
  void pump(Poco::Net::StreamSocket Caller, relay &Relay);

  const std::string Destination;
  Poco::Net::ServerSocket Listener;
  std::atomic<bool> Cut{false};
  std::atomic<bool> Ending{false};
  /// Grows with every mend; older connections close.
  std::atomic<std::uint64_t> Generation{0};
  std::mutex Mutex;
  std::list<relay> Relays;
  std::thread Acceptor;
};

} // namespace fulmar::system_tests

#endif // FULMAR_TESTS_SYSTEM_CUTTABLELINK_H

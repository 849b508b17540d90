// Wakes every thread that polls for input when a server stops.

#ifndef FULMAR_PROXY_STOPSIGNAL_H
#define FULMAR_PROXY_STOPSIGNAL_H

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

namespace fulmar::proxy {

/// Thread-safe; once raised it stays raised.
class stop_signal {
public:
  stop_signal() : Descriptor(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}
  ~stop_signal() { ::close(Descriptor); }
  stop_signal(const stop_signal &) = delete;
  stop_signal &operator=(const stop_signal &) = delete;

  void raise() { ::eventfd_write(Descriptor, 1); }
  /// Readable from raise() on.
  [[nodiscard]] int descriptor() const { return Descriptor; }

private:
  const int Descriptor;
};

} // namespace fulmar::proxy

#endif // FULMAR_PROXY_STOPSIGNAL_H

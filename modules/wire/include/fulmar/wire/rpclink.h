// A task that owns the connection to one peer: it sends posted calls one
// after another and hands each outcome to the call's completion.

#ifndef FULMAR_WIRE_RPCLINK_H
#define FULMAR_WIRE_RPCLINK_H

#include "fulmar/base/mailbox.h"
#include "fulmar/wire/rpcclient.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>

namespace fulmar::wire {

/// Thread-safe.
class rpc_link {
public:
  /// Runs on the link's thread; it should post a message and return.
  using completion = std::function<void(const base::result<Json::Value> &)>;

  struct call {
    std::string Method;
    Json::Value Parameters;
    base::duration Timeout = std::chrono::seconds(1);
    completion Completion;
  };

  /// \p Address is IP:PORT.
  explicit rpc_link(std::string Address);
  /// Drops the calls that were not sent.
  ~rpc_link();
  rpc_link(const rpc_link &) = delete;
  rpc_link &operator=(const rpc_link &) = delete;

  /// Returns false, without running the completion, when MaxQueued calls
  /// wait already.
  bool post(call Call);

  /// Calls that wait or are under way.
  [[nodiscard]] std::size_t pending() const { return Pending.load(); }
  [[nodiscard]] const std::string &address() const { return Client.address(); }

  static constexpr std::size_t MaxQueued = 256;

private:
  void run();

  rpc_client Client;
  base::mailbox<call> Calls;
  std::atomic<std::size_t> Pending{0};
  std::thread Thread;
};

} // namespace fulmar::wire

#endif // FULMAR_WIRE_RPCLINK_H

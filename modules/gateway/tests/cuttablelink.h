// A network path from one entry to one target that tests can cut.

#ifndef FULMAR_GATEWAY_TESTS_CUTTABLELINK_H
#define FULMAR_GATEWAY_TESTS_CUTTABLELINK_H

#include "fulmar/eventloop/loop.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmar::gateway {

enum class link_state : std::uint8_t {
  Open,
  /// Nothing gets through; connections stay open and go on afterwards.
  Hanging,
  /// Connections are reset.
  Resetting,
  /// New connections are refused; open ones go on.
  Refusing,
};

class cuttable_link {
public:
  cuttable_link(eventloop::loop &OwningLoop, std::string ListenAddress,
                std::string TargetAddress);
  ~cuttable_link() { set(link_state::Resetting); }
  cuttable_link(const cuttable_link &) = delete;
  cuttable_link &operator=(const cuttable_link &) = delete;

  void set(link_state Next);
  [[nodiscard]] const std::string &address() const { return Address; }
  /// Number of connections that got through.
  [[nodiscard]] std::size_t opened() const { return Opened; }

private:
  class connection;
  void accept();

  eventloop::loop &Loop;
  std::string Address;
  std::string Target;
  link_state State = link_state::Open;
  std::size_t Opened = 0;
  std::vector<std::shared_ptr<connection>> Connections;
  std::optional<eventloop::tcp::acceptor> Acceptor;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_TESTS_CUTTABLELINK_H

// The bytes of bodies that one gateway holds in memory, over all connections.

#ifndef FULMAR_GATEWAY_INTERNAL_HELDBYTES_H
#define FULMAR_GATEWAY_INTERNAL_HELDBYTES_H

#include <cstddef>
#include <memory>
#include <utility>

namespace fulmar::gateway {

class held_bytes {
public:
  explicit held_bytes(std::size_t Most) : Max(Most) {}

  [[nodiscard]] bool full() const { return Sum > Max; }
  [[nodiscard]] std::size_t sum() const { return Sum; }

private:
  friend class held_part;
  std::size_t Sum = 0;
  std::size_t Max;
};

/// What one connection holds; given back when it is destroyed.
class held_part {
public:
  explicit held_part(std::shared_ptr<held_bytes> Whole)
      : All(std::move(Whole)) {}
  ~held_part() { set(0); }
  held_part(const held_part &) = delete;
  held_part &operator=(const held_part &) = delete;

  void set(std::size_t Bytes) {
    All->Sum += Bytes;
    All->Sum -= std::exchange(Part, Bytes);
  }
  [[nodiscard]] bool allFull() const { return All->full(); }

private:
  /// Connections may outlive the gateway until the loop drops their handlers.
  std::shared_ptr<held_bytes> All;
  std::size_t Part = 0;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_HELDBYTES_H

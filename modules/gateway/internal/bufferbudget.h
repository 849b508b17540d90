// Limits the memory that the bodies of all connections of a gateway take.

#ifndef FULMAR_GATEWAY_INTERNAL_BUFFERBUDGET_H
#define FULMAR_GATEWAY_INTERNAL_BUFFERBUDGET_H

#include <cstddef>
#include <memory>
#include <utility>

namespace fulmar::gateway {

class buffer_budget {
public:
  explicit buffer_budget(std::size_t MaxBytes) : Limit(MaxBytes) {}

  [[nodiscard]] bool exhausted() const { return Reserved > Limit; }
  [[nodiscard]] std::size_t reserved() const { return Reserved; }

private:
  friend class buffer_reservation;
  std::size_t Reserved = 0;
  std::size_t Limit;
};

/// One connection's share of the budget; released on destruction.
class buffer_reservation {
public:
  explicit buffer_reservation(std::shared_ptr<buffer_budget> Shared)
      : Budget(std::move(Shared)) {}
  ~buffer_reservation() { set(0); }
  buffer_reservation(const buffer_reservation &) = delete;
  buffer_reservation &operator=(const buffer_reservation &) = delete;

  void set(std::size_t Bytes) {
    Budget->Reserved += Bytes;
    Budget->Reserved -= std::exchange(Current, Bytes);
  }
  [[nodiscard]] bool budgetExhausted() const { return Budget->exhausted(); }

private:
  /// Shared, because connections may outlive the gateway until the loop drops
  /// their handlers.
  std::shared_ptr<buffer_budget> Budget;
  std::size_t Current = 0;
};

} // namespace fulmar::gateway

#endif // FULMAR_GATEWAY_INTERNAL_BUFFERBUDGET_H
